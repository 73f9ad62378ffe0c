"""Limit on the retries that a node may send."""

from fireflyspur.gateway.requests import retry_budget
from tests.support import fake_clock


class RetryBudgetTest(fake_clock.FakeClockTest):
    """Guards against retries that multiply an overload."""

    def setUp(self):
        super().setUp()

    def budget(self, nodes=1):
        limits = retry_budget.RetryLimits(0.2, 80.0, 10.0)
        return retry_budget.RetryBudget(limits, lambda: nodes)

    def acquire_all(self, budget, service="desk"):
        count = 0
        while budget.try_acquire(service):
            count += 1
        return count

    def test_all_nodes_together_stay_within_the_limit(self):
        total = sum(self.acquire_all(self.budget(nodes=8)) for _ in range(8))
        self.assertLessEqual(total, 80)
        self.assertGreater(total, 40)

    def test_requests_add_retries_by_the_ratio(self):
        budget = self.budget(nodes=1000)
        for _ in range(100):
            budget.record_request("desk")
        count = self.acquire_all(budget)
        self.assertLessEqual(count, 20)
        self.assertGreater(count, 10)

    def test_each_service_has_its_own_budget(self):
        budget = self.budget()
        self.acquire_all(budget, "desk")
        self.assertTrue(budget.try_acquire("models"))

    def test_window_slides(self):
        budget = self.budget()
        self.acquire_all(budget)
        self.now += 9.0
        self.assertFalse(budget.try_acquire("desk"))
        self.now += 1.1
        self.assertTrue(budget.try_acquire("desk"))
