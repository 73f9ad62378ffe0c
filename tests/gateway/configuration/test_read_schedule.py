"""Tests of the calls of many nodes to a store that fails or comes back."""

import random

from fireflyspur.gateway.configuration import read_schedule
from tests.support import fake_clock

_STEP_S = 0.02
_TOPIC = "endpoints"


class _Nodes:
    """Attempts of several nodes, which share what a read finds.

    :param is_served: tells whether the store serves a node at this time
    """

    def __init__(self, test, count, is_served, heard=None, is_own=False):
        rng = random.Random(7)
        self.test = test
        self.schedules = [
            read_schedule.ReadSchedule(rng.random) for _ in range(count)
        ]
        self.is_served = is_served
        self.heard = heard or count
        self.is_own = is_own
        self.read_at_s = test.now
        self.calls = []
        self.reads = []

    def run(self, seconds, late_after_s=0.0):
        """Let the nodes attempt when they may."""
        end_s = self.test.now + seconds
        while self.test.now < end_s:
            self.test.now += _STEP_S
            for number, schedule in enumerate(self.schedules):
                if self._wait_s(schedule, late_after_s) > 0:
                    continue
                self.calls.append(self.test.now)
                if self.is_served(number):
                    schedule.record_success(_TOPIC)
                    self.reads.append(self.test.now)
                    self.read_at_s = self.test.now
                else:
                    schedule.record_failure(
                        _TOPIC, self.heard, is_own=self.is_own
                    )

    def _wait_s(self, schedule, late_after_s):
        if self.is_own:
            return schedule.own_wait_s(_TOPIC, self.heard, 0.0)
        age_s = self.test.now - self.read_at_s
        is_late = age_s > late_after_s
        if not is_late:
            return 1.0
        return schedule.shared_wait_s(
            _TOPIC,
            self.heard,
            self.read_at_s,
            is_late=is_late,
            has_turn=False,
        )

    def rate(self, start_s, end_s):
        """Return the calls a second between two times."""
        found = sum(start_s <= at_s < end_s for at_s in self.calls)
        return found / (end_s - start_s)


class OutageTest(fake_clock.FakeClockTest):
    """Guards against calls to a failing store that grow with the fleet.

    They also must not become so rare that its return is noticed late.
    """

    def test_rate_of_all_nodes_together_does_not_depend_on_their_number(self):
        for count in (8, 70, 350):
            nodes = _Nodes(self, count, lambda number: False)
            start_s = self.now
            nodes.run(60.0)
            self.assertLess(nodes.rate(start_s, start_s + 1), 25, count)
            for second in range(3, 50, 5):
                at_s = start_s + second
                rate = nodes.rate(at_s, at_s + 10)
                self.assertGreater(rate, 2.0, count)
                self.assertLess(rate, 6.5, count)

    def test_return_of_the_store_is_noticed_within_two_seconds(self):
        for count in (2, 8, 70, 350):
            for outage_s in (2.0, 5.0, 30.0):
                back_s = self.now + outage_s
                nodes = _Nodes(
                    self, count, lambda number, b=back_s: self.now >= b
                )
                nodes.run(outage_s + 4.0, late_after_s=0.7)
                first_s = min(at for at in nodes.reads if at >= back_s)
                self.assertLess(first_s - back_s, 2.0, (count, outage_s))

    def test_no_burst_follows_the_return_of_the_store(self):
        for count in (8, 70, 350):
            back_s = self.now + 20.0
            nodes = _Nodes(self, count, lambda number, b=back_s: self.now >= b)
            nodes.run(30.0, late_after_s=2.0)
            self.assertLess(nodes.rate(back_s, back_s + 10), 6.5, count)

    def test_served_nodes_read_soon_if_others_are_refused(self):
        # Half of the nodes, and one failure domain of three.
        for count, served in ((8, 2), (70, 2), (350, 2), (69, 3)):
            nodes = _Nodes(
                self, count, lambda number, s=served: not number % s
            )
            start_s = self.now
            nodes.run(20.0, late_after_s=0.75)
            gaps = [
                b - a
                for a, b in zip(
                    [start_s, *nodes.reads], nodes.reads, strict=False
                )
            ]
            late = [gap for gap in gaps if gap > 1.5]
            self.assertLess(len(late), 2, (count, served, gaps))
            self.assertLess(max(gaps), 3.0, (count, served))
            self.assertLess(nodes.rate(start_s, self.now), 12, count)

    def test_rate_of_nodes_that_must_all_read_falls_within_two_seconds(self):
        for count in (8, 78, 300):
            nodes = _Nodes(self, count, lambda number: False, is_own=True)
            start_s = self.now
            nodes.run(20.0)
            first = nodes.rate(start_s, start_s + 2) * 2
            self.assertLess(first, 5 * count, count)
            self.assertLess(nodes.rate(start_s + 2, self.now), 1.6 * count)
            if count >= 75:
                # Each node then waits for 1.5 s.
                self.assertLess(nodes.rate(start_s + 4, self.now), 0.8 * count)


