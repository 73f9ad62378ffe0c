"""Prediction of the time at which an engine has room again."""

from collections.abc import Iterable
import math

from fireflyspur.gateway.configuration import routing_config
from fireflyspur.gateway.scheduling import in_flight_table
from fireflyspur.gateway.scheduling import latency_model

# A request that has not ended by its predicted time is expected to end within
# this time.
_OVERDUE_S = 0.05


def free_in_s(
    engine: routing_config.EngineSpec,
    requests: Iterable[in_flight_table.InFlightRequest],
    now: float,
) -> float:
    """Return the predicted time until an engine has room for a request.

    If it has a free slot, it lacks memory, which the next end of a request
    sets free. Requests may end earlier than predicted, as their responses may
    be shorter than announced.

    :param requests: those in flight on the engine
    :returns: infinity if the end of no request makes room
    """
    serving: list[float] = []
    helping: list[float] = []
    for request in requests:
        is_primary = request.target_s is not None
        ends = serving if is_primary else helping
        ends.append(max(_OVERDUE_S, _end_s(engine, request) - now))
    full = [
        sorted(ends)[len(ends) - engine.slots]
        for ends in (serving, helping)
        if len(ends) >= engine.slots
    ]
    if full:
        return max(full)
    return min((*serving, *helping), default=math.inf)


def _end_s(
    engine: routing_config.EngineSpec,
    request: in_flight_table.InFlightRequest,
) -> float:
    """Return the predicted clock time of the end of a request."""
    duration_s = latency_model.prefill_ms(engine, request.prefill) / 1000
    if request.target_s is not None:
        context = min(engine.kv_tokens, engine.slots * request.memory_tokens)
        step_ms = latency_model.step_ms(engine, engine.slots, context)
        duration_s += request.output_tokens * step_ms / 1000
    return min(request.started_at_s + duration_s, request.expires_at_s)
