"""Spacing of requests at a rate."""

import testtools

from fireflyspur.rates import pacing


class PacingTest(testtools.TestCase):
    """Guards against a rate that is exceeded, or not used."""

    def count(self, rate, seconds):
        """Return the requests that are sent if as many as allowed come."""
        paced, sent = pacing.Pacing(100.0), 0
        for step in range(round(seconds * 1_000)):
            now = 100.0 + step / 1_000
            while paced.wait_s(rate, now) <= 0:
                paced = paced.add_request(rate, now)
                sent += 1
        return sent

    def test_requests_are_sent_at_the_rate(self):
        for rate in (0.1, 0.5, 2.0, 30.0):
            burst = max(1.0, rate / 2)
            self.assertAlmostEqual(
                40 * rate + burst, self.count(rate, 40.0), delta=1
            )

    def test_wait_after_a_low_rate_can_be_shortened(self):
        paced = pacing.Pacing().add_request(0.01, 100.0)
        self.assertGreater(paced.wait_s(10.0, 100.0), 90.0)
        paced = paced.limit_wait(1.0, 100.0)
        self.assertLessEqual(paced.wait_s(10.0, 100.0), 1.0)
