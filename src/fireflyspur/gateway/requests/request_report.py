"""Log line and metrics of a completed request."""

from collections.abc import Sequence
import dataclasses
from typing import Any

from fireflyspur.errors import exceptions as base_exceptions
from fireflyspur.gateway.common import clock
from fireflyspur.gateway.node import gateway_metrics
from fireflyspur.gateway.requests import request_plan
from fireflyspur.gateway.requests import response_relay
from fireflyspur.gateway.scheduling import placement as placements
from fireflyspur.observability import logs

_log = logs.log_for("requests")


@dataclasses.dataclass(frozen=True)
class RequestOutcome:
    """Outcome of a request.

    :param status: status of the response, or 0 if it was not completed, as
        when the caller disconnected
    :param error: None if an endpoint's response was delivered or the caller
        disconnected
    :param tried: instances that the request was sent to
    :param response_start_s: clock time at which the response started, or None
    :param placement: last choice of endpoints, or None
    :param endpoints_age_s: age of the list of endpoints
    """

    status: int
    error: base_exceptions.FireflyspurError | None
    tried: Sequence[str]
    response_start_s: float | None
    placement: placements.Placement | None
    endpoints_age_s: float


def report(
    plan: request_plan.RequestPlan,
    relay: response_relay.ResponseRelay,
    metrics: gateway_metrics.GatewayMetrics,
    outcome: RequestOutcome,
) -> None:
    """Log the end of a request, and update the metrics."""
    if plan.handover is None:
        # Else the node that the caller asked counts the request.
        _update_metrics(plan, relay, metrics, outcome)
    error, response_start_s = outcome.error, outcome.response_start_s
    received_at_s = plan.request.received_at_s
    _log.info(
        "Request ended",
        request=plan.info.attempt_id,
        route=plan.route.name,
        account=plan.account_name,
        version=plan.version,
        handed_over_by=plan.handover.node if plan.handover else None,
        tokens=plan.info.prompt_tokens,
        tried=outcome.tried,
        status=outcome.status,
        code=error.code if error else None,
        reason=str(error) if error else None,
        first_ms=None
        if response_start_s is None
        else _ms(response_start_s - received_at_s),
        gap_ms=_ms(relay.longest_gap_s),
        total_ms=_ms(clock.now_s() - received_at_s),
        **_describe_placement(outcome),
    )


def _update_metrics(
    plan: request_plan.RequestPlan,
    relay: response_relay.ResponseRelay,
    metrics: gateway_metrics.GatewayMetrics,
    outcome: RequestOutcome,
) -> None:
    kind, tokens = plan.route.kind, plan.info.prompt_tokens
    metrics.count_request(kind, outcome.status)
    if outcome.error is not None:
        metrics.count_refusal(outcome.error.code)
    if outcome.response_start_s is not None:
        latency_s = outcome.response_start_s - plan.request.received_at_s
        metrics.observe_first_byte(kind, tokens, latency_s)
    if relay.last_event_id is not None:
        metrics.observe_longest_gap(tokens, relay.longest_gap_s)
    placement = outcome.placement
    is_answered = outcome.response_start_s is not None
    if placement is not None and is_answered and placement.is_elsewhere:
        metrics.count_elsewhere(placement.load_source.value)


def _describe_placement(outcome: RequestOutcome) -> dict[str, Any]:
    """Return the log fields of the last placement."""
    placement = outcome.placement
    if placement is None:
        return {}
    predicted_s = placement.first_event_s
    return {
        "helpers": [h.endpoint.instance for h in placement.helpers],
        "predicted_ms": None if predicted_s is None else _ms(predicted_s),
        "busy": placement.in_flight,
        "load_from": placement.load_source.value,
        "load_age_ms": None
        if placement.load_age_s is None
        else _ms(placement.load_age_s),
        "endpoints_age_ms": _ms(outcome.endpoints_age_s),
    }


def _ms(seconds: float) -> int:
    return round(seconds * 1000)
