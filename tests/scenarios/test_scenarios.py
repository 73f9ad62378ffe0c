"""Runs each scenario file beside this module."""

import pathlib

import testtools

from tests.support import scenario_parser
from tests.support import scenario_runner
from tools import fleet as fleets

_FOLDER = pathlib.Path(__file__).parent


class TestScenarios(testtools.TestCase):
    pass


def _add_test(path: pathlib.Path) -> None:
    def test(self):
        scenario = scenario_parser.parse(path.read_text("utf-8"))
        with fleets.Fleet() as fleet:
            runner = scenario_runner.ScenarioRunner(fleet)
            self.assertEqual([], runner.run(scenario))

    test.__doc__ = path.stem
    setattr(TestScenarios, f"test_{path.stem}", test)


for _path in sorted(_FOLDER.glob("*.scenario")):
    _add_test(_path)
