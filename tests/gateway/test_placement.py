"""Which engines get which prompts; no network is needed.

The load is that of a counter: many short quotes that stream, some long
reviews, and now and then an archive beyond one engine's memory.
"""

import time

import testtools

from fireflyspur.experiment import example_engine
from fireflyspur.gateway import clock
from fireflyspur.gateway import endpoint as endpoints
from fireflyspur.gateway import endpoint_directory
from fireflyspur.gateway import in_flight_table
from fireflyspur.gateway import latency_model
from fireflyspur.gateway import placement
from fireflyspur.gateway import placement_cost
from fireflyspur.platform import config_codec
from tests.support import gateway_fleet
from tests.support import platform_config

_CONFIG = config_codec.decode(platform_config.encode(gateway_fleet.config()))
SERVICE = _CONFIG.services["models"]
ENGINE = SERVICE.engine


def demand(tokens, target_s, max_gap_s, output=1600):
    return placement_cost.Demand(
        prompt_tokens=tokens,
        output_tokens=output,
        target_s=target_s,
        max_gap_s=max_gap_s,
        weight=placement_cost.prompt_weight(tokens),
    )


QUOTE = demand(5_000, 0.3, 0.2)
REVIEW = demand(45_000, 1.5, 0.5)
ARCHIVE = demand(210_000, 3.0, 0.8)


class PlacementTest(testtools.TestCase):
    """Guards against reads that stretch the pauses of running streams."""

    def setUp(self):
        super().setUp()
        self.directory = endpoint_directory.EndpointDirectory(3.6, 2.5)
        self.book = in_flight_table.InFlightTable()
        self.placer = placement.EndpointSelector(
            self.directory, self.book, "zone-a"
        )
        self.keys = 0

    def start_engines(self, count):
        listed = tuple(map(example_engine.endpoint, range(count)))
        self.directory.replace(endpoints.EndpointList(listed, clock.now_s()))

    def choose(self, wanted):
        return self.placer.choose_engine(SERVICE, wanted, frozenset())

    def run_on(self, instance, wanted, *, is_read=True, parts=1, first=True):
        self.keys += 1
        whole = latency_model.full_prefill(wanted.prompt_tokens)
        memory = wanted.prompt_tokens + wanted.output_tokens
        work = in_flight_table.InFlightRequest(
            key=f"k{self.keys}",
            instance=instance,
            prefill=latency_model.prefill_part(whole, parts),
            is_urgent=not first,
            reports_prefill_end=False,
            memory_tokens=memory if first else 0,
            target_s=wanted.target_s if first else None,
            max_gap_s=wanted.max_gap_s if first else None,
            weight=wanted.weight,
            started_at_s=clock.now_s(),
            expires_at_s=clock.now_s() + 10,
        )
        self.book.add(work)
        if is_read:
            self.book.mark_prefilled(work.key)

    def members(self, chosen):
        return [
            chosen.primary.instance,
            *(h.endpoint.instance for h in chosen.helpers),
        ]

    def test_archive_keeps_away_from_running_quotes(self):
        self.start_engines(6)
        for instance in ("engine-0", "engine-1", "engine-2"):
            for _ in range(3):
                self.run_on(instance, QUOTE)
        chosen = self.members(self.choose(ARCHIVE))
        busy = {"engine-0", "engine-1", "engine-2"}
        self.assertEqual(set(), busy & set(chosen))

    def test_quote_keeps_away_from_an_archive_that_is_read(self):
        self.start_engines(4)
        for number in range(3):
            self.run_on(f"engine-{number}", ARCHIVE, is_read=False)
        for _ in range(5):
            chosen = self.choose(QUOTE)
            self.assertEqual("engine-3", chosen.primary.instance)
            self.run_on(chosen.primary.instance, QUOTE)

    def test_parts_of_other_prompts_take_no_slot(self):
        self.start_engines(1)
        for _ in range(4):
            self.run_on("engine-0", QUOTE)
        for _ in range(5):
            self.run_on("engine-0", ARCHIVE, parts=16, first=False)
        # Four of eight slots are taken; prompts that are only helped with
        # are counted apart.
        self.assertIsNotNone(self.choose(QUOTE))
        for _ in range(4):
            self.run_on("engine-0", QUOTE)
        self.assertIsNone(self.choose(QUOTE))

    def test_engine_helps_with_as_many_prompts_as_it_has_slots(self):
        self.start_engines(1)
        for _ in range(8):
            self.run_on("engine-0", ARCHIVE, parts=16, first=False)
        self.assertIsNone(self.choose(QUOTE))

    def test_quotes_share_engines_and_leave_others_idle(self):
        self.start_engines(8)
        used = set()
        for _ in range(12):
            chosen = self.choose(QUOTE)
            used.add(chosen.primary.instance)
            self.run_on(chosen.primary.instance, QUOTE)
        self.assertLessEqual(len(used), 3)

    def test_no_engine_gets_more_than_its_slots(self):
        self.start_engines(2)
        for _ in range(16):
            chosen = self.choose(QUOTE)
            self.run_on(chosen.primary.instance, QUOTE)
        counts = [self.book.count(f"engine-{n}") for n in range(2)]
        self.assertEqual([8, 8], counts)
        self.assertIsNone(self.choose(QUOTE))

    def test_prompt_that_one_engine_reads_too_slowly_is_shared(self):
        self.start_engines(6)
        chosen = self.choose(ARCHIVE)
        self.assertGreater(len(chosen.helpers), 0)
        self.assertLess(chosen.first_event_s, ARCHIVE.target_s / 2)
        self.assertEqual({0}, {h.tokens for h in chosen.helpers})

    def test_prompt_beyond_one_engine_gets_the_memory_of_several(self):
        self.start_engines(6)
        wanted = demand(900_000, 3.0, 0.8)
        chosen = self.choose(wanted)
        held = sum(h.tokens for h in chosen.helpers)
        self.assertLessEqual(wanted.prompt_tokens + 1600 - held, 450_000)
        for helper in chosen.helpers:
            self.assertLessEqual(helper.tokens, 450_000)

    def test_prompt_beyond_all_memory_gets_nothing(self):
        self.start_engines(2)
        self.assertIsNone(self.choose(demand(2_000_000, 3.0, 0.8)))

    def test_helpers_keep_away_from_reviews_that_wait(self):
        self.start_engines(6)
        for number in range(2):
            for _ in range(4):
                self.run_on(f"engine-{number}", REVIEW, is_read=False)
        chosen = self.members(self.choose(ARCHIVE))
        self.assertNotIn("engine-0", chosen)
        self.assertNotIn("engine-1", chosen)

    def test_choice_takes_bounded_time_with_many_engines(self):
        self.start_engines(800)
        began = time.process_time()
        for _ in range(20):
            self.assertIsNotNone(self.choose(ARCHIVE))
        # 20 ms is a tenth of the shortest pause that is on time.
        self.assertLess((time.process_time() - began) / 20, 0.02)


