"""Guards against prompts refused because the caller's maximum is large.

The estimate must follow the lengths of the account's past responses.
"""

import testtools

from fireflyspur.admission import output_estimator


class TestOutputEstimator(testtools.TestCase):
    def test_a_large_maximum_alone_does_not_raise_the_estimate(self):
        estimator = output_estimator.OutputEstimator()
        self.assertLess(estimator.estimate("counter", 1_000_000), 1000)
        self.assertEqual(10, estimator.estimate("counter", 10))

    def test_long_responses_raise_the_estimate_up_to_the_maximum(self):
        estimator = output_estimator.OutputEstimator()
        for _ in range(50):
            estimator.observe("counter", 4000, True)
        self.assertGreaterEqual(estimator.estimate("counter", 9000), 4000)
        self.assertEqual(500, estimator.estimate("counter", 500))

    def test_an_unfinished_response_never_lowers_the_estimate(self):
        estimator = output_estimator.OutputEstimator()
        estimator.observe("counter", 4000, True)
        before = estimator.estimate("counter", 10**6)
        estimator.observe("counter", 3, False)
        self.assertEqual(before, estimator.estimate("counter", 10**6))
