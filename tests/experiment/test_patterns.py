"""Tests of policies under load patterns, in virtual time, without network."""

import contextlib
import io
import json
import statistics

import testtools

from fireflyspur.console import application
from fireflyspur.experiment import fleet_simulation
from fireflyspur.experiment import report
from fireflyspur.experiment import traffic
from fireflyspur.gateway.common import clock
from tests.gateway.scheduling import test_placement

_SEEDS = (1, 2)


def simulate(pattern, policy, seed, engines=16):
    setup = fleet_simulation.Setup(
        test_placement.ENGINE, engines, 4, 38.0, pattern, seed
    )
    runs = fleet_simulation.FleetSimulation(setup, policy).run()
    return report.summarize(pattern.name, policy, seed, runs)


class PatternTest(testtools.TestCase):
    """Guards against a policy that performs no better than the baseline."""

    def compare(self, name):
        """Return the mean worth under both policies."""
        pattern = traffic.PATTERNS[name]
        return [
            statistics.mean(simulate(pattern, p, s).worth for s in _SEEDS)
            for p in ("predicted", "least_loaded")
        ]

    def check_policy(self, name):
        # Targets: 0.85 of the possible worth, and better than the baseline.
        predicted, least_loaded = self.compare(name)
        self.assertGreater(predicted, 0.85)
        self.assertGreater(predicted, least_loaded)

    def test_steady_mix(self):
        self.check_policy("steady")

    def test_waves_of_quotes(self):
        self.check_policy("quote-waves")

    def test_waves_of_archives(self):
        self.check_policy("archive-waves")

    def test_engine_outages_in_a_wave_of_archives(self):
        self.check_policy("engines-lost")

    def test_runs_with_the_same_seed_are_equal(self):
        pattern = traffic.PATTERNS["engines-lost"]
        results = [simulate(pattern, "predicted", 7, engines=6) for _ in "ab"]
        self.assertEqual(results[0], results[1])

    def test_every_prompt_is_answered_after_the_engines_restart(self):
        pattern = traffic.PATTERNS["engines-lost"]
        result = simulate(pattern, "predicted", 3)
        self.assertEqual([0, 0, 0], [k.unanswered for k in result.kinds])


class ClockTest(testtools.TestCase):
    """Guards against virtual time that stays active after its run."""

    def test_clock_is_restored(self):
        with clock.override(lambda: -5.0):
            self.assertEqual(-5.0, clock.now_s())
        self.assertGreater(clock.now_s(), 0.0)


class ExperimentCommandTest(testtools.TestCase):
    """Guards against output of the command that cannot be parsed."""

    def run_command(self, *arguments):
        output = io.StringIO()
        with contextlib.redirect_stdout(output):
            code = application.main(["experiment", *arguments])
        return code, output.getvalue()

    def test_json_output_has_policy_and_worth(self):
        code, text = self.run_command(
            "--pattern=steady", "--policy=predicted", "--engines=4",
            "--seconds=5", "--json",
        )  # fmt: skip
        result = json.loads(text)[0]
        self.assertEqual(0, code)
        self.assertEqual("predicted", result["policy"])
        self.assertGreater(result["worth"], 0.0)

    def test_no_engines_is_an_error(self):
        with contextlib.redirect_stderr(io.StringIO()) as errors:
            self.assertRaises(SystemExit, self.run_command, "--engines=0")
        self.assertIn("at least 1", errors.getvalue())
