"""Stops of a node whose callers keep their connections."""

import http.client

import testtools

from tests.support import nodes
from tests.support import polling
from tests.support import records
from tools import fleet as fleets


class TestKeptConnections(testtools.TestCase):
    def test_a_stopping_node_asks_callers_to_connect_anew(self):
        # Guards against a stop that never ends, because a balancer cannot
        # move the connections of callers that go on sending.
        fleet = self.enterContext(fleets.Fleet())
        fleet.start_standin("log", "log")
        fleet.start_standin("vm-list", "vm-list")
        fleet.start_node("node-1", "sapporo-a", node={"drain_s": 60.0})
        records.publish(fleet, records.model(), records.account())
        polling.wait_until(
            lambda: nodes.view(fleet, "node-1")["config_offset"] == 2,
            "the node has the configuration",
        )
        port = fleet.process("node-1").ports["http"]
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=60)
        self.addCleanup(connection.close)

        def ask():
            headers = {"Authorization": f"Bearer {records.KEY}"}
            connection.request("GET", "/v1/models", headers=headers)
            response = connection.getresponse()
            response.read()
            return response.status, response.getheader("Connection")

        self.assertEqual((200, None), ask())
        fleet.process("node-1").terminate()
        polling.wait_until(
            lambda: nodes.readiness(fleet, "node-1")["reason"] == "stopping",
            "the stop has begun",
        )
        self.assertEqual((200, "close"), ask())
