"""A node with one engine, shared by the tests of a class."""

import contextlib
import http.client
import json
import socket

import testtools

from tests.support import polling
from tests.support import records
from tools import fleet as fleets

NODE_SETTINGS = {"limits": {"max_body_bytes": 200_000}}


def start_fleet(fleet, time_factor=50, **settings):
    """Start log, VM list, engine-1 and node-1 and wait for its records."""
    fleet.start_standin("log", "log")
    fleet.start_standin("vm-list", "vm-list")
    fleet.start_standin(
        "engine-1", "engine", "--time-factor", str(time_factor)
    )
    fleet.start_node("node-1", "sapporo-a", **settings)
    records.publish(
        fleet,
        records.model(),
        records.account(),
        records.engine(fleet, "engine-1"),
    )
    admin = fleet.url("node-1", "admin") + "/admin/view"
    polling.wait_until(
        lambda: fleets.call(admin)["config_offset"] == 3,
        "the node follows the log",
    )


class SingleNodeTest(testtools.TestCase):
    """Starts log, VM list, engine and node once for each class."""

    settings = NODE_SETTINGS

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        with contextlib.ExitStack() as stack:
            cls.fleet = stack.enter_context(cls.new_fleet())
            cls.start()
            cls.addClassCleanup(stack.pop_all().close)

    @classmethod
    def new_fleet(cls):
        return fleets.Fleet()

    @classmethod
    def start(cls):
        fleet = cls.fleet
        start_fleet(fleet, **cls.settings)
        cls.url = fleet.url("node-1", "http")
        cls.port = fleet.process("node-1").ports["http"]

    @classmethod
    def view(cls):
        return fleets.call(cls.fleet.url("node-1", "admin") + "/admin/view")

    @classmethod
    def is_idle(cls):
        view = cls.view()
        held = view["body_bytes_held"], view["requests_in_progress"]
        return held == (0, 0)

    def wait_idle(self):
        polling.wait_until(self.is_idle, "the node holds nothing")

    def request(
        self, body=b"", method="POST", path="/v1/completions", **headers
    ):
        """Send a request; returns status, headers and decoded body."""
        sent = {"Authorization": f"Bearer {records.KEY}"}
        sent.update({k.replace("_", "-"): v for k, v in headers.items()})
        if isinstance(body, dict):
            body = json.dumps(body).encode()
        connection = http.client.HTTPConnection("127.0.0.1", self.port)
        with contextlib.closing(connection):
            connection.request(
                method, path, body, {k: v for k, v in sent.items() if v}
            )
            response = connection.getresponse()
            return response.status, response.headers, json.load(response)

    def connect(self):
        """Return a plain connection to the node."""
        return socket.create_connection(("127.0.0.1", self.port))
