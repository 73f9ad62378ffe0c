"""Rates that endpoints name for all nodes together, in virtual time."""

import dataclasses
import heapq
import itertools
import random

import hypothesis
from hypothesis import strategies
import testtools

from fireflyspur.experiment import example_engine
from fireflyspur.gateway.common import clock
from fireflyspur.gateway.endpoints import endpoint as endpoints
from fireflyspur.gateway.endpoints import endpoint_notices
from fireflyspur.gateway.endpoints import rate_limits
from fireflyspur.generated import peer_updates_pb2 as peer_updates
from tests.support import captured_logs
from tests.support import fake_clock

_WINDOW_S = 4.0
_STABILITY_S = 3.0
# The users' bound: one and a half times the limit, and 5 requests.
_FACTOR = 1.5
_MARGIN = 5
_MAX_POOL_NODES = 48
_LOSS = 0.01


def make_limits(publish=peer_updates.PeerUpdate, *, is_own=True, share=None):
    share = share or rate_limits.FleetShare(1.0, 1)
    endpoint = example_engine.endpoint(0)
    return rate_limits.RateLimits(
        publish, lambda _: endpoint, lambda _: is_own, lambda: share
    )


class RateLimitsTest(fake_clock.FakeClockTest):
    """Guards against endpoints in need that get more than they take."""

    def setUp(self):
        super().setUp()
        self.sent = peer_updates.PeerUpdate()
        self.endpoint = example_engine.endpoint(0)
        self.limits = make_limits(lambda: self.sent)
        self.notices = endpoint_notices.EndpointNotices(self.limits)

    def send_for(self, seconds):
        """Return the requests that are sent if as many as allowed come."""
        count = 0
        for _ in range(round(seconds * 100)):
            self.now += 0.01
            while self.limits.allows(self.endpoint):
                self.limits.add_start(self.endpoint.instance)
                count += 1
        return count

    def test_requests_are_sent_at_the_rate(self):
        for rate in (0.5, 2.0, 20.0, 0.3):
            self.limits.record(self.endpoint, rate)
            self.send_for(4.0)
            self.assertAlmostEqual(20 * rate, self.send_for(20.0), delta=1)

    def test_endpoint_without_a_limit_gets_all(self):
        self.limits.record(self.endpoint, None)
        self.assertTrue(self.limits.allows(self.endpoint))
        self.assertEqual(0, len(self.sent.limits))

    def test_limit_ends_when_no_longer_named(self):
        self.limits.record(self.endpoint, 0.5)
        self.limits.add_start(self.endpoint.instance)
        self.assertFalse(self.limits.allows(self.endpoint))
        self.now += 0.5
        self.limits.record(self.endpoint, None)
        self.assertTrue(self.limits.allows(self.endpoint))
        self.assertEqual(0.0, self.sent.limits[-1].requests_per_s)

    def test_requests_of_other_nodes_count(self):
        self.limits.record(self.endpoint, 2.0)
        self.now += 5.0
        self.limits.add_start(self.endpoint.instance)
        self.assertFalse(self.limits.allows(self.endpoint))

    def test_zero_leaves_a_request_now_and_then(self):
        self.limits.record(self.endpoint, 0.0)
        sent = self.send_for(100.0)
        self.assertGreater(sent, 0)
        self.assertLess(sent, 8)

    def test_limit_does_not_outlive_its_process(self):
        self.limits.record(self.endpoint, 0.1)
        self.limits.add_start(self.endpoint.instance)
        born_ms = (self.endpoint.born_ms or 0) + 1
        restarted = dataclasses.replace(self.endpoint, born_ms=born_ms)
        self.limits.record(dataclasses.replace(self.endpoint, born_ms=1), 0.1)
        self.assertTrue(self.limits.allows(restarted))
        # Once it is gone for good, not as soon as its entry lapses.
        self.limits.keep_only([])
        self.now += 61.0
        self.limits.keep_only([])
        self.assertTrue(self.limits.allows(self.endpoint))

    def test_limit_outlasts_an_entry_that_lapses(self):
        # It expires while the endpoint does not reach the store.
        self.limits.record(self.endpoint, 0.1)
        self.limits.add_start(self.endpoint.instance)
        self.now += 5.0
        self.limits.keep_only([])
        self.assertFalse(self.limits.allows(self.endpoint))
        self.assertEqual([], self.limits.describe())
        self.limits.keep_only([self.endpoint.instance])
        self.assertFalse(self.limits.allows(self.endpoint))
        self.assertEqual(1, len(self.limits.describe()))

    def test_limit_of_an_endpoint_that_is_gone_is_forgotten(self):
        self.limits.record(self.endpoint, 0.1)
        self.limits.keep_only([])
        self.now += 61.0
        self.limits.keep_only([])
        self.assertFalse(self.limits.has_any)

    def test_newer_word_wins_over_late_news(self):
        self.now += 10.0
        self.limits.record(self.endpoint, None)
        self.limits.record(self.endpoint, 1.0)
        self.now += 1.0
        self.limits.record(self.endpoint, None)
        late = peer_updates.EndpointLimit(
            instance=self.endpoint.instance,
            requests_per_s=1.0,
            heard_ago_ms=900,
        )
        self.limits.update_from_peer(late, 0.5)
        self.assertFalse(self.limits.is_limited(self.endpoint))

    def test_limit_that_changes_with_each_answer_floods_nobody(self):
        for number in range(200):
            self.now += 0.005
            self.limits.record(self.endpoint, 1.0 + number)
        self.assertLessEqual(len(self.sent.limits), 6)

    def test_last_of_quick_changes_is_announced(self):
        self.limits.record(self.endpoint, 5.0)
        self.now += 0.1
        self.limits.record(self.endpoint, 2.0)
        self.now += 0.2
        self.limits.record(self.endpoint, 2.0)
        self.assertEqual(2.0, self.sent.limits[-1].requests_per_s)
        self.now += 1.0
        self.limits.record(self.endpoint, 2.0)
        self.assertEqual(2, len(self.sent.limits))

    def test_callers_of_all_nodes_return_at_the_rate(self):
        self.limits = make_limits(share=rate_limits.FleetShare(1.0, 1, 4))
        self.notices = endpoint_notices.EndpointNotices(self.limits)
        self.limits.record(self.endpoint, 2.0)
        waits = [
            self.notices.retry_after_s([self.endpoint], 1) for _ in range(9)
        ]
        self.assertGreater(waits[-1], 16.0)
        for _ in range(100):
            wait_s = self.notices.retry_after_s([self.endpoint], 1)
        self.assertLess(wait_s, 23.0)

    def test_invalid_limit_changes_nothing(self):
        self.limits.record(self.endpoint, 2.0)
        self.limits.record_invalid(self.endpoint)
        self.assertTrue(self.limits.is_limited(self.endpoint))

    def test_node_that_hears_few_others_sends_less(self):
        self.limits = make_limits(share=rate_limits.FleetShare(0.25, 1))
        self.limits.record(self.endpoint, 8.0)
        self.send_for(4.0)
        self.assertAlmostEqual(20, self.send_for(10.0), delta=1)

    def test_refused_callers_return_one_after_the_other(self):
        self.limits.record(self.endpoint, 2.0)
        self.limits.add_start(self.endpoint.instance)
        waits = [
            self.notices.retry_after_s([self.endpoint], 1) for _ in range(20)
        ]
        for number, wait_s in enumerate(waits):
            self.assertGreaterEqual(wait_s, 0.5 * number)
            self.assertLess(wait_s, 0.5 * number + 2.0)

    def test_urgent_callers_do_not_wait_for_less_urgent_ones(self):
        self.limits.record(self.endpoint, 2.0)
        self.limits.add_start(self.endpoint.instance)
        for _ in range(10):
            self.notices.retry_after_s([self.endpoint], 3)
        urgent_s = self.notices.retry_after_s([self.endpoint], 1)
        later_s = self.notices.retry_after_s([self.endpoint], 3)
        self.assertLess(urgent_s, 2.0)
        self.assertGreater(later_s, 5.0)

    def test_changes_with_each_response_are_logged_once_a_second(self):
        with captured_logs.capture() as records:
            for number in range(500):
                self.now += 0.01
                self.limits.record(self.endpoint, 1.0 + number)
            self.now += 1.0
            self.limits.record(self.endpoint, None)
        self.assertLessEqual(len(records), 8)
        self.assertIsNone(records[-1]["extra"]["requests_per_s"])

    def test_limits_in_force_are_counted(self):
        self.assertEqual(0, self.limits.count)
        self.limits.record(self.endpoint, 1.0)
        self.assertEqual(1, self.limits.count)
        self.limits.record(self.endpoint, None)
        self.assertEqual(0, self.limits.count)

    def test_memory_is_bounded(self):
        for number in range(5_000):
            endpoint = dataclasses.replace(
                self.endpoint, instance=f"engine-{number}"
            )
            self.limits.record(endpoint, 1.0)
        self.assertEqual(4_096, len(self.limits._limits))
        self.assertEqual(8, len(self.limits.describe()))


