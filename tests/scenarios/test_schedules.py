"""Runs schedules of fixed seeds; ``tools/soak.py`` runs more."""

import testtools

from tests.support import scenario_parser
from tests.support import scenario_runner
from tests.support import schedules
from tools import fleet as fleets

_SEEDS = (1, 2, 3)


class TestSchedules(testtools.TestCase):
    """Guards against promises that only a mix of failures breaks."""


def _add_test(seed: int) -> None:
    def test(self):
        (text,) = schedules.draw(seed, 1)
        with fleets.Fleet() as fleet:
            runner = scenario_runner.ScenarioRunner(fleet)
            violations = runner.run(scenario_parser.parse(text))
        self.assertEqual([], violations, text)

    test.__doc__ = f"Seed {seed}."
    setattr(TestSchedules, f"test_seed_{seed}", test)


for _seed in _SEEDS:
    _add_test(_seed)
