"""Tests of the order and the time in which requests wait for room.

The load is that of uneven demand: prompts of 5,000 tokens with targets of
0.3 s share slots with prompts of 45,000 and 190,000 tokens.
"""

import random

from fireflyspur.gateway.scheduling import admission_queue
from fireflyspur.gateway.scheduling import placement_cost
from tests.gateway.scheduling import test_placement
from tests.support import fake_clock

_SHORT = (5_000, 0.3)
_REVIEW = (45_000, 1.53)
_LONG = (190_000, 6.06)


def waiting(kind, entered_at_s, left_s=None, excess=1.0):
    """Return a request that waits.

    :param left_s: remaining time until its target
    """
    tokens, target_s = kind
    return admission_queue.WaitingRequest(
        None,
        placement_cost.Demand(
            tokens,
            800,
            target_s if left_s is None else left_s,
            0.25,
            placement_cost.prompt_weight(tokens),
        ),
        test_placement.ENGINE,
        entered_at_s,
        entered_at_s + admission_queue.wait_limit_s(tokens, target_s),
        excess,
    )


class AdmissionOrderTest(fake_clock.FakeClockTest):
    """Guards against service in the order of arrival.

    In a phase of long prompts, short ones that arrive behind them would miss
    targets that the long ones are far from.
    """

    def in_order(self, *requests):
        queue = admission_queue.AdmissionQueue()
        for request in requests:
            queue.add(request)
        return queue.in_order()

    def test_target_in_danger_goes_before_an_earlier_arrival(self):
        early = waiting(_LONG, self.now - 0.05)
        late = waiting(_SHORT, self.now, left_s=0.1)
        self.assertEqual([late, early], self.in_order(early, late))

    def test_missed_target_goes_behind_one_that_can_be_met(self):
        missed = waiting(_SHORT, self.now, left_s=0.01)
        met = waiting(_SHORT, self.now, left_s=0.1)
        self.assertEqual([met, missed], self.in_order(missed, met))

    def test_long_prompt_at_the_end_of_its_wait_goes_before_short_ones(self):
        # Else short prompts that keep coming starve the long ones.
        old = waiting(_LONG, self.now - 0.7)
        fresh = [waiting(_SHORT, self.now) for _ in range(3)]
        self.assertEqual(old, self.in_order(*fresh, old)[0])

    def test_flooding_account_goes_behind_others(self):
        flood = [
            waiting(_SHORT, self.now - 0.01, excess=8.0) for _ in range(5)
        ]
        other = waiting(_SHORT, self.now)
        self.assertEqual(other, self.in_order(*flood, other)[0])

    def test_wait_is_an_eighth_of_the_target_at_most(self):
        limits = [
            admission_queue.wait_limit_s(*kind)
            for kind in (_SHORT, _REVIEW, _LONG)
        ]
        self.assertEqual([0.3 / 8, 0.25, 6.06 / 8], limits)

    def test_room_after_the_end_of_the_wait_is_too_late(self):
        request = waiting(_SHORT, self.now)
        self.assertFalse(admission_queue.is_too_late(request, 0.03))
        self.assertTrue(admission_queue.is_too_late(request, 0.05))


class AdmissionTurnTest(fake_clock.FakeClockTest):
    """Guards against nodes that all send to the slot that one freed.

    In a peak of short prompts after a phase of long ones, a third of the nodes
    of a pool have a request that waits; the engine would refuse all but one.
    """

    def setUp(self):
        super().setUp()
        random.seed(1)

    def senders(self, requests, nodes, update_s=0.003):
        """Return the requests that are sent before the first is known."""
        delays = [
            (admission_queue.turn_delay_s(request, nodes), index)
            for index, request in enumerate(requests)
        ]
        first_s = min(delays)[0]
        return [i for delay, i in delays if delay < first_s + update_s]

    def test_few_of_the_waiting_nodes_send_at_once(self):
        sent = 0
        for _ in range(100):
            requests = [waiting(_SHORT, self.now) for _ in range(8)]
            sent += len(self.senders(requests, nodes=24))
        self.assertLess(sent / 100, 3)

    def test_most_urgent_request_is_usually_first(self):
        first = 0
        for _ in range(100):
            requests = [waiting(_LONG, self.now) for _ in range(3)]
            requests.append(waiting(_SHORT, self.now - 0.02, left_s=0.1))
            first += 3 in self.senders(requests, nodes=24, update_s=1e-9)
        self.assertGreater(first, 60)

    def test_only_node_does_not_hold_what_it_can_send(self):
        request = waiting(_SHORT, self.now)
        self.assertEqual(0.0, admission_queue.turn_delay_s(request, 1))

    def test_turn_comes_before_the_end_of_the_wait(self):
        request = waiting(_SHORT, self.now - 0.036)
        for _ in range(50):
            delay_s = admission_queue.turn_delay_s(request, 350)
            self.assertLess(self.now + delay_s, request.expires_at_s)
