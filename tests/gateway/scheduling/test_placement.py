"""Tests of the choice of engines for prompts, without a network.

The load is a mix of three kinds of prompts: many short quotes, some longer
reviews, and a few archives, which may exceed the memory of one engine.
"""

import time

import testtools

from fireflyspur.experiment import example_engine
from fireflyspur.gateway.common import clock
from fireflyspur.gateway.endpoints import endpoint as endpoints
from fireflyspur.gateway.endpoints import endpoint_directory
from fireflyspur.gateway.scheduling import engine_candidates
from fireflyspur.gateway.scheduling import in_flight_table
from fireflyspur.gateway.scheduling import latency_model
from fireflyspur.gateway.scheduling import placement
from fireflyspur.gateway.scheduling import placement_cost
from fireflyspur.platform import config_codec
from tests.support import gateway_fleet
from tests.support import platform_config

_CONFIG = config_codec.decode(platform_config.encode(gateway_fleet.config()))
SERVICE = _CONFIG.services["models"]
ENGINE = SERVICE.engine


def make_demand(tokens, target_s, max_gap_s, output=1600):
    return placement_cost.Demand(
        prompt_tokens=tokens,
        output_tokens=output,
        target_s=target_s,
        max_gap_s=max_gap_s,
        weight=placement_cost.prompt_weight(tokens),
    )


QUOTE = make_demand(5_000, 0.3, 0.2)
REVIEW = make_demand(45_000, 1.5, 0.5)
ARCHIVE = make_demand(210_000, 3.0, 0.8)


class PlacementFixture(testtools.TestCase):
    """Places prompts on engines without a network."""

    def setUp(self):
        super().setUp()
        self.directory = endpoint_directory.EndpointDirectory(3.6, 2.5)
        self.table = in_flight_table.InFlightTable()
        self.selector = placement.EndpointSelector(
            self.directory,
            self.table,
            engine_candidates.EngineCandidates.for_one_pool(
                self.directory, self.table
            ),
            "zone-a",
        )
        self.request_count = 0

    def start_engines(self, count):
        listed = tuple(map(example_engine.endpoint, range(count)))
        self.directory.replace(endpoints.EndpointList(listed, clock.now_s()))

    def choose(self, demand):
        return self.selector.choose_engine(SERVICE, demand, frozenset())

    def add_request(
        self, instance, demand, *, is_prefilled=True, parts=1, is_primary=True
    ):
        self.request_count += 1
        whole = latency_model.full_prefill(demand.prompt_tokens)
        memory = demand.prompt_tokens + demand.output_tokens
        request = in_flight_table.InFlightRequest(
            key=f"k{self.request_count}",
            instance=instance,
            prefill=latency_model.prefill_part(whole, parts),
            is_urgent=not is_primary,
            reports_prefill_end=False,
            memory_tokens=memory if is_primary else 0,
            target_s=demand.target_s if is_primary else None,
            max_gap_s=demand.max_gap_s if is_primary else None,
            weight=demand.weight,
            started_at_s=clock.now_s(),
            expires_at_s=clock.now_s() + 10,
        )
        self.table.add(request)
        if is_prefilled:
            self.table.mark_prefilled(request.key)

    def instances(self, chosen):
        return [
            chosen.primary.instance,
            *(h.endpoint.instance for h in chosen.helpers),
        ]


