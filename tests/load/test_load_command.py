"""The load tool against a small fleet."""

import json
import pathlib
import subprocess
import sys

import testtools
import yaml

from fireflyspur.console import application
from tests.support import records
from tests.support import single_node
from tools import fleet as fleets

_MIX = {
    "requests_per_s": 2,
    "duration_s": 20,
    "warm_up_s": 0,
    "accounts": [
        # Long enough that load on the machine expires no request.
        {"name": "counter", "key": records.KEY, "timeout_s": 1200},
        {"name": "stranger", "key": "unknown", "weight": 0.2},
    ],
    "lengths": [
        {
            "name": "short",
            "min_tokens": 1000,
            "max_tokens": 2000,
            "max_output_tokens": 20,
        }
    ],
    "bookings": {"one_in": 10},
}


class TestLoadCommand(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = self.enterContext(fleets.Fleet())
        single_node.start_fleet(self.fleet, time_factor=20)

    def load(self, action, *options):
        path = self.fleet.folder / "mix.yaml"
        path.write_text(yaml.safe_dump(_MIX))
        output = self.fleet.folder / "report"
        code = application.main(
            [
                "load",
                action,
                str(path),
                "--quiet",
                *("--base-url", self.fleet.url("node-1", "http")),
                *("--time-factor", "20", "--output", str(output)),
                *options,
            ]
        )
        self.assertEqual(0, code)
        for name in ("ttft.png", "gap.png", "outcomes.png"):
            self.assertGreater((output / name).stat().st_size, 0)
        return json.loads((output / "report.json").read_text())

    def test_reports_every_request_of_the_plan(self):
        # Guards against requests that are lost between sending and report.
        result = self.load("run")["results"][0]
        failed = sum(f["count"] for f in result["failures"])
        self.assertEqual(result["sent"], result["completed"] + failed)
        self.assertGreater(result["completed"], 0)
        counts = result["accounts"]["counter"]
        short = result["bins"]["short"]
        self.assertGreater(counts["completed"], 0)
        self.assertEqual(short["completed"], short["ttft"]["count"])
        engine = fleets.call(self.fleet.url("engine-1") + "/stats")
        self.assertEqual(short["completed"], len(engine["streams"]))
        refused = [f for f in result["failures"] if f["verdict"] == "not_run"]
        self.assertTrue(refused)

    def test_compares_two_policies_and_restores_the_first(self):
        found = self.load(
            "compare",
            *("--log", self.fleet.url("log"), "--slices", "1"),
            *("--policy", "round_robin", "--policy", "least_outstanding"),
        )
        labels = [result["label"] for result in found["results"]]
        self.assertEqual(["round_robin", "least_outstanding"], labels)
        self.assertIn("TTFT p95 short", found["ratios"])
        url = self.fleet.url("log") + "/streams/config/records?from=4"
        values = [r["value"] for r in fleets.call(url)["records"]]
        routing = [value["spec"]["routing"] for value in values]
        self.assertEqual(
            ["round_robin", "least_outstanding", "round_robin"], routing
        )


class TestMissingExtra(testtools.TestCase):
    def test_names_the_extra_to_install(self):
        # Guards against a traceback where the extra is not installed.
        program = (
            "import sys; sys.modules['hdrh'] = None\n"
            "from fireflyspur.console import application\n"
            "arguments = ['load', 'run', 'x', '--base-url', 'y']\n"
            "sys.exit(application.main(arguments))"
        )
        source = pathlib.Path(__file__).parents[2] / "src"
        done = subprocess.run(
            [sys.executable, "-c", program],
            env={"PYTHONPATH": str(source)},
            capture_output=True,
            text=True,
        )
        self.assertEqual(1, done.returncode)
        self.assertIn("install fireflyspur[load]", done.stderr)
