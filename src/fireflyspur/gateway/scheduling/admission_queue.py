"""Order and time in which requests wait for room on an engine.

Answers peaks at which all slots are taken for some tens of milliseconds. A
node usually holds few waiting requests, so the order matters mostly between
nodes; see ``turn_delay_s``.
"""

import dataclasses
import math
import random

from fireflyspur.gateway.common import clock
from fireflyspur.gateway.configuration import routing_config
from fireflyspur.gateway.scheduling import latency_model
from fireflyspur.gateway.scheduling import placement_cost

# Longest wait for room, as a share of the target: a refusal after a longer one
# leaves a caller too little time to be served elsewhere.
_MAX_WAIT_SHARE = 1 / 8
# Long prompts may wait for this time in any case.
_MIN_LONG_WAIT_S = 0.25
_LONG_TOKENS = 16_000
# Time over which the rise of the probability of a missed target is taken.
_RISE_S = 0.05
# Share of the cost of a refusal that counts from the beginning of a wait.
_REFUSAL_SHARE = 0.1
# Time after which another node knows that a request was sent: a batch of
# updates takes up to 2 ms, and the network up to 1 ms.
_UPDATE_S = 0.003
# Nodes whose requests wait for the same slot try one after another within this
# time, which is short for the shortest target.
_MAX_SPREAD_S = 0.02
# Urgency up to which a request uses that whole time: a short prompt whose wait
# has just begun, and whose target is not in danger.
_BASE_URGENCY = 1.0


@dataclasses.dataclass(frozen=True, eq=False)
class WaitingRequest:
    """A request that waits for room.

    :param account: name of its client account, if any
    :param demand: what it needed of an engine when its wait began
    :param engine: figures of its engines
    :param entered_at_s: clock time at which its wait began
    :param expires_at_s: clock time at which its wait ends
    :param share_excess: use of the engines by its account, relative to the
        account's share
    """

    account: str | None
    demand: placement_cost.Demand
    engine: routing_config.EngineSpec
    entered_at_s: float
    expires_at_s: float
    share_excess: float = 1.0

    def remaining_s(self, now: float) -> float:
        """Return the time until the end of the wait."""
        return self.expires_at_s - now


class AdmissionQueue:
    """Keeps the waiting requests of a node in the order of their urgency."""

    def __init__(self) -> None:
        self._waiting: list[WaitingRequest] = []

    @property
    def count(self) -> int:
        """Number of requests that wait."""
        return len(self._waiting)

    def add(self, request: WaitingRequest) -> None:
        """Add a request whose wait begins."""
        self._waiting.append(request)

    def remove(self, request: WaitingRequest) -> None:
        """Remove a request whose wait has ended."""
        self._waiting.remove(request)

    def in_order(self) -> list[WaitingRequest]:
        """Return the waiting requests, the most urgent one first."""
        now = clock.now_s()
        return sorted(self._waiting, key=lambda r: -urgency(r, now))


def wait_limit_s(prompt_tokens: int, target_s: float) -> float:
    """Return the longest time for which a request may wait for room."""
    limit_s = target_s * _MAX_WAIT_SHARE
    if prompt_tokens >= _LONG_TOKENS:
        limit_s = max(limit_s, _MIN_LONG_WAIT_S)
    return limit_s


def urgency(request: WaitingRequest, now: float) -> float:
    """Return the cost of a later answer per second of engine time.

    It rises as the target comes into danger, and as the wait comes to its end,
    since a refusal costs more than a late answer. An account that uses more
    than its share waits behind the others.
    """
    demand, engine = request.demand, request.engine
    prefill = latency_model.full_prefill(demand.prompt_tokens)
    prefill_s = latency_model.prefill_ms(engine, prefill) / 1000
    waited_s = now - request.entered_at_s
    first_s = waited_s + prefill_s
    rise = _late_cost(first_s + _RISE_S, demand) - _late_cost(first_s, demand)
    limit_s = request.expires_at_s - request.entered_at_s
    passed = min(1.0, waited_s / limit_s) if limit_s > 0 else 1.0
    cost = demand.weight * (rise + passed + _REFUSAL_SHARE)
    engine_s = engine_time_s(engine, demand)
    return cost / engine_s / max(1.0, request.share_excess)


def engine_time_s(
    engine: routing_config.EngineSpec, demand: placement_cost.Demand
) -> float:
    """Return the time of one engine that a request uses up.

    Requests that generate output share the engine with those of its other
    slots; a prefill has it alone.
    """
    prefill = latency_model.full_prefill(demand.prompt_tokens)
    prefill_s = latency_model.prefill_ms(engine, prefill) / 1000
    total_s = latency_model.full_response_s(
        engine, demand.prompt_tokens, demand.output_tokens
    )
    decode_s = max(0.0, total_s - prefill_s) / max(1, engine.slots)
    return max(0.001, prefill_s + decode_s)


def turn_delay_s(request: WaitingRequest, nodes: int) -> float:
    """Return the time after which a request tries to get a slot that is free.

    Nodes see a free slot at the same moment. Each waits for a random time, a
    shorter one for a more urgent request, and looks again before it sends.

    :param nodes: number of nodes that may wait for the same slot
    """
    spread_s = min(_MAX_SPREAD_S, _UPDATE_S * (nodes - 1))
    if spread_s <= 0:
        return 0.0
    now = clock.now_s()
    urgency_factor = max(1.0, urgency(request, now) / _BASE_URGENCY)
    delay_s = random.uniform(0, spread_s / urgency_factor)
    # The last try comes before the end of the wait.
    return max(0.0, min(delay_s, request.remaining_s(now) / 2))


def is_too_late(request: WaitingRequest, free_in_s: float) -> bool:
    """Return whether room is known to come after the end of a wait.

    :param free_in_s: predicted time until a slot is free
    """
    return clock.now_s() + free_in_s > request.expires_at_s


def return_step_s(
    engine: routing_config.EngineSpec,
    demand: placement_cost.Demand,
    engines: int,
    nodes: int,
) -> float:
    """Return the time between slots that a node of several gets.

    :param engines: number of engines that the nodes share
    :param nodes: number of these nodes
    """
    used_s = engine_time_s(engine, demand)
    return used_s * max(1, nodes) / max(1, engines)


def _late_cost(first_event_s: float, demand: placement_cost.Demand) -> float:
    if math.isinf(first_event_s):
        return 1.0
    return placement_cost.miss_probability(
        first_event_s, demand.target_s
    ) + placement_cost.wait_cost(first_event_s)
