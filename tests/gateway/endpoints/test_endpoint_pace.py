"""Pace of endpoints that start, recover or are slow, in virtual time."""

import dataclasses
import heapq
import itertools
import random

from fireflyspur.experiment import example_engine
from fireflyspur.gateway.endpoints import endpoint_pace
from fireflyspur.generated import peer_updates_pb2 as peer_updates
from tests.support import fake_clock

_SLOTS = 8
_USUAL_S = 0.3
_STREAM_S = 0.8
# Silence after which an endpoint is probed.
_SILENT_S = 2 * _USUAL_S + 0.35
_LOSS = 0.01
_EXPECTED = endpoint_pace.Expectation(_USUAL_S)


class _Outbox:
    def __init__(self):
        self.sent = []

    def drafts_for(self, endpoint):
        draft = peer_updates.PeerUpdate()
        self.sent.append(draft)
        return [draft]


class PaceTest(fake_clock.FakeClockTest):
    """Makes the paces of nodes for one endpoint."""

    def setUp(self):
        super().setUp()
        random.seed(1)
        self.endpoint = dataclasses.replace(
            example_engine.endpoint(0), slots=_SLOTS
        )
        self.beginning = None
        self.recovered = []

    def make(self, *, is_own=True):
        outbox = _Outbox()
        paces = endpoint_pace.EndpointPaces(
            outbox,
            lambda _: self.endpoint,
            lambda _: self.beginning,
            lambda _: is_own,
            self.recovered.append,
        )
        return paces, outbox

    def begin(self, reason="fault"):
        self.beginning = endpoint_pace.SlowStart(
            reason, self.now, reason == "cold"
        )

    def restart(self):
        self.endpoint = dataclasses.replace(
            self.endpoint, born_ms=(self.endpoint.born_ms or 0) + 1
        )


