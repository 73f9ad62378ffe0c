"""Cost of a placement to the request and to other requests."""

from collections.abc import Sequence
import dataclasses
import math

from fireflyspur.gateway import endpoint as endpoints
from fireflyspur.gateway import in_flight_table
from fireflyspur.gateway import latency_model
from fireflyspur.gateway import routing_config

# Width of the range around a target within which a prediction may turn out
# either way, as a share of the target.
_UNCERTAINTY = 0.15
# Share of the predictions that are disturbed, and by what factor.
_DISTURBED_SHARE = 0.1
_DISTURBED_FACTOR = 2.5
# Cost of a second of predicted waiting, so that of two endpoints which are
# both on time the faster one is taken.
_WAIT_COST_PER_S = 0.1
# Cost of a short prompt on an engine that runs no stream yet: it would take
# an engine from the long prompts that come next.
_IDLE_ENGINE_COST = 0.05
# Long prompts cost callers more when they are late, though less than in
# proportion to their length.
_WEIGHT_EXPONENT = 0.75
_WEIGHT_UNIT_TOKENS = 5_000
_NO_PREFILL = latency_model.Prefill(0, 0.0)
# Prompts shorter than this are read without disturbing streams much.
_SHORT_TOKENS = 16_000


@dataclasses.dataclass(frozen=True)
class Demand:
    """What a request asks of an endpoint.

    :param weight: cost of being late, relative to other requests
    """

    prompt_tokens: int
    output_tokens: int
    target_s: float
    max_gap_s: float
    weight: float


@dataclasses.dataclass(frozen=True)
class Candidate:
    """An endpoint that may serve a prompt.

    :param load: what the prompt would meet there
    :param penalty: share of the prompt's weight that counts against it
    """

    endpoint: endpoints.Endpoint
    load: in_flight_table.PredictedLoad
    penalty: float


def prompt_weight(prompt_tokens: int) -> float:
    """Return the cost of being late for a prompt."""
    size = max(1.0, prompt_tokens / _WEIGHT_UNIT_TOKENS)
    return size**_WEIGHT_EXPONENT


@dataclasses.dataclass(frozen=True)
class Cost:
    """What sending a prompt to some engines costs.

    :param first_event_s: predicted time to the first event
    :param total: weighted probabilities of missed targets
    """

    first_event_s: float
    total: float


def estimate_cost(
    engine: routing_config.EngineSpec,
    demand: Demand,
    members: Sequence[Candidate],
    prefill: latency_model.Prefill,
) -> Cost:
    """Return the cost of a group, or of one engine.

    :param members: the engine that answers comes first
    :param prefill: the part that each member reads
    """
    first_ms = 0.0
    others = 0.0
    for index, member in enumerate(members):
        is_urgent = index > 0
        ms = latency_model.first_event_ms(
            engine, member.load.state, prefill, is_urgent=is_urgent
        )
        first_ms = max(first_ms, ms)
        others += cost_to_others(engine, member, prefill, is_urgent=is_urgent)
    first_s = first_ms / 1000
    own = (
        miss_probability(first_s, demand.target_s)
        + _WAIT_COST_PER_S * first_s
        + sum(member.penalty for member in members)
    )
    total = demand.weight * own + others + idle_engine_cost(demand, members[0])
    return Cost(first_s, total)


def idle_engine_cost(demand: Demand, candidate: Candidate) -> float:
    """Return the cost of a short prompt on an engine without streams."""
    is_short = demand.prompt_tokens < _SHORT_TOKENS
    return _IDLE_ENGINE_COST * (is_short and not candidate.load.streams)


def cost_to_others(
    engine: routing_config.EngineSpec,
    candidate: Candidate,
    prefill: latency_model.Prefill,
    *,
    is_urgent: bool = False,
) -> float:
    """Return the cost of the delays that prefill causes to others."""
    load = candidate.load
    cost = 0.0
    if load.streams:
        gap_s = latency_model.longest_gap_ms(engine, load.state, prefill) / 1e3
        before_s = latency_model.longest_gap_ms(
            engine, load.state, _NO_PREFILL
        )
        before_s /= 1e3
        cost += sum(
            stream.weight
            * (
                miss_probability(gap_s, stream.max_gap_s)
                - miss_probability(before_s, stream.max_gap_s)
            )
            for stream in load.streams
        )
    if is_urgent and load.waiting:
        delay_s = latency_model.prefill_ms(engine, prefill) / 1e3
        cost += sum(
            item.weight
            * (
                miss_probability(item.first_event_s + delay_s, item.target_s)
                - miss_probability(item.first_event_s, item.target_s)
            )
            for item in load.waiting
        )
    return cost


def miss_probability(predicted_s: float, target_s: float) -> float:
    """Return the chance that something comes after its target.

    Most predictions are good; some turn out too short by far, when an
    endpoint fails or meets work that was not known.
    """
    ratio = predicted_s / target_s
    usual = _logistic((ratio - 1) / _UNCERTAINTY)
    disturbed = _logistic((ratio * _DISTURBED_FACTOR - 1) / _UNCERTAINTY)
    return usual + _DISTURBED_SHARE * (disturbed - usual)


def _logistic(excess: float) -> float:
    """Return a smooth step from 0 to 1 around 0."""
    if excess > 15:
        return 1.0
    if excess < -15:
        return 0.0
    return 1 / (1 + math.exp(-2 * excess))
