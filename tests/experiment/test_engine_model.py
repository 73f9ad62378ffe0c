"""Tests of the engine model against an engine's published figures."""

import testtools

from fireflyspur.experiment import engine_model
from fireflyspur.gateway.configuration import routing_config
from fireflyspur.gateway.scheduling import latency_model

SPEC = routing_config.EngineSpec(
    slots=2,
    kv_tokens=100_000,
    step_ms=1.0,
    per_sequence_ms=0.1,
    context_ms_per_1k=0.01,
    prefill_tokens_per_s=100_000.0,
    pairs_ms_per_m=0.1,
    chunk_tokens=1_000,
    stride_steps=10,
)


def make_part(key, tokens=1_000, output=25, **changes):
    return engine_model.Part(
        key,
        latency_model.full_prefill(tokens),
        memory_tokens=tokens + output,
        output_tokens=output,
        **changes,
    )


class EngineModelTest(testtools.TestCase):
    """Guards against a model that is more optimistic than real engines."""

    def setUp(self):
        super().setUp()
        self.engine = engine_model.EngineModel(SPEC)

    def run_passes(self):
        passes = []
        while (engine_pass := self.engine.run_pass()) is not None:
            passes.append(engine_pass)
        return passes

    def test_prompt_is_prefilled_in_chunks_and_decoded_in_strides(self):
        self.engine.submit(make_part("a", tokens=2_500))
        passes = self.run_passes()
        # Three chunks; the last one emits the first token. The other 24 tokens
        # follow in passes of 10 steps.
        self.assertEqual([0, 0, 1, 1, 1, 1], [len(p.emitting) for p in passes])
        self.assertEqual(("a",), passes[-1].ended)

    def test_prefill_lengthens_the_pauses_of_a_stream(self):
        self.engine.submit(make_part("quote", output=100))
        self.engine.run_pass()
        alone_ms = self.engine.run_pass().duration_ms
        self.engine.submit(make_part("archive", tokens=50_000))
        mixed = self.engine.run_pass()
        # A pass of ten steps prefills ten chunks of 1,000 tokens.
        prefill_ms = latency_model.prefill_ms(
            SPEC, latency_model.full_prefill(50_000)
        )
        self.assertEqual((), mixed.prefilled)
        self.assertAlmostEqual(
            alone_ms + prefill_ms / 5,
            mixed.duration_ms,
            delta=0.1 * alone_ms,
        )

    def test_helper_part_is_prefilled_before_earlier_prompts(self):
        self.engine.submit(make_part("first", tokens=3_000))
        self.engine.submit(make_part("helped", tokens=2_000, is_helper=True))
        order = [
            key
            for engine_pass in self.run_passes()
            for key in engine_pass.prefilled
        ]
        self.assertEqual(["helped", "first"], order)

    def test_group_decodes_only_after_all_parts_are_prefilled(self):
        self.engine.submit(make_part("group", is_whole_prompt=False))
        self.assertEqual(("group",), self.engine.run_pass().prefilled)
        self.assertIsNone(self.engine.run_pass())
        self.assertGreater(self.engine.start_decoding("group"), SPEC.step_ms)
        self.assertEqual(("group",), self.engine.run_pass().emitting)

    def test_slots_limit_running_and_waiting_requests(self):
        accepted = [self.engine.submit(make_part(f"r{n}")) for n in range(2)]
        self.engine.run_pass()
        accepted += [self.engine.submit(make_part(f"w{n}")) for n in range(3)]
        self.assertEqual([True] * 4 + [False], accepted)

    def test_full_memory_delays_requests_and_refuses_too_large_ones(self):
        self.assertFalse(self.engine.submit(make_part("huge", tokens=100_001)))
        self.engine.submit(make_part("a", tokens=60_000))
        self.engine.submit(make_part("b", tokens=50_000))
        ended = [
            key
            for engine_pass in self.run_passes()
            for key in engine_pass.ended
        ]
        self.assertEqual(["a", "b"], ended)

    def test_tickets_reserve_memory_until_release(self):
        self.assertTrue(self.engine.reserve("t", 90_000))
        self.assertFalse(self.engine.reserve("u", 20_000))
        self.engine.submit(make_part("a", tokens=20_000))
        self.assertIsNone(self.engine.run_pass())
        self.engine.release("t")
        self.assertEqual(100_000, self.engine.free_tokens)
        self.assertIsNotNone(self.engine.run_pass())

    def test_cancelled_request_frees_its_memory(self):
        self.engine.submit(make_part("a"))
        self.engine.run_pass()
        self.engine.cancel("a")
        self.assertEqual(100_000, self.engine.free_tokens)
        self.assertIsNone(self.engine.run_pass())