class EndpointPaceTest(PaceTest):
    """Guards against an endpoint whose load is not that which it answers."""

    def answer(self, paces, elapsed_s, count=1):
        for _ in range(count):
            self.now += max(0.1, 1.1 * elapsed_s)
            paces.record_answer(self.endpoint, elapsed_s, _EXPECTED)

    def test_endpoint_that_answers_as_predicted_has_none(self):
        paces, outbox = self.make()
        for elapsed_s in (0.01, 0.3, 0.6, 0.9):
            self.answer(paces, elapsed_s, 20)
        self.assertIsNone(paces.limit(self.endpoint))
        self.assertEqual(
            endpoint_pace.Assessment(), paces.assess(self.endpoint, 100)
        )
        self.assertEqual([], outbox.sent)

    def test_single_late_answer_limits_nothing(self):
        paces, _ = self.make()
        self.answer(paces, 3.0)
        pace = paces.assess(self.endpoint, _SLOTS)
        self.assertEqual(0.0, pace.excess)
        self.assertGreater(pace.factor, 1.2)
        self.answer(paces, 0.3, 3)
        self.assertIsNone(paces.limit(self.endpoint))

    def test_late_answers_lower_the_limit(self):
        paces, _ = self.make()
        self.answer(paces, 3.0, 6)
        self.assertLess(paces.limit(self.endpoint), 3)
        self.assertGreater(paces.assess(self.endpoint, 0).factor, 3)

    def test_requests_sent_before_a_fall_do_not_lower_it_again(self):
        paces, _ = self.make()
        for _ in range(8):
            self.now += 0.01
            paces.record_silence(self.endpoint, 1.0)
        self.assertGreater(paces.limit(self.endpoint), 5)
        self.assertLess(paces.limit(self.endpoint), _SLOTS)

    def test_beginning_is_low_and_ends_at_the_slots(self):
        for reason in ("fault", "new", "cold"):
            paces, _ = self.make()
            self.begin(reason)
            self.assertEqual(2.0, paces.limit(self.endpoint))
            self.assertEqual(0.0, paces.assess(self.endpoint, 1).excess)
            self.assertGreater(paces.assess(self.endpoint, 2).excess, 0)
            self.answer(paces, 0.3, 7)
            self.assertIsNone(paces.limit(self.endpoint))

    def test_cold_endpoint_is_expected_to_be_slow(self):
        paces, _ = self.make()
        self.begin("cold")
        self.assertGreater(paces.assess(self.endpoint, 0).factor, 1.0)

    def test_missing_answers_and_errors_lower_the_limit(self):
        paces, _ = self.make()
        self.begin()
        self.answer(paces, 0.3, 3)
        paces.record_failure(self.endpoint)
        self.assertEqual(2.5, paces.limit(self.endpoint))
        paces.record_refusal(self.endpoint)
        paces.record_failure(self.endpoint)
        paces.record_failure(self.endpoint)
        self.assertEqual(1.0, paces.limit(self.endpoint))

    def test_single_error_of_an_endpoint_in_use_leaves_half(self):
        paces, _ = self.make()
        paces.record_failure(self.endpoint)
        self.assertEqual(_SLOTS / 2, paces.limit(self.endpoint))
        self.answer(paces, 0.3, _SLOTS // 2)
        self.assertIsNone(paces.limit(self.endpoint))

    def test_later_fault_begins_anew(self):
        paces, _ = self.make()
        self.begin()
        self.answer(paces, 0.3, 7)
        self.now += 1.0
        self.begin()
        self.assertEqual(2.0, paces.limit(self.endpoint))

    def test_pace_of_an_old_process_is_not_that_of_its_successor(self):
        (paces, outbox), (other, _) = self.make(), self.make()
        paces.record_failure(self.endpoint)
        self.restart()
        self.assertIsNone(paces.limit(self.endpoint))
        other.update_from_peer(outbox.sent[-1].paces[0], 0.0)
        self.assertIsNone(other.limit(self.endpoint))

    def test_older_news_changes_nothing(self):
        (paces, outbox), (other, _) = self.make(), self.make()
        self.begin()
        self.answer(paces, 0.3)
        late = outbox.sent[-1].paces[0]
        self.answer(other, 0.3, 3)
        before = other.limit(self.endpoint)
        other.update_from_peer(late, 0.9)
        self.assertEqual(before, other.limit(self.endpoint))

    def test_answers_to_another_node_end_the_pause_of_this_one(self):
        (paces, outbox), (other, _) = self.make(), self.make()
        self.begin()
        self.answer(paces, 0.3)
        other.update_from_peer(outbox.sent[-1].paces[0], 0.0)
        self.assertEqual([self.endpoint.instance], self.recovered)
        self.recovered.clear()
        self.now += 1.0
        self.begin()
        other.update_from_peer(outbox.sent[-1].paces[0], 0.5)
        self.assertEqual([], self.recovered)

    def test_end_reaches_other_nodes(self):
        (paces, outbox), (other, _) = self.make(), self.make()
        self.begin()
        self.answer(paces, 0.3, 7)
        for draft in outbox.sent:
            self.now += 0.01
            other.update_from_peer(draft.paces[0], 0.0)
        self.assertIsNone(other.limit(self.endpoint))
        self.assertEqual([], other.describe())

    def test_nodes_of_other_pools_leave_the_room_to_its_own(self):
        paces, _ = self.make(is_own=False)
        self.begin()
        self.assertGreater(paces.assess(self.endpoint, 0).excess, 0)

    def test_odd_values_of_a_peer_are_bounded(self):
        paces, _ = self.make()
        for limit, factor in ((1e30, 1e30), (float("nan"), float("nan"))):
            self.now += 1.0
            paces.update_from_peer(
                peer_updates.EndpointPace(
                    instance=self.endpoint.instance,
                    born_ms=self.endpoint.born_ms,
                    limit=limit,
                    factor=factor,
                ),
                0.0,
            )
            pace = paces.assess(self.endpoint, 3)
            self.assertEqual(0.0, pace.excess)
            self.assertLessEqual(pace.factor, 10.0)

    def test_pace_without_answers_ends(self):
        paces, _ = self.make()
        paces.record_failure(self.endpoint)
        paces.keep_only([self.endpoint.instance])
        self.assertEqual(1, paces.count)
        self.now += 31.0
        paces.keep_only([self.endpoint.instance])
        self.assertEqual(0, paces.count)


class _Engine:
    """An engine whose answers slow down beyond its capacity.

    :ivar lost: share of the answers that never come
    """

    def __init__(self):
        self.capacity = _SLOTS
        self.slowness = 1.0
        self.lost = 0.0
        self.in_flight = 0

    def answer_s(self):
        load = max(1.0, (self.in_flight + 1) / self.capacity)
        return _USUAL_S * self.slowness * load**3


class RecoveryTest(PaceTest):
    """Guards against an endpoint that is overloaded or idle for long.

    Twelve nodes share an engine; each sees a part of its answers.
    """

    def setUp(self):
        super().setUp()
        self.engine = _Engine()
        self.nodes = [self.make() for _ in range(12)]
        self.events = []
        self.numbers = itertools.count()
        self.samples = []

    def run_until(self, until_s):
        """Send a request whenever a node finds room; return the loads."""
        self.samples = []
        self._push(self.now, self._try_to_send)
        while self.events and self.events[0][0] < until_s:
            self.now, _, action, args = heapq.heappop(self.events)
            action(*args)
        self.events = [e for e in self.events if e[2] != self._try_to_send]
        heapq.heapify(self.events)
        self.now = until_s
        return self.samples

    def _push(self, at_s, action, *args):
        heapq.heappush(self.events, (at_s, next(self.numbers), action, args))

    def _try_to_send(self):
        self._push(self.now + 0.01, self._try_to_send)
        self.samples.append((self.now, self.engine.in_flight))
        node = random.choice(self.nodes)
        in_flight = self.engine.in_flight
        pace = node[0].assess(self.endpoint, in_flight)
        if in_flight >= _SLOTS or pace.excess:
            return
        answer_s = self.engine.answer_s()
        expected = endpoint_pace.Expectation(
            _USUAL_S * pace.factor, pace.factor
        )
        self.engine.in_flight += 1
        if random.random() < self.engine.lost:
            self._push(self.now + 1.0, self._fail, node)
            return
        if answer_s > _SILENT_S:
            self._push(self.now + _SILENT_S, self._be_silent, node)
        self._push(self.now + answer_s, self._answer, node, answer_s, expected)
        self._push(self.now + answer_s + _STREAM_S, self._end)

    def _answer(self, node, answer_s, expected):
        node[0].record_answer(self.endpoint, answer_s, expected)
        self._share(node)

    def _be_silent(self, node):
        node[0].record_silence(self.endpoint, _SILENT_S)
        self._share(node)

    def _fail(self, node):
        self._end()
        node[0].record_failure(self.endpoint)
        self._share(node)

    def _end(self):
        self.engine.in_flight -= 1

    def _share(self, node):
        drafts, node[1].sent[:] = list(node[1].sent), []
        for draft, other in itertools.product(drafts, self.nodes):
            for pace in draft.paces:
                if other is not node and random.random() >= _LOSS:
                    delay_s = random.uniform(0.002, 0.008)
                    self._push(
                        self.now + delay_s,
                        other[0].update_from_peer,
                        pace,
                        delay_s,
                    )

    def limits(self):
        return [node[0].limit(self.endpoint) for node in self.nodes]

    def test_recovering_engine_is_full_within_two_seconds(self):
        self.begin()
        samples = self.run_until(self.now + 2.0)
        early = [n for at_s, n in samples if at_s < 100.2]
        self.assertLessEqual(max(early), 3)
        self.assertEqual(_SLOTS, samples[-1][1])
        self.assertEqual([None] * 12, self.limits())

    def test_capacity_drops_and_returns(self):
        self.engine.capacity = 3
        self.run_until(self.now + 6.0)
        samples = self.run_until(self.now + 6.0)
        mean = sum(n for _, n in samples) / len(samples)
        self.assertLess(mean, 6.0)
        self.assertGreater(mean, 2.0)
        self.engine.capacity = _SLOTS
        self.run_until(self.now + 2.0)
        samples = self.run_until(self.now + 0.5)
        self.assertEqual(_SLOTS, max(n for _, n in samples))

    def test_slow_engine_in_time_for_its_factor_is_used_whole(self):
        self.begin("cold")
        self.engine.slowness = 2.5
        samples = self.run_until(self.now + 6.0)
        self.assertEqual(_SLOTS, samples[-1][1])
        factors = [n[0].assess(self.endpoint, 0).factor for n in self.nodes]
        self.assertGreater(min(factors), 1.8)
        self.assertLess(max(factors), 3.0)

    def test_engine_that_loses_answers_gets_few(self):
        # Its health checks succeed all the time, which counts for nothing.
        self.engine.lost = 1.0
        self.run_until(self.now + 2.0)
        samples = self.run_until(self.now + 4.0)
        self.assertLessEqual(max(n for _, n in samples[100:]), 2)

    def test_restarted_engine_begins_anew(self):
        self.engine.capacity = 2
        self.run_until(self.now + 6.0)
        self.restart()
        self.begin("new")
        self.engine.capacity, self.engine.in_flight = _SLOTS, 0
        self.events.clear()
        samples = self.run_until(self.now + 2.0)
        self.assertEqual(_SLOTS, samples[-1][1])

    def test_few_messages(self):
        self.begin()
        sent = []
        share = self._share

        def count(node):
            sent.extend(draft.ByteSize() for draft in node[1].sent)
            share(node)

        self._share = count
        self.run_until(self.now + 10.0)
        self.assertLess(sum(sent), 600)
