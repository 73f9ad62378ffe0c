"""Guards against a built file that lacks a part or starts a child process."""

import os
import pathlib
import tempfile
from unittest import mock

from tests.support import single_node
from tools import binary
from tools import fleet as fleets


def children(pid):
    """Return the ids of a process's children (Linux)."""
    tasks = pathlib.Path(f"/proc/{pid}/task").iterdir()
    found = [(task / "children").read_text().split() for task in tasks]
    return [child for group in found for child in group]


class TestBinary(single_node.SingleNodeTest):
    @classmethod
    def setUpClass(cls):
        folder = cls.enterClassContext(tempfile.TemporaryDirectory())
        path = pathlib.Path(folder) / "fireflyspur"
        binary.build(path)
        root = {"SHIV_ROOT": folder}
        cls.enterClassContext(mock.patch.dict(os.environ, root))
        cls.program = [str(path)]
        super().setUpClass()

    @classmethod
    def new_fleet(cls):
        return fleets.Fleet(cls.program)

    def test_serves_a_request_without_child_processes(self):
        body = {"model": "quill", "prompt": "How much?", "max_tokens": 3}
        status, _, answer = self.request(body)
        self.assertEqual(200, status)
        self.assertEqual(3, answer["usage"]["completion_tokens"])
        for name in ("log", "vm-list", "engine-1", "node-1"):
            self.assertEqual([], children(self.fleet.process(name).pid))
        process = self.fleet.process("node-1")
        process.terminate()
        self.assertEqual(0, process.wait())