class _Fleet:
    """Nodes that share one endpoint, with delayed and lost updates."""

    def __init__(self, count, seed):
        self.now = 100.0
        self.random = random.Random(seed)
        self.endpoint = example_engine.endpoint(0)
        self.arrivals = []
        self._events = []
        self._order = itertools.count()
        self._frozen_until = [0.0] * count
        self.pool_count = -(-count // _MAX_POOL_NODES)
        self._drafts = [peer_updates.PeerUpdate() for _ in range(count)]
        self.nodes = [self._make_node(n) for n in range(count)]

    def _make_node(self, number):
        return rate_limits.RateLimits(
            lambda: self._drafts[number],
            lambda _: self.endpoint,
            lambda _: self.pool(number) == 0,
            lambda: rate_limits.FleetShare(1.0, self.pool_count),
        )

    def pool(self, number):
        return number % self.pool_count

    def freeze(self, number, seconds):
        self._frozen_until[number] = self.now + seconds

    def restart(self, number):
        self.nodes[number] = self._make_node(number)

    def at(self, delay_s, action):
        entry = (self.now + delay_s, next(self._order), action)
        heapq.heappush(self._events, entry)

    def run_until(self, end_s):
        while self._events and self._events[0][0] <= end_s:
            self.now, _, action = heapq.heappop(self._events)
            action()
        self.now = end_s

    def try_send(self, number, rate):
        """Send a request if the node may; the response names a limit."""
        node = self.nodes[number]
        if self._frozen_until[number] > self.now:
            return
        if not node.allows(self.endpoint):
            return
        node.add_start(self.endpoint.instance)
        self.arrivals.append(self.now)
        self._tell_start(number)
        self.at(0.05, lambda: self._respond(number, rate))

    def _tell_start(self, number):
        for other, node in enumerate(self.nodes):
            if other != number and self.pool(other) in (
                0,
                self.pool(number),
            ):
                self._deliver(
                    other,
                    lambda node=node: node.add_start(self.endpoint.instance),
                )

    def _respond(self, number, rate):
        self.nodes[number].record(self.endpoint, rate())
        limits = list(self._drafts[number].limits)
        self._drafts[number].ClearField("limits")
        for limit in limits:
            for other, node in enumerate(self.nodes):
                if other != number:
                    self._deliver(
                        other,
                        lambda node=node, limit=limit: node.update_from_peer(
                            limit, 0.0
                        ),
                    )

    def _deliver(self, other, action):
        if self.random.random() < _LOSS:
            return
        delay_s = self.random.uniform(0.002, 0.008)
        wait_s = max(0.0, self._frozen_until[other] - self.now)
        self.at(wait_s + delay_s, action)


def find_excess(arrivals, start_s, limit):
    """Return the largest number of arrivals beyond the users' bound."""
    bound = _FACTOR * limit * _WINDOW_S + _MARGIN
    counted = [a for a in arrivals if a >= start_s]
    return max(
        (
            sum(a <= b < a + _WINDOW_S for b in counted) - bound
            for a in counted
        ),
        default=-bound,
    )


class FleetRateTest(testtools.TestCase):
    """Guards against nodes that each keep a limit and together exceed it."""

    @hypothesis.settings(max_examples=25, deadline=None)
    @hypothesis.given(
        strategies.sampled_from((3, 8, 66, 195)),
        strategies.sampled_from((0.5, 2.0, 20.0)),
        strategies.floats(1.0, 10.0),
        strategies.integers(0, 2**32),
    )
    def test_users_bound_holds_in_each_window(self, count, limit, load, seed):
        fleet = _Fleet(count, seed)
        with clock.override(lambda: fleet.now):
            named_at_s = fleet.now + 2.0

            def rate():
                return limit if fleet.now >= named_at_s else None

            offered = max(1.0, load * limit)
            self.plan_traffic(fleet, offered, rate)
            for _ in range(2):
                fleet.at(
                    fleet.random.uniform(8, 16),
                    lambda: fleet.freeze(fleet.random.randrange(count), 3.0),
                )
                fleet.at(
                    fleet.random.uniform(8, 16),
                    lambda: fleet.restart(fleet.random.randrange(count)),
                )
            fleet.run_until(fleet.now + 20.0)
        excess = find_excess(fleet.arrivals, named_at_s + _STABILITY_S, limit)
        self.assertLessEqual(excess, 0)
        # The rate is used as well, by the nodes of the endpoint's pool.
        late = [a for a in fleet.arrivals if a >= named_at_s + _STABILITY_S]
        usable = min(limit, offered / fleet.pool_count)
        self.assertGreater(len(late), 0.4 * usable * 15.0 - 2)

    def plan_traffic(self, fleet, per_s, rate):
        at_s = 0.0
        while at_s < 20.0:
            at_s += fleet.random.expovariate(per_s)
            number = fleet.random.randrange(len(fleet.nodes))
            fleet.at(at_s, lambda n=number: fleet.try_send(n, rate))

    def test_limit_that_rises_falls_and_ends(self):
        fleet = _Fleet(66, 7)
        with clock.override(lambda: fleet.now):
            start_s = fleet.now

            def rate():
                elapsed_s = fleet.now - start_s
                steps = ((6.0, 4.0), (10.0, 12.0), (15.0, 1.0))
                return next((r for t, r in steps if elapsed_s < t), None)

            self.plan_traffic(fleet, 40.0, rate)
            fleet.run_until(start_s + 20.0)
        bounds = ((3.0, 6.0, 4.0), (6.5, 10.0, 12.0), (13.0, 15.0, 1.0))
        for begin_s, end_s, limit in bounds:
            within = [
                a for a in fleet.arrivals if begin_s < a - start_s < end_s
            ]
            self.assertLessEqual(
                len(within), _FACTOR * limit * _WINDOW_S + _MARGIN
            )
        ended = [a for a in fleet.arrivals if a - start_s > 17.0]
        self.assertGreater(len(ended), 60)


class EndpointTest(testtools.TestCase):
    """Guards against an endpoint whose start is not known."""

    def test_limit_holds_without_a_start_time(self):
        endpoint = dataclasses.replace(
            example_engine.endpoint(0),
            born_ms=None,
            state=endpoints.EndpointState.READY,
        )
        limits = rate_limits.RateLimits(
            peer_updates.PeerUpdate,
            lambda _: endpoint,
            lambda _: True,
            lambda: rate_limits.FleetShare(1.0, 1),
        )
        limits.record(endpoint, 1.0)
        self.assertFalse(limits.allows(endpoint))
