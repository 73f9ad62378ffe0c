"""Tests that set the gateway's clock."""

import testtools

from fireflyspur.gateway.common import clock


class FakeClockTest(testtools.TestCase):
    """Replaces the clock of the gateway by ``now``, in seconds."""

    def setUp(self):
        super().setUp()
        self.now = 100.0
        self.enterContext(clock.override(lambda: self.now))
