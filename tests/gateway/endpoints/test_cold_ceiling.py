"""Requests to cold endpoints from all nodes together, in virtual time."""

import dataclasses
import heapq
import itertools
import random

from fireflyspur.experiment import example_engine
from fireflyspur.gateway.configuration import routing_config
from fireflyspur.gateway.endpoints import cold_ceiling
from tests.support import fake_clock

_COLD = routing_config.ColdSpec(3.0, 14.0)
_BOUNDS = cold_ceiling.ColdBounds(over=1.5, slack=5)
_CEILING = 26
_UNIX_OFFSET_S = 1_000_000.0
_LOSS = 0.01


class ColdTest(fake_clock.FakeClockTest):
    """Makes ceilings of nodes for one endpoint."""

    def setUp(self):
        super().setUp()
        born_ms = round((self.now + _UNIX_OFFSET_S) * 1000)
        self.endpoint = dataclasses.replace(
            example_engine.endpoint(0), born_ms=born_ms
        )

    def make(self, name="n", nodes=1, pools=1, *, is_own=True, bounds=_BOUNDS):
        service = routing_config.Service("models", None, _COLD)
        return cold_ceiling.ColdCeiling(
            lambda _: service,
            lambda: bounds,
            lambda _: self.endpoint,
            lambda _: is_own,
            lambda: cold_ceiling.PoolSize(nodes, pools),
            name,
            lambda: self.now + _UNIX_OFFSET_S,
        )

    def turn_cold(self, seconds):
        self.endpoint = dataclasses.replace(
            self.endpoint, cold_ms=round(seconds * 1000)
        )


class ColdTimeTest(ColdTest):
    """Guards against a cold endpoint that counts as warm."""

    def test_started_just_now(self):
        ceiling = self.make()
        self.assertTrue(ceiling.is_cold(self.endpoint))
        self.now += 2.9
        self.assertTrue(ceiling.is_cold(self.endpoint))
        self.now += 0.2
        self.assertFalse(ceiling.is_cold(self.endpoint))
        self.assertEqual(0.0, ceiling.wait_s(self.endpoint))

    def test_its_clock_is_ahead(self):
        self.endpoint = dataclasses.replace(
            self.endpoint, born_ms=self.endpoint.born_ms + 60_000
        )
        ceiling = self.make()
        self.assertTrue(ceiling.is_cold(self.endpoint))
        self.now += 3.1
        self.assertFalse(ceiling.is_cold(self.endpoint))

    def test_entry_says_so_again_later(self):
        ceiling = self.make()
        self.now += 50.0
        self.assertFalse(ceiling.is_cold(self.endpoint))
        self.turn_cold(2.0)
        ceiling.record_entry(self.endpoint, self.now)
        self.assertTrue(ceiling.is_cold(self.endpoint))
        self.now += 2.1
        self.assertFalse(ceiling.is_cold(self.endpoint))

    def test_does_not_outlive_its_process(self):
        ceiling = self.make()
        self.turn_cold(30.0)
        ceiling.record_entry(self.endpoint, self.now)
        other = dataclasses.replace(self.endpoint, born_ms=1, cold_ms=0)
        self.assertFalse(ceiling.is_cold(other))

    def test_no_ceiling_without_bounds(self):
        ceiling = self.make(bounds=cold_ceiling.ColdBounds())
        self.assertFalse(ceiling.is_cold(self.endpoint))
        for _ in range(100):
            self.assertEqual(0.0, ceiling.wait_s(self.endpoint))
            ceiling.add_start(self.endpoint.instance, is_own=True)

    def test_unlisted_endpoint_is_forgotten_late(self):
        ceiling = self.make()
        ceiling.is_cold(self.endpoint)
        ceiling.keep_only([])
        self.assertEqual(1, ceiling.count)
        self.now += 61.0
        ceiling.keep_only([])
        self.assertEqual(0, ceiling.count)

    def test_warm_endpoint_above_the_ceiling_is_avoided_not_refused(self):
        ceiling = self.make()
        self.now += 50.0
        other = dataclasses.replace(self.endpoint, instance="other")
        for _ in range(40):
            ceiling.add_start(self.endpoint.instance, is_own=True)
        both = [self.endpoint, other]
        self.assertEqual([other], ceiling.preferred(both))
        self.assertEqual([self.endpoint], ceiling.preferred([self.endpoint]))
        self.assertEqual(0.0, ceiling.wait_s(self.endpoint))


