"""Pattern: one of several endpoints fails a part of its requests."""

import dataclasses
import random

from fireflyspur.experiment import example_engine
from fireflyspur.gateway.endpoints import endpoint as endpoints
from fireflyspur.gateway.endpoints import endpoint_directory
from fireflyspur.gateway.scheduling import engine_candidates
from fireflyspur.gateway.scheduling import in_flight_table
from fireflyspur.gateway.scheduling import placement
from tests.support import fake_clock

_COUNT = 4
_BAD = "desk-0"
_REQUESTS_PER_S = 5


class FaultyShareTest(fake_clock.FakeClockTest):
    """Guards against an endpoint that keeps its share while it fails.

    An endpoint that failed 4 of 10 requests counted as sound after each
    success.
    """

    def setUp(self):
        super().setUp()
        random.seed(3)
        self.directory = endpoint_directory.EndpointDirectory(3.6, 2.5)
        table = in_flight_table.InFlightTable()
        self.selector = placement.EndpointSelector(
            self.directory,
            table,
            engine_candidates.EngineCandidates.for_one_pool(
                self.directory, table
            ),
            example_engine.FAILURE_DOMAIN,
        )
        self.list_endpoints(born_ms=1)

    def list_endpoints(self, born_ms):
        listed = tuple(
            dataclasses.replace(
                example_engine.endpoint(number),
                instance=f"desk-{number}",
                service="desk",
                born_ms=born_ms,
            )
            for number in range(_COUNT)
        )
        self.directory.replace(endpoints.EndpointList(listed, self.now))

    def run_for(self, seconds, error_share):
        """Return the share of requests that the bad endpoint gets."""
        got = 0
        for _ in range(seconds * _REQUESTS_PER_S):
            self.now += 1 / _REQUESTS_PER_S
            chosen = self.selector.choose_plain("desk", frozenset())
            instance = chosen.primary.instance
            self.directory.errors.add_request(instance)
            if instance == _BAD:
                got += 1
                if random.random() < error_share:
                    self.directory.record_fault(_BAD, "test")
                else:
                    self.directory.record_success(_BAD)
        return got / (seconds * _REQUESTS_PER_S)

    def test_sound_endpoints_share_evenly(self):
        self.assertAlmostEqual(1 / _COUNT, self.run_for(100, 0.0), delta=0.06)

    def test_it_loses_most_of_its_share(self):
        self.run_for(10, 0.4)
        self.assertLess(self.run_for(100, 0.4), 0.4 / _COUNT)

    def test_it_regains_its_share_gradually(self):
        for _ in range(20):
            self.now += 0.5
            self.directory.record_fault(_BAD, "test")
            self.directory.record_success(_BAD)
        self.now += 1.0
        first = self.run_for(8, 0.0)
        shares = [self.run_for(8, 0.0) for _ in range(10)]
        self.assertLess(first, 0.3 / _COUNT)
        self.assertGreater(max(shares[:6]), 0.5 / _COUNT)
        self.assertAlmostEqual(1 / _COUNT, sum(shares[-4:]) / 4, delta=0.1)


class ErrorRatesTest(fake_clock.FakeClockTest):
    """Guards against rates that follow from one cause or another process."""

    def setUp(self):
        super().setUp()
        self.directory = endpoint_directory.EndpointDirectory(3.6, 2.5)
        self.errors = self.directory.errors
        self.list_engine(born_ms=1)

    def list_engine(self, born_ms):
        engine = dataclasses.replace(
            example_engine.endpoint(0), born_ms=born_ms
        )
        self.now += 0.1
        self.directory.replace(endpoints.EndpointList((engine,), self.now))

    def rate(self):
        return self.errors.rate("engine-0")

    def test_rate_approaches_the_share_of_errors(self):
        for number in range(400):
            self.now += 0.1
            self.errors.add_request("engine-0")
            if number % 10 < 4:
                self.now += 0.3
                self.errors.add_error("engine-0")
        self.assertAlmostEqual(0.4, self.rate(), delta=0.1)

    def test_requests_that_break_together_count_once(self):
        for _ in range(8):
            self.errors.add_error("engine-0")
        self.assertAlmostEqual(1 / 3, self.rate())

    def test_one_crash_is_forgiven_at_a_restart_and_several_are_not(self):
        self.directory.record_fault("engine-0", "test")
        self.list_engine(born_ms=2)
        self.assertEqual(0.0, self.rate())
        for born_ms in range(3, 6):
            for _ in range(2):
                self.now += 0.5
                self.directory.record_fault("engine-0", "test")
            self.list_engine(born_ms)
        self.assertGreater(self.rate(), 0.2)

    def test_errors_of_the_own_paths_are_forgotten(self):
        self.now += 1.0
        self.directory.record_fault("engine-0", "test")
        self.directory.forget_faults(self.now - 0.5)
        self.assertEqual(0.0, self.rate())