class LoneNodeTest(fake_clock.FakeClockTest):
    """Guards against a lone node that waits for others, or calls too often."""

    def test_first_attempt_is_immediate(self):
        schedule = read_schedule.ReadSchedule()
        wait_s = schedule.shared_wait_s(
            _TOPIC, 1, self.now - 2.5, is_late=True, has_turn=False
        )
        self.assertEqual(0.0, wait_s)

    def test_rate_is_bounded_and_the_return_is_noticed(self):
        for is_own in (False, True):
            nodes = _Nodes(self, 1, lambda number: False, is_own=is_own)
            start_s = self.now
            nodes.run(30.0)
            self.assertLess(nodes.rate(start_s, start_s + 30), 2.0)
            gaps = [
                b - a
                for a, b in zip(nodes.calls, nodes.calls[1:], strict=False)
            ]
            self.assertLess(max(gaps), 1.2)

    def test_rate_does_not_grow_with_the_topics_that_fail(self):
        schedule = read_schedule.ReadSchedule(random.Random(3).random)
        topics = ("config", "endpoints", "nodes")
        calls = 0
        for _ in range(1_500):
            self.now += _STEP_S
            for topic in topics:
                if schedule.own_wait_s(topic, 1, 0.0) <= 0:
                    calls += 1
                    schedule.record_failure(topic, 1, is_own=True)
        self.assertLess(calls / 30.0, 2.0)

    def test_topic_that_is_back_lets_the_others_be_tried(self):
        schedule = read_schedule.ReadSchedule()
        for _ in range(5):
            schedule.record_failure("config", 1, is_own=True)
            schedule.record_failure("nodes", 1, is_own=True)
        self.assertGreater(schedule.own_wait_s("nodes", 1, 0.0), 0.3)
        schedule.record_success("config")
        self.assertEqual(0.0, schedule.own_wait_s("nodes", 1, 0.0))

    def test_topic_that_never_failed_does_not_end_the_waits_of_others(self):
        schedule = read_schedule.ReadSchedule()
        schedule.record_failure("config", 70, is_own=False)
        schedule.record_success("endpoints")
        self.assertGreater(schedule.retry_wait_s("config"), 0.0)

    def test_node_that_is_cut_off_from_the_others_stops_to_wait_for_them(self):
        schedule = read_schedule.ReadSchedule(lambda: 0.9)
        read_at_s = self.now - 2.3
        wait_s = schedule.shared_wait_s(
            _TOPIC, 70, read_at_s, is_late=True, has_turn=False
        )
        self.assertGreater(wait_s, 5.0)
        wait_s = schedule.shared_wait_s(
            _TOPIC, 1, read_at_s, is_late=True, has_turn=False
        )
        self.assertEqual(0.0, wait_s)
        schedule.record_failure(_TOPIC, 70, is_own=False)
        wait_s = schedule.shared_wait_s(
            _TOPIC, 1, read_at_s, is_late=True, has_turn=False
        )
        self.assertLess(wait_s, 1.1)


class ReaderTest(fake_clock.FakeClockTest):
    """Guards against readers that are refused, and against two readers."""

    def test_refused_node_does_not_retry_while_another_one_reads(self):
        schedule = read_schedule.ReadSchedule()
        schedule.record_failure(_TOPIC, 70, is_own=False)
        self.now += 1.0
        wait_s = schedule.shared_wait_s(
            _TOPIC, 70, self.now - 0.2, is_late=False, has_turn=True
        )
        self.assertGreater(wait_s, 5.0)

    def test_refused_node_attempts_again_once_the_other_one_stops(self):
        schedule = read_schedule.ReadSchedule(lambda: 0.1)
        schedule.record_failure(_TOPIC, 70, is_own=False)
        self.now += 3.0
        wait_s = schedule.shared_wait_s(
            _TOPIC, 70, self.now - 2.3, is_late=True, has_turn=True
        )
        self.assertLess(wait_s, 0.5)

    def test_node_that_read_late_goes_on_until_another_one_reads(self):
        schedule = read_schedule.ReadSchedule()
        schedule.record_read_for_all(
            _TOPIC, self.now - 2.4, self.now, is_late=True
        )
        self.assertTrue(schedule.is_reader(_TOPIC, self.now))
        self.now += 1.0
        schedule.record_read_for_all(
            _TOPIC, self.now - 1.0, self.now, is_late=False
        )
        self.assertTrue(schedule.is_reader(_TOPIC, self.now))
        self.now += 1.0
        schedule.record_read_for_all(
            _TOPIC, self.now - 0.5, self.now, is_late=False
        )
        self.assertFalse(schedule.is_reader(_TOPIC, self.now))


class ChangeTest(fake_clock.FakeClockTest):
    """Guards against a burst of calls after a change that all nodes read."""

    def test_reads_are_spread_in_a_large_fleet_and_quick_in_a_small_one(self):
        for count, longest_s in ((3, 0.05), (70, 0.71), (350, 1.0)):
            waits = [
                read_schedule.ReadSchedule().own_wait_s(_TOPIC, count, 1.0)
                for _ in range(count)
            ]
            self.assertLess(max(waits), longest_s)
            if count > 3:
                first = sum(wait < 0.1 for wait in waits)
                self.assertLess(first, count / 3)
