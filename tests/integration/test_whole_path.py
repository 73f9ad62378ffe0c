"""One prompt from an HTTP caller through a node to an engine and back."""

import json
import urllib.request

import testtools

from fireflyspur.standins import token_source
from tests.support import polling
from tests.support import records
from tools import fleet as fleets


class TestWholePath(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = self.enterContext(fleets.Fleet())
        self.fleet.start_standin("log", "log")
        self.fleet.start_standin("vm-list", "vm-list")
        self.fleet.start_standin("engine-1", "engine", "--time-factor", "50")
        self.fleet.start_node("node-1", "sapporo-a")
        records.publish(
            self.fleet,
            records.model(),
            records.account(),
            records.engine(self.fleet, "engine-1"),
        )
        self.url = self.fleet.url("node-1", "http")
        admin = self.fleet.url("node-1", "admin") + "/admin/view"
        polling.wait_until(
            lambda: fleets.call(admin)["config_offset"] == 3,
            "the node follows the log",
        )

    def post(self, **body):
        return urllib.request.Request(
            self.url + "/v1/completions",
            data=json.dumps({"model": "quill", **body}).encode(),
            headers={"Authorization": f"Bearer {records.KEY}"},
        )

    def test_streams_the_whole_answer(self):
        request = self.post(prompt="How much?", max_tokens=5, stream=True)
        with urllib.request.urlopen(request) as response:
            events = response.read().decode().split("\n\n")
        self.assertEqual("data: [DONE]", events[-2])
        chunks = [json.loads(e.removeprefix("data: ")) for e in events[:-2]]
        text = "".join(c["choices"][0]["text"] for c in chunks)
        expected = [
            token_source.token_text("quill", "", "How much?", i)
            for i in range(5)
        ]
        self.assertEqual("".join(expected), text)

    def test_a_stop_ends_the_node_with_exit_code_0(self):
        process = self.fleet.process("node-1")
        process.terminate()
        self.assertEqual(0, process.wait())
