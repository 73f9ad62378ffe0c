"""Tests of versions that other nodes announce."""

from fireflyspur.gateway.configuration import config_holder
from fireflyspur.gateway.configuration import version_watch
from fireflyspur.platform import config_codec
from tests.support import captured_logs
from tests.support import fake_clock
from tests.support import gateway_fleet
from tests.support import platform_config


def _config(version):
    encoded = platform_config.encode(gateway_fleet.config(version=version))
    return config_codec.decode(encoded)


class VersionWatchTest(fake_clock.FakeClockTest):
    """Guards against late changes of which no line says who knew of them."""

    def setUp(self):
        super().setUp()
        self.holder = config_holder.ConfigHolder()
        self.holder.apply(_config(3))
        self.watch = version_watch.VersionWatch(self.holder)

    def test_node_is_behind_from_the_first_newer_version(self):
        with captured_logs.capture() as records:
            self.assertTrue(self.watch.update_from_peer("node-2", 5, 0.1))
            self.now += 1.0
            self.assertFalse(self.watch.update_from_peer("node-3", 5, 0.1))
            self.assertTrue(self.watch.update_from_peer("node-3", 8, 0.1))
        self.now += 0.5
        self.assertEqual(1.5, self.watch.behind_s())
        said = [(r["extra"]["version"], r["extra"]["by"]) for r in records]
        self.assertEqual([(5, "node-2"), (8, "node-3")], said)
        self.holder.apply(_config(8))
        self.assertEqual(0.0, self.watch.behind_s())

    def test_version_in_force_is_confirmed_and_an_older_one_is_not(self):
        self.assertFalse(self.watch.update_from_peer("node-2", 2, 0.1))
        self.assertEqual(float("inf"), self.holder.age_s())
        self.assertFalse(self.watch.update_from_peer("node-2", 3, 0.25))
        self.assertEqual(0.25, self.holder.age_s())
