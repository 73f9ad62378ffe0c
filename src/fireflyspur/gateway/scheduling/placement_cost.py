"""Cost of a placement to the request and to other requests."""

from collections.abc import Sequence
import dataclasses
import math

from fireflyspur.gateway.configuration import routing_config
from fireflyspur.gateway.endpoints import endpoint as endpoints
from fireflyspur.gateway.scheduling import in_flight_table
from fireflyspur.gateway.scheduling import latency_model

# Width of the range around a target in which a prediction may turn out to be
# a hit or a miss, as a share of the target.
_UNCERTAINTY = 0.15
# Share of the predictions that are disturbed, and the factor by which the
# actual time then exceeds the predicted one.
_DISTURBED_SHARE = 0.1
_DISTURBED_FACTOR = 2.5
# Cost of one second of predicted wait: the faster of two endpoints is chosen
# if both meet the target.
_WAIT_COST_PER_S = 0.1
# Cost of a short prompt on an engine without streams: the engine would no
# longer be idle for the next long prompts.
_IDLE_ENGINE_COST = 0.05
# A missed target costs a caller more for a long prompt, but less than in
# proportion to the prompt's length.
_WEIGHT_EXPONENT = 0.75
_WEIGHT_UNIT_TOKENS = 5_000
_NO_PREFILL = latency_model.Prefill(0, 0.0)
# Prefilling a prompt shorter than this hardly delays streams.
_SHORT_TOKENS = 16_000


@dataclasses.dataclass(frozen=True)
class Demand:
    """Requirements of a request on an endpoint.

    :param target_s: target time to the first event
    :param max_gap_s: target for the longest pause between events
    :param weight: cost of a missed target, relative to other requests
    """

    prompt_tokens: int
    output_tokens: int
    target_s: float
    max_gap_s: float
    weight: float


@dataclasses.dataclass(frozen=True)
class Candidate:
    """An endpoint that may serve a prompt.

    :param load: predicted load that the prompt would find there
    :param penalty: added cost, as a share of the prompt's weight
    :param report_age_s: age of the report of another pool on which the load is
        based; None if this node's pool knows it
    """

    endpoint: endpoints.Endpoint
    load: in_flight_table.PredictedLoad
    penalty: float
    report_age_s: float | None = None


def prompt_weight(prompt_tokens: int) -> float:
    """Return the cost of a missed target for a prompt."""
    size = max(1.0, prompt_tokens / _WEIGHT_UNIT_TOKENS)
    return size**_WEIGHT_EXPONENT


@dataclasses.dataclass(frozen=True)
class Cost:
    """Cost of sending a prompt to an engine or a group of engines.

    :param first_event_s: predicted time to the first event
    :param total: weighted probabilities of missed targets, and penalties
    """

    first_event_s: float
    total: float


def estimate_cost(
    engine: routing_config.EngineSpec,
    demand: Demand,
    members: Sequence[Candidate],
    prefill: latency_model.Prefill,
) -> Cost:
    """Return the cost of a prompt on one engine or a group.

    :param members: the engines, starting with the one that responds
    :param prefill: part that each member prefills
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
        + wait_cost(first_s)
        + sum(member.penalty for member in members)
    )
    total = demand.weight * own + others + idle_engine_cost(demand, members[0])
    return Cost(first_s, total)


def idle_engine_cost(demand: Demand, candidate: Candidate) -> float:
    """Return the cost of a short prompt on an engine without streams.

    Engines of other pools cost the same, so that a short prompt doesn't leave
    its own idle pool for their streams.
    """
    is_short = demand.prompt_tokens < _SHORT_TOKENS
    is_reported = candidate.report_age_s is not None
    is_idle = is_reported or not candidate.load.streams
    return _IDLE_ENGINE_COST * (is_short and is_idle)


def wait_cost(predicted_s: float) -> float:
    """Return the cost of a predicted wait, apart from a missed target."""
    return _WAIT_COST_PER_S * predicted_s


def cost_to_others(
    engine: routing_config.EngineSpec,
    candidate: Candidate,
    prefill: latency_model.Prefill,
    *,
    is_urgent: bool = False,
) -> float:
    """Return the cost of the delay that a prefill adds to other requests."""
    load = candidate.load
    cost = 0.0
    if load.streams:
        gap_s = latency_model.longest_gap_ms(engine, load.state, prefill) / 1e3
        baseline_s = latency_model.longest_gap_ms(
            engine, load.state, _NO_PREFILL
        )
        baseline_s /= 1e3
        cost += sum(
            stream.weight
            * (
                miss_probability(gap_s, stream.max_gap_s)
                - miss_probability(baseline_s, stream.max_gap_s)
            )
            for stream in load.streams
        )
    if is_urgent and load.waiting:
        delay_s = latency_model.prefill_ms(engine, prefill) / 1e3
        cost += sum(
            prompt.weight
            * (
                miss_probability(
                    prompt.first_event_s + delay_s, prompt.target_s
                )
                - miss_probability(prompt.first_event_s, prompt.target_s)
            )
            for prompt in load.waiting
        )
    return cost


def miss_probability(predicted_s: float, target_s: float) -> float:
    """Return the probability that a target is missed.

    Most predictions are accurate. Some are far too short because an endpoint
    fails or receives requests that this node does not know of yet.
    """
    ratio = predicted_s / target_s
    normal = _logistic((ratio - 1) / _UNCERTAINTY)
    disturbed = _logistic((ratio * _DISTURBED_FACTOR - 1) / _UNCERTAINTY)
    return normal + _DISTURBED_SHARE * (disturbed - normal)


def _logistic(excess: float) -> float:
    """Return a logistic function that rises from 0 to 1 around 0."""
    if excess > 15:
        return 1.0
    if excess < -15:
        return 0.0
    return 1 / (1 + math.exp(-2 * excess))
