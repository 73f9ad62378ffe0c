"""A fleet of nodes and engines that answers prompts."""

from concurrent import futures
import contextlib
import dataclasses
import json
import time
import urllib.error
import urllib.request

import testtools

from fireflyspur.standins import token_source
from tests.support import polling
from tests.support import records
from tools import fleet as fleets

_HANG_S = 60.0


@dataclasses.dataclass(frozen=True)
class Response:
    """What a caller got.

    :param is_complete: whether it looks like a whole answer to the caller
    """

    status: int
    text: str
    is_complete: bool
    error: dict


def expected(prompt, count):
    """Return the only right answer to a prompt."""
    texts = token_source.token_texts("quill", "", prompt, range(count))
    return "".join(texts)


class PromptTestCase(testtools.TestCase):
    """Starts and stops the fleet; checks that nothing is held at the end."""

    def setUp(self):
        super().setUp()
        self.fleet = self.enterContext(fleets.Fleet())
        self.engines, self.nodes = [], []
        self.published = 0
        self.pool = self.enterContext(futures.ThreadPoolExecutor(64))
        self.fleet.start_standin("log", "log")
        self.fleet.start_standin("vm-list", "vm-list")

    def start(self, engines, nodes=1, policy=None, quarantine_s=1800.0):
        """Start engines, each with its options, and nodes."""
        for number, options in enumerate(engines, 1):
            name = f"engine-{number}"
            self.fleet.start_standin(name, "engine", *options)
            self.engines.append(name)
        for number in range(1, nodes + 1):
            self.nodes.append(f"node-{number}")
            self.fleet.start_node(f"node-{number}", "sapporo-a")
        self.publish(
            records.model(),
            records.account(),
            # These tests are about what happens when a prompt that was
            # admitted meets a failure, so none may be refused beforehand.
            records.make(
                "policy",
                "default",
                routing="least_outstanding",
                admission=False,
            ),
            records.make("fleet", "default", quarantine_s=quarantine_s),
        )

    def publish_engines(self, *names, **spec):
        self.publish(*(records.engine(self.fleet, n, **spec) for n in names))

    def publish(self, *values):
        records.publish(self.fleet, *values)
        self.published += len(values)
        for node in self.nodes:
            polling.wait_until(
                lambda node=node: (
                    self.view(node)["config_offset"] >= self.published
                ),
                f"{node} follows the log",
            )

    def view(self, node="node-1"):
        return fleets.call(self.fleet.url(node, "admin") + "/admin/view")

    def audit(self, node="node-1"):
        url = self.fleet.url(node, "admin") + "/admin/audit"
        return [event["action"] for event in fleets.call(url)["events"]]

    def set_faults(self, engine, **values):
        fleets.call(self.fleet.url(engine) + "/faults", "POST", values)

    def stats(self, engine):
        return fleets.call(self.fleet.url(engine) + "/stats")

    def holdings(self, engine):
        url = self.fleet.url(engine) + "/engine/v1/holdings"
        return fleets.call(url)["holdings"]

    def open(self, prompt, tokens, node="node-1", timeout_s=40, stream=True):
        body = {"model": "quill", "prompt": prompt, "max_tokens": tokens}
        request = urllib.request.Request(
            self.fleet.url(node, "http") + "/v1/completions",
            data=json.dumps({**body, "stream": stream}).encode(),
            headers={
                "Authorization": f"Bearer {records.KEY}",
                "Request-Timeout": str(timeout_s),
            },
        )
        return urllib.request.urlopen(request, timeout=_HANG_S)

    def send_prompt(self, prompt, tokens, node="node-1", timeout_s=40):
        """Send a prompt and read the streamed answer to its end."""
        try:
            with self.open(prompt, tokens, node, timeout_s) as response:
                return read_events(response.read().decode())
        except urllib.error.HTTPError as error:
            body = json.loads(error.read())
            return Response(error.code, "", False, body["error"])

    def submit_prompt(self, *arguments, **options):
        return self.pool.submit(self.send_prompt, *arguments, **options)

    def wait_running(self, count, tokens=0):
        """Wait until streams run; return the engine of the first one."""

        def find():
            streams = [
                (engine, stream)
                for engine in self.running()
                for stream in self.holdings(engine)
                if stream["kind"] == "stream" and stream["tokens"]
            ]
            return streams[0][0] if len(streams) >= count else None

        return polling.wait_until(find, f"{count} streams run")

    def running(self):
        processes = {name: self.fleet.process(name) for name in self.engines}
        return [name for name, p in processes.items() if p.is_running]

    def assert_no_holdings(self):
        for engine in self.running():
            polling.wait_until(
                lambda engine=engine: not self.holdings(engine),
                f"{engine} holds nothing",
            )

    def assert_complete(self, prompt, count, answer):
        self.assertEqual({}, answer.error)
        self.assertEqual(expected(prompt, count), answer.text)
        self.assertTrue(answer.is_complete)


def read_events(raw):
    """Read server-sent events as a caller does."""
    parts, error, is_complete = [], {}, False
    for event in raw.split("\n\n"):
        data = event.rpartition("data: ")[2]
        if not data:
            continue
        if data == "[DONE]":
            is_complete = True
            continue
        value = json.loads(data)
        if "error" in value:
            error = value["error"]
            continue
        parts += [choice["text"] for choice in value["choices"]]
    return Response(200, "".join(parts), is_complete, error)


@contextlib.contextmanager
def frozen(process):
    """Keep a process from running."""
    process.freeze()
    try:
        yield
    finally:
        process.thaw()


def sleep_until(moment):
    """Wait for a wall-clock time."""
    while time.time() < moment:
        time.sleep(0.02)
