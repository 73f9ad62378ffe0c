"""Times at which refused callers return."""

import testtools

from fireflyspur.rates import return_schedule


class ReturnScheduleTest(testtools.TestCase):
    """Guards against refused callers that return as a wave."""

    def setUp(self):
        super().setUp()
        self.schedule = return_schedule.ReturnSchedule()

    def test_callers_return_one_after_the_other(self):
        waits = [self.schedule.add(1, 0.5, 0.2, 100.0) for _ in range(20)]
        for number, wait_s in enumerate(waits):
            self.assertGreaterEqual(wait_s, 0.5 + 0.2 * number)
            self.assertLessEqual(wait_s, 0.5 + 0.2 * (number + 1))

    def test_urgent_callers_do_not_wait_for_less_urgent_ones(self):
        for _ in range(10):
            self.schedule.add(5, 0.5, 1.0, 100.0)
        self.assertLess(self.schedule.add(0, 0.5, 1.0, 100.0), 1.6)

    def test_less_urgent_callers_come_after_urgent_ones(self):
        for _ in range(10):
            self.schedule.add(0, 0.5, 1.0, 100.0)
        self.assertGreater(self.schedule.add(5, 0.5, 1.0, 100.0), 10.0)

    def test_nobody_is_sent_away_for_longer_than_a_bound(self):
        for _ in range(1_000):
            wait_s = self.schedule.add(1, 0.5, 1.0, 100.0)
        self.assertLess(wait_s, 22.0)
