"""Detection of suspensions of a process."""

from unittest import mock

import testtools

from fireflyspur.gateway import clock
from fireflyspur.gateway import suspension


class SuspensionDetectorTest(testtools.TestCase):
    """Guards against suspensions that go unnoticed or are only assumed."""

    def setUp(self):
        super().setUp()
        self.now = 100.0
        patch = mock.patch.object(clock, "now_s", lambda: self.now)
        patch.start()
        self.addCleanup(patch.stop)
        self.detector = suspension.SuspensionDetector(1.0)

    def test_late_ticks_of_a_busy_process_are_no_suspension(self):
        for pause_s in (1.0, 1.5, 1.9):
            self.now += pause_s
            self.detector.tick()
        self.assertIsNone(self.detector.resumed_at_s())

    def test_suspension_is_noticed_before_the_next_tick(self):
        self.now += 5.0
        self.assertEqual(self.now, self.detector.resumed_at_s())
        resumed_at_s = self.now
        self.now += 1.0
        self.detector.tick()
        self.assertEqual(resumed_at_s, self.detector.resumed_at_s())
