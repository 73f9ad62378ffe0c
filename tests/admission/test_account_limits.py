"""Rate limits of client accounts on several nodes, in simulated time."""

import testtools

from fireflyspur.admission import account_limiter
from fireflyspur.admission import authenticator
from fireflyspur.admission import exceptions
from fireflyspur.admission import share_coordinator
from fireflyspur.generated import records

LIMIT = 10_000.0
STEP_S = 0.05
PROMPT_TOKENS = 100


class Nodes:
    """Simulated nodes with real limiters that report every second."""

    def __init__(self, count):
        self.limiters = [
            account_limiter.AccountLimiter() for _ in range(count)
        ]
        self.coordinator = share_coordinator.ShareCoordinator()
        spec = records.AccountSpec(["0" * 64], tokens_per_s=LIMIT)
        self.account = authenticator.Account("counter", spec)
        self.lost = set()

    def run(self, offered, start, seconds):
        """Offer load to the nodes; return the admitted tokens per second.

        :param offered: tokens per second by node
        """
        admitted, steps = 0, round(seconds / STEP_S)
        credit = [0.0] * len(self.limiters)
        for step in range(steps):
            now = start + step * STEP_S
            if step % round(1 / STEP_S) == 0:
                self.report(now)
            for i, limiter in enumerate(self.limiters):
                if i in self.lost:
                    continue
                credit[i] += offered[i] * STEP_S
                while credit[i] >= PROMPT_TOKENS:
                    credit[i] -= PROMPT_TOKENS
                    try:
                        limiter.charge(self.account, PROMPT_TOKENS, now)
                        admitted += PROMPT_TOKENS
                    except exceptions.AccountLimitError:
                        pass
        return admitted / seconds

    def report(self, now):
        live = [i for i in range(len(self.limiters)) if i not in self.lost]
        for i in live:
            limiter = self.limiters[i]
            limiter.set_node_count(len(live))
            for name, demand in limiter.demands(
                lambda name: LIMIT, now
            ).items():
                share = self.coordinator.update_share(
                    name, LIMIT, f"node-{i}", demand, now
                )
                limiter.set_grant(name, share, now)


class TestAccountLimits(testtools.TestCase):
    def test_callers_on_one_node_get_the_whole_limit(self):
        """Guards against an even split, which would allow an eighth of it."""
        nodes = Nodes(8)
        offered = [2 * LIMIT] + [0.0] * 7
        nodes.run(offered, 0, 5)
        self.assertGreater(nodes.run(offered, 5, 20), 0.9 * LIMIT)

    def test_the_limit_holds_over_all_nodes(self):
        nodes = Nodes(8)
        offered = [LIMIT] * 8
        nodes.run(offered, 0, 5)
        admitted = nodes.run(offered, 5, 20)
        self.assertLess(admitted, 1.1 * LIMIT)
        self.assertGreater(admitted, 0.9 * LIMIT)

    def test_the_limit_holds_after_load_moves_to_other_nodes(self):
        nodes = Nodes(8)
        nodes.run([LIMIT] * 4 + [0.0] * 4, 0, 10)
        moved = [0.0] * 4 + [LIMIT] * 4
        nodes.run(moved, 10, 5)
        admitted = nodes.run(moved, 15, 20)
        self.assertLess(admitted, 1.1 * LIMIT)
        self.assertGreater(admitted, 0.9 * LIMIT)

    def test_the_share_of_a_lost_node_goes_to_the_others(self):
        nodes = Nodes(8)
        offered = [LIMIT] * 8
        nodes.run(offered, 0, 10)
        nodes.lost = {0, 1, 2, 3}
        nodes.run(offered, 10, 5)
        self.assertGreater(nodes.run(offered, 15, 20), 0.9 * LIMIT)

    def test_without_a_coordinator_the_limit_is_split_evenly(self):
        """Guards against isolated nodes that together exceed the limit."""
        nodes = Nodes(8)
        offered = [LIMIT] * 8
        nodes.run(offered, 0, 10)
        nodes.report = lambda now: None
        nodes.run(offered, 10, 5)
        self.assertLess(nodes.run(offered, 15, 20), 1.1 * LIMIT)

    def test_a_prompt_larger_than_the_bucket_is_admitted_and_charged(self):
        nodes = Nodes(1)
        nodes.limiters[0].charge(nodes.account, 1_000_000, 0.0)
        error = self.assertRaises(
            exceptions.AccountLimitError,
            nodes.limiters[0].charge,
            nodes.account,
            100,
            1.0,
        )
        self.assertGreater(error.retry_after_s, 90)

    def test_no_limit_charges_nothing(self):
        limiter = account_limiter.AccountLimiter()
        unlimited = authenticator.Account("a", records.AccountSpec(["0" * 64]))
        for _ in range(100):
            limiter.charge(unlimited, 10**6, 0.0)