class LatencyModelTest(testtools.TestCase):
    """Guards against predictions that leave the published figures."""

    def test_long_prompts(self):
        # 3.9 s for the tokens and 45.9 s for the pairs of a million.
        prefill = latency_model.full_prefill(1_000_000)
        read_s = latency_model.prefill_ms(ENGINE, prefill) / 1000
        self.assertAlmostEqual(49.8, read_s, delta=0.1)

    def test_parts_add_up(self):
        whole = latency_model.full_prefill(210_000)
        part = latency_model.prefill_part(whole, 4)
        self.assertAlmostEqual(
            latency_model.prefill_ms(ENGINE, whole),
            4 * latency_model.prefill_ms(ENGINE, part),
            delta=0.1,
        )

    def test_urgent_reading_goes_first(self):
        sent = [
            latency_model.QueuedPrefill(0.0, False, 1000.0),
            latency_model.QueuedPrefill(0.2, True, 500.0),
        ]
        left = latency_model.remaining_ms(sent, 0.6)
        self.assertAlmostEqual(800.0, left[0])
        self.assertAlmostEqual(100.0, left[1])

    def test_reading_stretches_pauses(self):
        state = latency_model.EngineState(4, 20_000, 0.0, 0.0, 0)
        nothing = latency_model.Prefill(0, 0.0)
        usual = latency_model.longest_gap_ms(ENGINE, state, nothing)
        review = latency_model.longest_gap_ms(
            ENGINE, state, latency_model.full_prefill(45_000)
        )
        self.assertLess(usual, 60)
        self.assertGreater(review, 300)