class CeilingTest(ColdTest):
    """Guards against a cold endpoint that crashes under too many requests."""

    def run_fleet(self, groups, seconds, per_s, seed, *, pause_s=0.0):
        """Return the times of the requests to the endpoint.

        :param groups: nodes of each pool, in the endpoint's pool first, and
            whether they hear one another until a clock time
        :param per_s: requests that come to all nodes in a second
        :param pause_s: time after a second in which no requests come
        """
        random.seed(seed)
        nodes = [
            (self.make(f"{g}-{i}", count, len(groups), is_own=g == 0), g, ends)
            for g, (count, ends) in enumerate(groups)
            for i in range(count)
        ]
        numbers, start, times = itertools.count(), self.now, []
        events = []
        for _ in range(round(per_s * seconds)):
            at_s = start + random.uniform(0, seconds)
            if not 1.0 <= at_s - start < 1.0 + pause_s:
                heapq.heappush(
                    events, (at_s, next(numbers), random.choice(nodes), True)
                )
        while events:
            self.now, _, node, is_own = heapq.heappop(events)
            ceiling, group, ends = node
            if not is_own:
                ceiling.add_start(self.endpoint.instance, is_own=False)
                continue
            if ceiling.wait_s(self.endpoint) > 0:
                continue
            times.append(self.now)
            ceiling.add_start(self.endpoint.instance, is_own=True)
            for other in nodes:
                # Nodes of other pools hear only their own.
                hears = other[1] in (group, 0) and self.now < other[2]
                if other is node or not hears or random.random() < _LOSS:
                    continue
                at_s = self.now + random.uniform(0.002, 0.008)
                heapq.heappush(events, (at_s, next(numbers), other, False))
        return times

    def check(self, *args, least=0.0, **kwargs):
        start = self.now
        for seed in range(5):
            self.now = start
            self.endpoint = dataclasses.replace(
                self.endpoint,
                born_ms=round((self.now + _UNIX_OFFSET_S) * 1000),
            )
            times = self.run_fleet(*args, seed, **kwargs)
            most = max(
                sum(at_s <= other < at_s + 1.0 for other in times)
                for at_s in times
            )
            self.assertLessEqual(most, _CEILING)
            self.assertGreaterEqual(len(times), least)

    def test_all_hear_one_another(self):
        for nodes in (1, 8, 23):
            self.check([(nodes, 1e9)], 3.0, 300, least=0.65 * 3 * 14)
        # Of a large pool, a part of the nodes may use an endpoint.
        self.check([(48, 1e9)], 3.0, 300, least=0.4 * 3 * 14)

    def test_three_pools(self):
        groups = [(23, 1e9)] * 3
        self.check(groups, 3.0, 300, least=0.65 * 3 * 14)

    def test_other_pools_alone(self):
        self.check([(1, 1e9), (23, 1e9), (23, 1e9)], 3.0, 300, least=8)

    def test_nodes_hear_nobody(self):
        for groups in ([(8, 0)], [(23, 0)], [(48, 0)], [(23, 0)] * 3):
            self.check(groups, 3.0, 1000, least=20)

    def test_nodes_stop_hearing(self):
        for groups in ([(8, 101.5)], [(23, 101.5)], [(23, 101.5)] * 3):
            self.check(groups, 3.0, 300, least=20)

    def test_burst_after_a_pause(self):
        for groups in ([(1, 1e9)], [(8, 1e9)], [(23, 1e9)] * 3):
            self.check(groups, 3.0, 1000, pause_s=1.0)

    def test_large_pools_that_stop_hearing_during_a_pause(self):
        # One request of each node would be far too many.
        for groups in ([(48, 101.5)], [(48, 101.5)] * 3):
            self.check(groups, 3.0, 3000, pause_s=1.0)
