"""Reading of the platform's settings file."""

import pathlib
import tempfile

import testtools

from fireflyspur.console import application
from fireflyspur.gateway.common import exceptions
from fireflyspur.platform import settings_file
from tests.support import console

_VALID = """
node_name = "front-1"
zone = "zone-a"
ip = "10.1.0.40"
internal_port_range = [7340, 7355]
heartbeat_ms = 1200
a_new_field = 7
[listen]
front = "10.1.0.40:8227"
ready = "10.1.0.40:8220"
[bounds]
grace_s = 8
drain_ms = 2000
config_apply_ms = 2000
retry_budget_ratio = 0.2
retry_budget_extra = 104
budget_window_s = 10
[platform]
address = "10.200.1.7:8223"
"""


class SettingsFileTest(testtools.TestCase):
    """Guards against nodes that run with misread settings."""

    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "node.toml"

    def load(self, text):
        self.path.write_text(text)
        return settings_file.load(self.path, 9464)

    def test_valid_file(self):
        settings = self.load(_VALID)
        self.assertEqual("10.1.0.40:8227", str(settings.callers))
        self.assertEqual("10.1.0.40:7340", str(settings.peers))
        self.assertEqual("10.1.0.40:9464", str(settings.metrics))
        self.assertEqual(2.0, settings.drain_s)
        self.assertEqual(4.0, settings.memory.free_s)

    def test_evacuations_are_used_only_if_their_bound_is_given(self):
        settings = self.load(_VALID)
        self.assertIsNone(settings.evacuate_s)
        bounds = "[bounds]\nevacuate_ms = 5000\nouter_ms = 4000\n"
        settings = self.load(_VALID.replace("[bounds]\n", bounds))
        self.assertEqual((5.0, 4.0), (settings.evacuate_s, settings.outer_s))
        bounds = "[bounds]\nevacuate_ms = 0\n"
        self.assertRaises(
            exceptions.InvalidSettingsError,
            self.load,
            _VALID.replace("[bounds]\n", bounds),
        )

    def test_bounds_of_cold_endpoints(self):
        self.assertEqual(0.0, self.load(_VALID).cold.over)
        bounds = "[bounds]\ncold_over = 1.5\ncold_slack = 5"
        cold = self.load(_VALID.replace("[bounds]", bounds)).cold
        self.assertEqual((1.5, 5.0), (cold.over, cold.slack))

    def test_regions(self):
        self.assertEqual({}, self.load(_VALID).regions.by_domain)
        text = 'region = "north"\n' + _VALID + '[zones]\nzone-a = "north"\n'
        regions = self.load(text).regions
        self.assertEqual(
            ("north", {"zone-a": "north"}), (regions.own, regions.by_domain)
        )

    def test_error_names_missing_or_invalid_field(self):
        for before, after, expected in (
            ('zone = "zone-a"', "", "zone"),
            ("heartbeat_ms = 1200", 'heartbeat_ms = "x"', "heartbeat_ms"),
            ('front = "10.1.0.40:8227"', 'front = "nowhere"', "HOST:PORT"),
            ("[platform]", "[platform", "line"),
        ):
            text = _VALID.replace(before, after)
            error = self.assertRaises(
                exceptions.InvalidSettingsError, self.load, text
            )
            self.assertIn(expected, str(error))
            self.assertIn(str(self.path), str(error))

    def test_command_reports_invalid_settings(self):
        self.path.write_text("node_name = 1")
        environment = {"FIREFLYSPUR_SETTINGS": str(self.path)}
        with console.environment(environment):
            code, _, error = console.run("platform", "--check")
        self.assertEqual(3, code)
        self.assertIn("invalid_settings", error)

    def test_command_needs_environment_variable(self):
        with console.environment({"FIREFLYSPUR_SETTINGS": ""}):
            code, _, error = console.run("platform", "--check")
        self.assertEqual(3, code)
        self.assertIn("FIREFLYSPUR_SETTINGS", error)

    def test_help_lists_commands(self):
        text = application.build_parser().format_help()
        for name in ("platform", "node", "load", "record"):
            self.assertIn(name, text)
