"""Guards against a demo that hides failures or cannot build its parts."""

import os
import pathlib
import subprocess
import sys

import testtools

from tools import demo


class TestDemo(testtools.TestCase):
    def test_the_report_names_failures(self):
        text = demo.report(
            [
                demo.Result(0, 250, 1, 0.1, ""),
                demo.Result(1, 250, 2, 0.3, ""),
                demo.Result(2, 1000, 3, 9.0, "no_engine_available"),
            ],
            1,
        )
        self.assertIn("3 prompts, 2 whole answers, 2 sent again", text)
        self.assertIn("streams left on the engines: 1", text)
        self.assertIn("request 2 failed: no_engine_available", text)

    def test_the_demo_runs_to_its_end(self):
        """Guards against a demo that a newcomer finds broken."""
        result = subprocess.run(
            [sys.executable, "-m", "tools.demo"],
            cwd=pathlib.Path(__file__).parents[2],
            env={**os.environ, "PYTHONPATH": "src"},
            capture_output=True,
            text=True,
            timeout=240,
        )
        self.assertEqual(0, result.returncode, result.stderr[-2000:])
        self.assertIn("the service ran it 1 time(s)", result.stdout)
        self.assertIn("prompts after it had named its rate", result.stdout)
