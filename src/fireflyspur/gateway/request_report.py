"""The line and the figures on the end of a request."""

from collections.abc import Sequence
import dataclasses
from typing import Any

from fireflyspur.errors import exceptions as base_exceptions
from fireflyspur.gateway import clock
from fireflyspur.gateway import gateway_metrics
from fireflyspur.gateway import placement as placements
from fireflyspur.gateway import request_plan
from fireflyspur.gateway import response_relay
from fireflyspur.observability import logs

_log = logs.log_for("requests")


@dataclasses.dataclass(frozen=True)
class RequestOutcome:
    """What became of a request.

    :param status: 0 if the caller left
    :param error: None if an endpoint's answer was delivered
    :param tried: instances that it was sent to
    :param response_start_s: clock time at which its answer began
    :param placement: the last choice of endpoints
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
    end: RequestOutcome,
) -> None:
    """Write the line on the end of a request, and count it."""
    _observe(plan, relay, metrics, end)
    error, start_s = end.error, end.response_start_s
    begin_s = plan.request.received_at_s
    _log.info(
        "Request ended",
        request=plan.info.attempt_id,
        route=plan.route.name,
        account=plan.account_name,
        version=plan.version,
        tokens=plan.info.prompt_tokens,
        tried=end.tried,
        status=end.status,
        code=error.code if error else None,
        reason=str(error) if error else None,
        first_ms=None if start_s is None else _ms(start_s - begin_s),
        gap_ms=_ms(relay.longest_gap_s),
        total_ms=_ms(clock.now_s() - begin_s),
        **_describe_placement(end),
    )


def _observe(
    plan: request_plan.RequestPlan,
    relay: response_relay.ResponseRelay,
    metrics: gateway_metrics.GatewayMetrics,
    end: RequestOutcome,
) -> None:
    kind, tokens = plan.route.kind, plan.info.prompt_tokens
    metrics.count_request(kind, end.status)
    if end.error is not None:
        metrics.count_refusal(end.error.code)
    if end.response_start_s is not None:
        latency_s = end.response_start_s - plan.request.received_at_s
        metrics.observe_first_part(kind, tokens, latency_s)
    if relay.last_event_id is not None:
        metrics.observe_gap(tokens, relay.longest_gap_s)


def _describe_placement(end: RequestOutcome) -> dict[str, Any]:
    """Return what the last placement was decided by."""
    placement = end.placement
    if placement is None:
        return {}
    predicted_s = placement.first_event_s
    return {
        "helpers": [h.endpoint.instance for h in placement.helpers],
        "predicted_ms": None if predicted_s is None else _ms(predicted_s),
        "busy": placement.works,
        "endpoints_age_ms": _ms(end.endpoints_age_s),
    }


def _ms(seconds: float) -> int:
    return round(seconds * 1000)
