"""Guards against log lines that scripts or operators cannot parse."""

import contextlib
import io
import json

import testtools

from fireflyspur.observability import logs


class TestLogs(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.addCleanup(logs.configure)

    def write(self, log_format):
        out = io.StringIO()
        with contextlib.redirect_stderr(out):
            logs.configure("INFO", log_format, "node-1")
            log = logs.log_for("http").bind(request_id="req-1", model="a\nb")
            log.debug("not written")
            log.info("POST {}", "/v1/<b>{x}\nforged")
        return out.getvalue()

    def test_json_lines(self):
        lines = self.write("json").splitlines()
        self.assertEqual(1, len(lines))
        line = json.loads(lines[0])
        expected = {"part": "http", "node": "node-1", "request_id": "req-1"}
        self.assertEqual(expected, {key: line[key] for key in expected})
        self.assertEqual("POST /v1/<b>{x}\nforged", line["message"])

    def test_human_lines(self):
        out = self.write("human")
        self.assertIn(" INFO    http: POST /v1/<b>{x}", out)
        self.assertIn(" [request_id=req-1 model='a\\nb']", out)
        self.assertNotIn("not written", out)
