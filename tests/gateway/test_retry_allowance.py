"""How many retries a node may send."""

from unittest import mock

import testtools

from fireflyspur.gateway import clock
from fireflyspur.gateway import retry_allowance


class RetryAllowanceTest(testtools.TestCase):
    """Guards against retries that multiply an overload."""

    def setUp(self):
        super().setUp()
        self.now = 100.0
        patch = mock.patch.object(clock, "now_s", lambda: self.now)
        patch.start()
        self.addCleanup(patch.stop)

    def allowance(self, nodes=1):
        limits = retry_allowance.RetryLimits(0.2, 80.0, 10.0)
        return retry_allowance.RetryAllowance(limits, lambda: nodes)

    def taken(self, allowance, service="desk"):
        count = 0
        while allowance.try_take(service):
            count += 1
        return count

    def test_all_nodes_together_stay_within_the_bound(self):
        total = sum(self.taken(self.allowance(nodes=8)) for _ in range(8))
        self.assertLessEqual(total, 80)
        self.assertGreater(total, 40)

    def test_requests_allow_their_share(self):
        allowance = self.allowance(nodes=1000)
        for _ in range(100):
            allowance.note_request("desk")
        count = self.taken(allowance)
        self.assertLessEqual(count, 20)
        self.assertGreater(count, 10)

    def test_services_have_allowances_of_their_own(self):
        allowance = self.allowance()
        self.taken(allowance, "desk")
        self.assertTrue(allowance.try_take("models"))

    def test_window_slides(self):
        allowance = self.allowance()
        self.taken(allowance)
        self.now += 9.0
        self.assertFalse(allowance.try_take("desk"))
        self.now += 1.1
        self.assertTrue(allowance.try_take("desk"))
