"""What an engine's passes take, by its published figures."""

import testtools

from fireflyspur.experiment import engine_model
from fireflyspur.gateway import latency_model
from fireflyspur.gateway import routing_config

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


def part(key, tokens=1_000, output=25, **changes):
    return engine_model.Part(
        key,
        latency_model.full_prefill(tokens),
        memory_tokens=tokens + output,
        output_tokens=output,
        **changes,
    )


class EngineModelTest(testtools.TestCase):
    """Guards against a model that is kinder than the engines are."""

    def setUp(self):
        super().setUp()
        self.engine = engine_model.EngineModel(SPEC)

    def run_passes(self):
        passes = []
        while (done := self.engine.begin_pass()) is not None:
            passes.append(done)
        return passes

    def test_prompt_is_read_by_chunks_and_written_by_strides(self):
        self.engine.submit(part("a", tokens=2_500))
        passes = self.run_passes()
        # Three chunks; the last one gives the first token. Then 24 tokens
        # in passes of 10 steps.
        self.assertEqual([0, 0, 1, 1, 1, 1], [len(p.written) for p in passes])
        self.assertEqual(("a",), passes[-1].ended)

    def test_read_beside_a_stream_stretches_its_pause(self):
        self.engine.submit(part("quote", output=100))
        self.engine.begin_pass()
        alone = self.engine.begin_pass().duration_ms
        self.engine.submit(part("archive", tokens=50_000))
        beside = self.engine.begin_pass()
        # A pass of ten steps reads ten chunks of 1,000 tokens.
        reading = latency_model.prefill_ms(
            SPEC, latency_model.full_prefill(50_000)
        )
        self.assertEqual((), beside.read)
        self.assertAlmostEqual(
            alone + reading / 5, beside.duration_ms, delta=0.1 * alone
        )

    def test_helper_reads_before_prompts_that_came_first(self):
        self.engine.submit(part("first", tokens=3_000))
        self.engine.submit(part("helped", tokens=2_000, is_helper=True))
        order = [key for done in self.run_passes() for key in done.read]
        self.assertEqual(["helped", "first"], order)

    def test_group_writes_when_it_is_told(self):
        self.engine.submit(part("group", is_alone=False))
        self.assertEqual(("group",), self.engine.begin_pass().read)
        self.assertIsNone(self.engine.begin_pass())
        self.assertGreater(self.engine.begin_writing("group"), SPEC.step_ms)
        self.assertEqual(("group",), self.engine.begin_pass().written)

    def test_slots_bound_what_runs_and_waits(self):
        taken = [self.engine.submit(part(f"r{n}")) for n in range(2)]
        self.engine.begin_pass()
        taken += [self.engine.submit(part(f"w{n}")) for n in range(3)]
        self.assertEqual([True] * 4 + [False], taken)

    def test_memory_admits_in_turn_and_refuses_what_never_fits(self):
        self.assertFalse(self.engine.submit(part("huge", tokens=100_001)))
        self.engine.submit(part("a", tokens=60_000))
        self.engine.submit(part("b", tokens=50_000))
        ended = [key for done in self.run_passes() for key in done.ended]
        self.assertEqual(["a", "b"], ended)

    def test_tickets_hold_memory_until_they_are_released(self):
        self.assertTrue(self.engine.reserve("t", 90_000))
        self.assertFalse(self.engine.reserve("u", 20_000))
        self.engine.submit(part("a", tokens=20_000))
        self.assertIsNone(self.engine.begin_pass())
        self.engine.release("t")
        self.assertEqual(100_000, self.engine.free_tokens)
        self.assertIsNotNone(self.engine.begin_pass())

    def test_cancelled_request_frees_its_memory(self):
        self.engine.submit(part("a"))
        self.engine.begin_pass()
        self.engine.cancel("a")
        self.assertEqual(100_000, self.engine.free_tokens)
        self.assertIsNone(self.engine.begin_pass())