class PlacementTest(PlacementFixture):
    """Guards against prefills that lengthen the pauses of other streams."""

    def test_archive_avoids_engines_with_running_quotes(self):
        self.start_engines(6)
        for instance in ("engine-0", "engine-1", "engine-2"):
            for _ in range(3):
                self.add_request(instance, QUOTE)
        chosen = self.instances(self.choose(ARCHIVE))
        busy = {"engine-0", "engine-1", "engine-2"}
        self.assertEqual(set(), busy & set(chosen))

    def test_quote_avoids_engines_that_prefill_an_archive(self):
        self.start_engines(4)
        for number in range(3):
            self.add_request(f"engine-{number}", ARCHIVE, is_prefilled=False)
        for _ in range(5):
            chosen = self.choose(QUOTE)
            self.assertEqual("engine-3", chosen.primary.instance)
            self.add_request(chosen.primary.instance, QUOTE)

    def test_helper_parts_use_no_slots(self):
        self.start_engines(1)
        for _ in range(4):
            self.add_request("engine-0", QUOTE)
        for _ in range(5):
            self.add_request("engine-0", ARCHIVE, parts=16, is_primary=False)
        # Four of eight slots are in use; prompts that the engine only helps
        # with are counted separately.
        self.assertIsNotNone(self.choose(QUOTE))
        for _ in range(4):
            self.add_request("engine-0", QUOTE)
        self.assertIsNone(self.choose(QUOTE))

    def test_engine_helps_with_at_most_as_many_prompts_as_slots(self):
        self.start_engines(1)
        for _ in range(8):
            self.add_request("engine-0", ARCHIVE, parts=16, is_primary=False)
        self.assertIsNone(self.choose(QUOTE))

    def test_quotes_share_few_engines(self):
        self.start_engines(8)
        used = set()
        for _ in range(12):
            chosen = self.choose(QUOTE)
            used.add(chosen.primary.instance)
            self.add_request(chosen.primary.instance, QUOTE)
        self.assertLessEqual(len(used), 3)

    def test_no_engine_exceeds_its_slots(self):
        self.start_engines(2)
        for _ in range(16):
            chosen = self.choose(QUOTE)
            self.add_request(chosen.primary.instance, QUOTE)
        counts = [self.table.count(f"engine-{n}") for n in range(2)]
        self.assertEqual([8, 8], counts)
        self.assertIsNone(self.choose(QUOTE))

    def test_prompt_too_slow_for_one_engine_is_split(self):
        self.start_engines(6)
        chosen = self.choose(ARCHIVE)
        self.assertGreater(len(chosen.helpers), 0)
        self.assertLess(chosen.first_event_s, ARCHIVE.target_s / 2)
        self.assertEqual({0}, {h.tokens for h in chosen.helpers})

    def test_prompt_larger_than_one_engine_uses_memory_of_several(self):
        self.start_engines(6)
        demand = make_demand(900_000, 3.0, 0.8)
        chosen = self.choose(demand)
        reserved = sum(h.tokens for h in chosen.helpers)
        self.assertLessEqual(demand.prompt_tokens + 1600 - reserved, 450_000)
        for helper in chosen.helpers:
            self.assertLessEqual(helper.tokens, 450_000)

    def test_prompt_larger_than_all_memory_is_not_placed(self):
        self.start_engines(2)
        self.assertIsNone(self.choose(make_demand(2_000_000, 3.0, 0.8)))

    def test_helpers_avoid_engines_with_waiting_reviews(self):
        self.start_engines(6)
        for number in range(2):
            for _ in range(4):
                self.add_request(
                    f"engine-{number}", REVIEW, is_prefilled=False
                )
        chosen = self.instances(self.choose(ARCHIVE))
        self.assertNotIn("engine-0", chosen)
        self.assertNotIn("engine-1", chosen)

    def test_choice_time_is_bounded_with_many_engines(self):
        self.start_engines(800)
        started = time.process_time()
        for _ in range(20):
            self.assertIsNotNone(self.choose(ARCHIVE))
        # 20 ms is a tenth of the shortest target for a pause.
        self.assertLess((time.process_time() - started) / 20, 0.02)


class LatencyModelTest(testtools.TestCase):
    """Guards against predictions that deviate from the published figures."""

    def test_prefill_time_of_a_long_prompt(self):
        # One million tokens: 3.9 s for the tokens, 45.9 s for the pairs.
        prefill = latency_model.full_prefill(1_000_000)
        prefill_s = latency_model.prefill_ms(ENGINE, prefill) / 1000
        self.assertAlmostEqual(49.8, prefill_s, delta=0.1)

    def test_prefill_times_of_parts_add_up(self):
        whole = latency_model.full_prefill(210_000)
        part = latency_model.prefill_part(whole, 4)
        self.assertAlmostEqual(
            latency_model.prefill_ms(ENGINE, whole),
            4 * latency_model.prefill_ms(ENGINE, part),
            delta=0.1,
        )

    def test_urgent_prefill_runs_first(self):
        queued = [
            latency_model.QueuedPrefill(0.0, False, 1000.0),
            latency_model.QueuedPrefill(0.2, True, 500.0),
        ]
        remaining = latency_model.remaining_ms(queued, 0.6)
        self.assertAlmostEqual(800.0, remaining[0])
        self.assertAlmostEqual(100.0, remaining[1])

    def test_prefill_lengthens_pauses(self):
        state = latency_model.EngineState(4, 20_000, 0.0, 0.0, 0)
        no_prefill = latency_model.Prefill(0, 0.0)
        baseline_ms = latency_model.longest_gap_ms(ENGINE, state, no_prefill)
        review_ms = latency_model.longest_gap_ms(
            ENGINE, state, latency_model.full_prefill(45_000)
        )
        self.assertLess(baseline_ms, 60)
        self.assertGreater(review_ms, 300)
