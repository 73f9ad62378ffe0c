"""Latency model of an engine, based on its published figures.

An engine works in passes. A pass runs a fixed number of decode steps for
all requests that are generating, and prefills at most one chunk of prompt
tokens along with each step. A prefill therefore lengthens the pauses between
the events of the streams on the same engine.
"""

from collections.abc import Sequence
import dataclasses
import math

from fireflyspur.gateway.configuration import routing_config


@dataclasses.dataclass(frozen=True, slots=True)
class Prefill:
    """Prompt tokens that an engine prefills for one request.

    :param tokens: tokens of the engine's part of the prompt
    :param token_pairs_m: pairs of these tokens with earlier ones, in millions
    """

    tokens: int
    token_pairs_m: float


@dataclasses.dataclass(frozen=True, slots=True)
class EngineState:
    """Load of an engine at one point in time.

    :param sequences: requests that are decoding
    :param context_tokens: tokens of their prompts and output so far
    :param pending_prefill_ms: prefill time left for the queued prompts
    :param urgent_prefill_ms: share of it that urgent prefills take
    :param pending_chunks: number of chunks left to prefill
    """

    sequences: int
    context_tokens: int
    pending_prefill_ms: float
    urgent_prefill_ms: float
    pending_chunks: int


@dataclasses.dataclass(frozen=True, slots=True)
class QueuedPrefill:
    """A prefill that was sent to an engine.

    :param is_urgent: whether the engine runs it before other prefills, as
        helpers do with their parts of a prompt
    :param duration_ms: time that it takes alone
    """

    started_at_s: float
    is_urgent: bool
    duration_ms: float


def full_prefill(tokens: int) -> Prefill:
    """Return the prefill of a whole prompt."""
    return Prefill(tokens, tokens * (tokens + 1) / 2 / 1e6)


def prefill_part(prefill: Prefill, parts: int) -> Prefill:
    """Return one of several equal parts of a prefill."""
    return Prefill(
        math.ceil(prefill.tokens / parts), prefill.token_pairs_m / parts
    )


def prefill_ms(engine: routing_config.EngineSpec, prefill: Prefill) -> float:
    """Return the time of a prefill on an otherwise idle engine."""
    linear = prefill.tokens / engine.prefill_tokens_per_s * 1000
    return linear + prefill.token_pairs_m * engine.pairs_ms_per_m


def chunk_count(engine: routing_config.EngineSpec, tokens: int) -> int:
    """Return the number of chunks in which tokens are prefilled."""
    return math.ceil(tokens / engine.chunk_tokens)


def step_ms(
    engine: routing_config.EngineSpec, sequences: int, context_tokens: int
) -> float:
    """Return the time of one decode step."""
    return (
        engine.step_ms
        + engine.per_sequence_ms * sequences
        + engine.context_ms_per_1k * context_tokens / 1000
    )


def pass_ms(engine: routing_config.EngineSpec, state: EngineState) -> float:
    """Return the time of a pass without prefill."""
    step = step_ms(engine, max(1, state.sequences), state.context_tokens)
    return engine.stride_steps * step


def remaining_ms(queued: Sequence[QueuedPrefill], now_s: float) -> list[float]:
    """Return the remaining time of each prefill.

    :param queued: in the order of their start
    """
    remaining = [prefill.duration_ms for prefill in queued]
    order = sorted(range(len(queued)), key=lambda i: not queued[i].is_urgent)
    for index, prefill in enumerate(queued):
        end_s = now_s
        if index + 1 < len(queued):
            end_s = min(now_s, queued[index + 1].started_at_s)
        available_ms = max(0.0, end_s - prefill.started_at_s) * 1000
        for other in order:
            if other <= index:
                used_ms = min(remaining[other], available_ms)
                remaining[other] -= used_ms
                available_ms -= used_ms
    return remaining


def first_event_ms(
    engine: routing_config.EngineSpec,
    state: EngineState,
    prefill: Prefill,
    *,
    is_urgent: bool = False,
) -> float:
    """Return the time from sending a prompt to its first event."""
    queue_ms = (
        state.urgent_prefill_ms if is_urgent else state.pending_prefill_ms
    )
    prompt_ms = queue_ms + prefill_ms(engine, prefill)
    if not state.sequences:
        return prompt_ms + step_ms(engine, 1, prefill.tokens)
    steps = pass_ms(engine, state)
    chunks = state.pending_chunks + chunk_count(engine, prefill.tokens)
    passes = max(1, math.ceil(chunks / engine.stride_steps))
    # On average, a prompt arrives in the middle of a pass.
    return steps / 2 + prompt_ms + passes * steps


def full_response_s(
    engine: routing_config.EngineSpec, prompt_tokens: int, output_tokens: int
) -> float:
    """Return the time of a full response on an engine with no free slot."""
    context = prompt_tokens + output_tokens
    decode_ms = output_tokens * step_ms(engine, engine.slots, context)
    state = EngineState(engine.slots - 1, context, 0.0, 0.0, 0)
    first_ms = first_event_ms(engine, state, full_prefill(prompt_tokens))
    return (first_ms + decode_ms) / 1000


def longest_gap_ms(
    engine: routing_config.EngineSpec, state: EngineState, prefill: Prefill
) -> float:
    """Return the longest pause of a stream during a prefill.

    The pending prefills run in the same passes.
    """
    chunks = state.pending_chunks + chunk_count(engine, prefill.tokens)
    total_ms = state.pending_prefill_ms + prefill_ms(engine, prefill)
    share = min(1.0, engine.stride_steps / max(1, chunks))
    return pass_ms(engine, state) + total_ms * share
