"""One prompt from an HTTP caller through a node to an engine and back."""

import json
import urllib.request

import testtools

from fireflyspur.standins import token_source
from tests.support import records
from tests.support import single_node
from tools import fleet as fleets


class TestWholePath(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = self.enterContext(fleets.Fleet())
        single_node.start_fleet(self.fleet)
        self.url = self.fleet.url("node-1", "http")

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
