"""Tests of the predicted time of a free slot."""

import math

from fireflyspur.gateway.scheduling import in_flight_table
from fireflyspur.gateway.scheduling import latency_model
from fireflyspur.gateway.scheduling import slot_forecast
from tests.gateway.scheduling import test_placement
from tests.support import fake_clock

_ENGINE = test_placement.ENGINE


class SlotForecastTest(fake_clock.FakeClockTest):
    """Guards against waits for slots that are known to stay taken."""

    def request(self, number, output_tokens, age_s=0.0, is_primary=True):
        return in_flight_table.InFlightRequest(
            key=f"node-1/{number}",
            instance="engine-0",
            prefill=latency_model.full_prefill(5_000),
            is_urgent=not is_primary,
            reports_prefill_end=False,
            memory_tokens=5_000 + output_tokens,
            target_s=0.3 if is_primary else None,
            max_gap_s=0.25 if is_primary else None,
            weight=1.0,
            started_at_s=self.now - age_s,
            expires_at_s=self.now - age_s + 10,
            output_tokens=output_tokens,
        )

    def free_in_s(self, *requests):
        return slot_forecast.free_in_s(_ENGINE, requests, self.now)

    def test_full_engine_is_free_when_its_shortest_response_ends(self):
        long = [self.request(n, 2_000) for n in range(_ENGINE.slots - 1)]
        free_s = self.free_in_s(*long, self.request(99, 400))
        self.assertGreater(free_s, 0.3)
        self.assertLess(free_s, 0.7)
        self.assertGreater(self.free_in_s(*long, long[0]), 1.8)

    def test_overfull_engine_must_end_more_than_one(self):
        short = self.request(99, 400)
        long = [self.request(n, 2_000) for n in range(_ENGINE.slots)]
        self.assertGreater(self.free_in_s(*long, short), 1.8)

    def test_response_that_is_overdue_may_end_at_any_moment(self):
        overdue = [
            self.request(n, 400, age_s=3.0) for n in range(_ENGINE.slots)
        ]
        self.assertLess(self.free_in_s(*overdue), 0.1)

    def test_engine_that_lacks_memory_has_some_at_the_next_end(self):
        free_s = self.free_in_s(self.request(1, 400), self.request(2, 2_000))
        self.assertLess(free_s, 0.7)

    def test_helper_slots_are_free_when_a_part_is_read(self):
        parts = [
            self.request(n, 0, is_primary=False) for n in range(_ENGINE.slots)
        ]
        self.assertLess(self.free_in_s(*parts), 0.1)

    def test_idle_engine_that_is_not_chosen_never_gets_room(self):
        # A prompt that exceeds the memory of all engines is refused at once.
        self.assertEqual(math.inf, self.free_in_s())
