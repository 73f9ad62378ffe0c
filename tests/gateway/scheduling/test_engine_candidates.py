"""Pattern: one failure domain is full while others have idle engines."""

import dataclasses
import time

from fireflyspur.experiment import example_engine
from fireflyspur.gateway.configuration import routing_config
from fireflyspur.gateway.endpoints import endpoint as endpoints
from fireflyspur.gateway.endpoints import endpoint_directory
from fireflyspur.gateway.endpoints import endpoint_notices
from fireflyspur.gateway.endpoints import rate_limits
from fireflyspur.gateway.fleet import pool_map
from fireflyspur.gateway.scheduling import engine_candidates
from fireflyspur.gateway.scheduling import in_flight_table
from fireflyspur.gateway.scheduling import latency_model
from fireflyspur.gateway.scheduling import placement
from fireflyspur.gateway.scheduling import placement_cost
from fireflyspur.gateway.scheduling import pool_loads
from tests.support import fake_clock

_SERVICE = routing_config.Service(example_engine.SERVICE, example_engine.SPEC)
_QUOTE = placement_cost.Demand(5_000, 1_600, 0.3, 0.2, 1.0)
_NODES = 60


class SpillTest(fake_clock.FakeClockTest):
    """Guards against callers that wait while engines elsewhere are idle."""

    def setUp(self):
        super().setUp()
        self.directory = endpoint_directory.EndpointDirectory(3.6, 2.5)
        self.table = in_flight_table.InFlightTable()
        self.loads = pool_loads.PoolLoads(self.table)
        pools = pool_map.PoolMap("node-0", "zone-a")
        pools.set_nodes(
            {f"node-{n}": f"zone-{'ab'[n % 2]}" for n in range(_NODES)}
        )
        self.candidates = engine_candidates.EngineCandidates(
            self.directory,
            self.table,
            pools,
            self.loads,
            endpoint_notices.EndpointNotices(
                rate_limits.RateLimits.unlimited()
            ),
        )
        self.selector = placement.EndpointSelector(
            self.directory, self.table, self.candidates, "zone-a"
        )
        self.list_engines({"a-0": "zone-a", "a-1": "zone-a", "b-0": "zone-b"})

    def list_engines(self, domains):
        listed = tuple(
            dataclasses.replace(
                example_engine.endpoint(number),
                instance=name,
                failure_domain=domain,
            )
            for number, (name, domain) in enumerate(domains.items())
        )
        self.directory.replace(endpoints.EndpointList(listed, self.now))

    def add_prompts(self, instance, count, tokens):
        for _ in range(count):
            number = self.table.count(instance)
            self.table.add(
                in_flight_table.InFlightRequest(
                    key=f"{instance}/{number}",
                    instance=instance,
                    prefill=latency_model.full_prefill(tokens),
                    is_urgent=False,
                    reports_prefill_end=False,
                    memory_tokens=tokens,
                    target_s=3.0,
                    max_gap_s=0.8,
                    weight=1.0,
                    started_at_s=self.now,
                    expires_at_s=self.now + 20,
                )
            )

    def choose(self):
        chosen = self.selector.choose_engine(_SERVICE, _QUOTE, frozenset())
        return chosen and chosen.primary.instance

    def test_engine_of_the_own_pool_is_used_while_it_is_in_time(self):
        self.loads.add_idle(["b-0"])
        for _ in range(10):
            self.assertIn(self.choose(), ("a-0", "a-1"))

    def test_idle_engine_elsewhere_is_used_when_the_own_ones_are_late(self):
        for instance in ("a-0", "a-1"):
            self.add_prompts(instance, 2, 200_000)
        self.loads.add_idle(["b-0"])
        self.assertEqual("b-0", self.choose())

    def test_idle_engine_elsewhere_is_used_when_no_own_one_is_left(self):
        self.list_engines({"b-0": "zone-b"})
        self.now += 0.1
        self.list_engines({"b-0": "zone-b"})
        self.loads.add_idle(["b-0"])
        self.assertEqual("b-0", self.choose())

    def test_paused_engines_are_used_only_if_all_are(self):
        for instance in ("a-0", "a-1"):
            self.directory.record_fault(instance, "test")
        self.assertEqual("b-0", self.choose())
        self.loads.add_idle(["b-0"])
        self.assertEqual("b-0", self.choose())
        self.directory.record_fault("b-0", "test")
        self.assertIsNotNone(self.choose())

    def test_engine_elsewhere_is_better_than_none(self):
        self.list_engines({"b-0": "zone-b"})
        self.now += 0.1
        self.list_engines({"b-0": "zone-b"})
        self.assertEqual("b-0", self.choose())

    def test_search_elsewhere_grows_in_proportion_to_the_engines(self):
        seconds = {}
        for count in (400, 1_600):
            self.now += 1.0
            self.list_engines(
                {f"e-{n}": f"zone-{'ab'[n % 2]}" for n in range(count)}
            )
            started = time.process_time()
            for _ in range(10):
                self.candidates.unreported(
                    _SERVICE.name, _SERVICE.engine, frozenset()
                )
            seconds[count] = time.process_time() - started
        # Four times the engines; a comparison of each with each takes 16
        # times as long.
        self.assertLess(seconds[1_600], 10 * seconds[400])

    def test_engine_without_a_recent_report_of_room_is_not_used(self):
        for instance in ("a-0", "a-1"):
            self.add_prompts(instance, 2, 200_000)
        self.assertIn(self.choose(), ("a-0", "a-1"))
        self.loads.add_idle(["b-0"])
        self.now += 5.0
        self.assertIn(self.choose(), ("a-0", "a-1"))

    def test_own_requests_since_a_report_count(self):
        for instance in ("a-0", "a-1"):
            self.add_prompts(instance, 2, 200_000)
        self.loads.add_idle(["b-0"])
        self.add_prompts("b-0", 1, 5_000)
        self.assertEqual("b-0", self.choose())
        self.add_prompts("b-0", 2, 200_000)
        self.assertIn(self.choose(), ("a-0", "a-1"))
        self.add_prompts("b-0", 5, 5_000)
        for instance in ("a-0", "a-1"):
            self.add_prompts(instance, 6, 5_000)
        self.assertIsNone(self.choose())
