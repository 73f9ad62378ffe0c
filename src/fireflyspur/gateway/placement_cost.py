"""What a placement costs the request and others, in chances of lateness."""

from collections.abc import Sequence
import dataclasses
import math

from fireflyspur.gateway import endpoint as endpoints
from fireflyspur.gateway import pass_model
from fireflyspur.gateway import routing_config
from fireflyspur.gateway import work_book

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
_NOTHING = pass_model.Reading(0, 0.0)
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

    :param outlook: what the prompt would meet there
    :param handicap: share of the prompt's weight that counts against it
    """

    endpoint: endpoints.Endpoint
    outlook: work_book.Outlook
    handicap: float


def weight_of(prompt_tokens: int) -> float:
    """Return the cost of being late for a prompt."""
    size = max(1.0, prompt_tokens / _WEIGHT_UNIT_TOKENS)
    return size**_WEIGHT_EXPONENT


@dataclasses.dataclass(frozen=True)
class Cost:
    """What sending a prompt to some engines costs.

    :param first_event_s: predicted time to the first event
    :param total: chances of lateness, weighted
    """

    first_event_s: float
    total: float


def cost_of(
    engine: routing_config.EngineSpec,
    demand: Demand,
    members: Sequence[Candidate],
    reading: pass_model.Reading,
) -> Cost:
    """Return the cost of a group, or of one engine.

    :param members: the engine that answers comes first
    :param reading: the part that each member reads
    """
    first_ms = 0.0
    others = 0.0
    for index, member in enumerate(members):
        is_urgent = index > 0
        ms = pass_model.first_event_ms(
            engine, member.outlook.state, reading, is_urgent=is_urgent
        )
        first_ms = max(first_ms, ms)
        others += harm(engine, member, reading, is_urgent=is_urgent)
    first_s = first_ms / 1000
    own = (
        lateness(first_s, demand.target_s)
        + _WAIT_COST_PER_S * first_s
        + sum(member.handicap for member in members)
    )
    total = demand.weight * own + others + idle_cost(demand, members[0])
    return Cost(first_s, total)


def idle_cost(demand: Demand, candidate: Candidate) -> float:
    """Return the cost of a short prompt on an engine without streams."""
    is_short = demand.prompt_tokens < _SHORT_TOKENS
    return _IDLE_ENGINE_COST * (is_short and not candidate.outlook.streams)


def harm(
    engine: routing_config.EngineSpec,
    candidate: Candidate,
    reading: pass_model.Reading,
    *,
    is_urgent: bool = False,
) -> float:
    """Return the cost of the delays that reading causes to others."""
    outlook = candidate.outlook
    cost = 0.0
    if outlook.streams:
        gap_s = pass_model.longest_gap_ms(engine, outlook.state, reading) / 1e3
        before_s = pass_model.longest_gap_ms(engine, outlook.state, _NOTHING)
        before_s /= 1e3
        cost += sum(
            stream.weight
            * (
                lateness(gap_s, stream.max_gap_s)
                - lateness(before_s, stream.max_gap_s)
            )
            for stream in outlook.streams
        )
    if is_urgent and outlook.waiting:
        delay_s = pass_model.read_ms(engine, reading) / 1e3
        cost += sum(
            item.weight
            * (
                lateness(item.first_event_s + delay_s, item.target_s)
                - lateness(item.first_event_s, item.target_s)
            )
            for item in outlook.waiting
        )
    return cost


def lateness(predicted_s: float, target_s: float) -> float:
    """Return the chance that something comes after its target.

    Most predictions are good; some turn out too short by far, when an
    endpoint fails or meets work that was not known.
    """
    ratio = predicted_s / target_s
    usual = _step((ratio - 1) / _UNCERTAINTY)
    disturbed = _step((ratio * _DISTURBED_FACTOR - 1) / _UNCERTAINTY)
    return usual + _DISTURBED_SHARE * (disturbed - usual)


def _step(excess: float) -> float:
    """Return a smooth step from 0 to 1 around 0."""
    if excess > 15:
        return 1.0
    if excess < -15:
        return 0.0
    return 1 / (1 + math.exp(-2 * excess))
