"""Rates that engines name for all nodes together."""

import random
import time
from unittest import mock

import hypothesis
from hypothesis import strategies
import testtools

from fireflyspur.routing import engine_rates
from fireflyspur.routing import engine_view
from fireflyspur.routing import exceptions
from fireflyspur.routing import load_report
from fireflyspur.routing import router
from tests.support import catalogs

_WINDOW_S = 4.0
_ENGINE = "engine-1"


def report(rate, **values):
    return load_report.parse({"max_requests_per_s": rate, **values})


class _ClockTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.now = 1_000.0
        self.enterContext(
            mock.patch.object(time, "monotonic", lambda: self.now)
        )


class EngineRatesTest(_ClockTest):
    """Guards against an engine in need that gets more than it takes."""

    def setUp(self):
        super().setUp()
        self.names = ["node-1"]
        self.rates = engine_rates.EngineRates("node-1", lambda: self.names)

    def send_for(self, seconds):
        """Return the prompts that are sent if as many as allowed come."""
        count = 0
        for _ in range(round(seconds * 100)):
            self.now += 0.01
            while self.rates.allows(_ENGINE):
                self.rates.add_request(_ENGINE)
                count += 1
        return count

    def test_lone_node_uses_the_whole_rate(self):
        for rate in (0.5, 2.0, 20.0):
            self.rates.record(_ENGINE, report(rate))
            self.send_for(4.0)
            self.assertAlmostEqual(20 * rate, self.send_for(20.0), delta=1)

    def test_limit_ends_when_no_longer_named_or_after_a_restart(self):
        for end in (
            lambda: self.rates.record(_ENGINE, report(None)),
            lambda: self.rates.remove(_ENGINE),
        ):
            self.rates.record(_ENGINE, report(0.1))
            self.assertFalse(self.rates.allows(_ENGINE))
            end()
            self.assertTrue(self.rates.allows(_ENGINE))

    def test_zero_leaves_a_prompt_now_and_then(self):
        self.rates.record(_ENGINE, report(0))
        self.assertIn(self.send_for(100.0), range(1, 8))

    def test_invalid_rate_changes_nothing(self):
        self.rates.record(_ENGINE, report(0.1))
        for rate in (-1, "2", True, [], float("nan"), float("inf"), 10**400):
            self.rates.record(_ENGINE, report(rate))
            self.assertFalse(self.rates.allows(_ENGINE), rate)

    def test_refused_callers_return_at_the_rate(self):
        self.rates.record(_ENGINE, report(2.0))
        waits = [self.rates.retry_after_s([_ENGINE], 5) for _ in range(8)]
        for number, wait_s in enumerate(waits):
            self.assertGreaterEqual(wait_s, 0.5 * number)
        self.assertIsNone(self.rates.retry_after_s(["engine-2"], 5))


class ManyNodesTest(_ClockTest):
    """Guards against nodes that each keep a rate and together exceed it."""

    @hypothesis.settings(max_examples=25, deadline=None)
    @hypothesis.given(
        strategies.sampled_from((1, 3, 8, 66, 350)),
        strategies.sampled_from((0.2, 0.5, 2.0, 20.0)),
        strategies.integers(0, 2**32),
    )
    def test_bound_holds_in_each_window(self, count, limit, seed):
        generator = random.Random(seed)
        names = [f"node-{n}" for n in range(count)]
        nodes = [engine_rates.EngineRates(n, lambda: names) for n in names]
        arrivals = []
        for node in nodes:
            node.record(_ENGINE, report(limit))
        end_s = self.now + 20.0
        while self.now < end_s:
            self.now += generator.expovariate(10 * limit)
            node = generator.choice(nodes)
            if node.allows(_ENGINE):
                node.add_request(_ENGINE)
                arrivals.append(self.now)
        most = max(
            (sum(a <= b < a + _WINDOW_S for b in arrivals) for a in arrivals),
            default=0,
        )
        self.assertLessEqual(most, 1.5 * limit * _WINDOW_S + 5)

    def test_rate_is_used_although_few_nodes_own_the_engine(self):
        names = [f"node-{n}" for n in range(66)]
        nodes = [engine_rates.EngineRates(n, lambda: names) for n in names]
        sent = 0
        for node in nodes:
            node.record(_ENGINE, report(2.0))
        for step in range(2_000):
            self.now += 0.01
            node = nodes[step % len(nodes)]
            if node.allows(_ENGINE):
                node.add_request(_ENGINE)
                sent += 1
        # At least half of what the rate allows in 20 s.
        self.assertGreater(sent, 20)

    def test_other_nodes_take_over_from_one_that_is_gone(self):
        names = [f"node-{n}" for n in range(8)]
        nodes = [engine_rates.EngineRates(n, lambda: names) for n in names]
        for node in nodes:
            node.record(_ENGINE, report(0.5))
        self.now += 10.0
        (owner,) = [n for n in nodes if n.allows(_ENGINE)]
        names = [n for n in names if n != f"node-{nodes.index(owner)}"]
        self.assertEqual(1, sum(n.allows(_ENGINE) for n in nodes))
        self.assertFalse(owner.allows(_ENGINE))


class RouterTest(testtools.TestCase):
    """Guards against refusals while engines have room."""

    def setUp(self):
        super().setUp()
        catalog = catalogs.make(
            *(catalogs.engine(f"engine-{i}") for i in range(3))
        )
        self.view = engine_view.EngineView(catalog, "node-1")
        self.router = router.Router(catalog, self.view)
        self.request = router.RouteRequest("quill", "", "x" * 40, 10, 10)

    def test_work_goes_to_engines_with_room(self):
        self.view.update_load("engine-0", report(0.01))
        chosen = {self.router.choose(self.request).engine for _ in range(30)}
        self.assertNotIn("engine-0", chosen)

    def test_prompt_is_refused_at_once_if_none_has_room(self):
        for number in range(3):
            self.view.update_load(f"engine-{number}", report(0.05))
        error = self.assertRaises(
            exceptions.EnginesRateLimitedError,
            self.router.choose,
            self.request,
        )
        self.assertGreater(error.retry_after_s, 1.0)
        # Limited engines still count as serving.
        self.assertTrue(self.view.is_served_elsewhere("engine-0", "quill"))

    def test_limit_does_not_outlive_its_process(self):
        self.view.update_load("engine-0", report(0.01, incarnation="1"))
        self.view.update_load("engine-0", report(None, incarnation="2"))
        self.assertIn("engine-0", self.view.candidates("quill", ""))
