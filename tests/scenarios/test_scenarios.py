"""Runs each scenario file beside this module."""

import pathlib

import testtools

from tests.support import scenario_parser
from tests.support import scenario_runner
from tools import fleet as fleets

_FOLDER = pathlib.Path(__file__).parent


class TestScenarios(testtools.TestCase):
    pass


def _run(case: TestScenarios, scenario: scenario_parser.Scenario) -> None:
    with fleets.Fleet() as fleet:
        runner = scenario_runner.ScenarioRunner(fleet)
        case.assertEqual([], runner.run(scenario))


def _add_tests(path: pathlib.Path) -> None:
    scenario = scenario_parser.parse(path.read_text("utf-8"))
    variants = {"": scenario}
    if scenario.values:
        variants = {f"_{v}": scenario.with_value(v) for v in scenario.values}
    for suffix, variant in variants.items():

        def test(self, variant=variant):
            _run(self, variant)

        test.__doc__ = variant.title
        setattr(TestScenarios, f"test_{path.stem}{suffix}", test)


for _path in sorted(_FOLDER.glob("*.scenario")):
    _add_tests(_path)
