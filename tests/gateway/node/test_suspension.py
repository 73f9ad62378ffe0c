"""Detection of suspensions of a process."""

from fireflyspur.gateway.node import suspension
from tests.support import fake_clock


class SuspensionDetectorTest(fake_clock.FakeClockTest):
    """Guards against suspensions that go unnoticed or are only assumed."""

    def setUp(self):
        super().setUp()
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
