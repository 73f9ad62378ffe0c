"""Routing and deadline of a request before it is sent."""

import dataclasses

from fireflyspur.gateway.common import exceptions
from fireflyspur.gateway.common import messages
from fireflyspur.gateway.configuration import config_holder
from fireflyspur.gateway.configuration import routing_config
from fireflyspur.gateway.handover import handover_codec
from fireflyspur.gateway.scheduling import latency_model

_MAX_PRIORITY = 9
# Multiple of the latency target within which nearly all responses without
# events arrive.
_PLAIN_TARGET_FACTOR = 3


@dataclasses.dataclass(frozen=True)
class RequestPlan:
    """A caller's request with its route.

    :param version: version of the configuration that was applied
    :param deadline_s: clock time by which the request must be answered
    :param priority: 0 is the most urgent
    :param handover: what the node says that handed it over, or None
    """

    request: messages.CallerRequest
    info: messages.RequestInfo
    version: int
    route: routing_config.Route
    service: routing_config.Service
    account: routing_config.ClientAccount | None
    deadline_s: float
    priority: int
    handover: handover_codec.HandoverInfo | None = None

    @property
    def account_name(self) -> str | None:
        """Name of the client account, if the request has one."""
        return self.account.name if self.account else None

    @property
    def allowed_regions(self) -> frozenset[str] | None:
        """Regions that route and account allow, or None for any."""
        route = self.route.allowed_regions
        account = self.account.allowed_regions if self.account else None
        if route is None or account is None:
            return account if route is None else route
        return route & account

    @property
    def resumed_after_id(self) -> str | None:
        """Id of the event after which the request resumes a stream."""
        if self.handover is not None and self.handover.last_event_id:
            return self.handover.last_event_id
        return self.info.last_event_id

    def expected_duration_s(self) -> float:
        """Return the time that the whole response takes on a busy endpoint."""
        limit_s = self.route.timeout_s
        if self.service.engine is None:
            return min(
                limit_s, _PLAIN_TARGET_FACTOR * self.route.target_latency_s
            )
        duration_s = latency_model.full_response_s(
            self.service.engine,
            self.info.prompt_tokens,
            self.info.max_output_tokens,
        )
        return min(limit_s, duration_s)


class RequestPlanner:
    """Determines route, service, account and deadline of requests.

    :param holder: provides the current configuration
    :param codec: decodes the headers
    """

    def __init__(
        self, holder: config_holder.ConfigHolder, codec: messages.Codec
    ) -> None:
        self._holder = holder
        self._codec = codec

    @property
    def version(self) -> int:
        """Version of the current configuration."""
        return self._holder.version

    def plan(self, request: messages.CallerRequest) -> RequestPlan:
        """Return the plan for a request.

        :raises NoConfigurationError: if there is no configuration yet
        :raises RouteNotFoundError: if no route matches
        :raises UnknownKeyError: if the API key is missing or unknown
        :raises NoCapacityError: if the route's service is not configured
        """
        table = self._holder.table
        if table is None:
            raise exceptions.NoConfigurationError(
                "no configuration has been received yet", retry_after_s=0.5
            )
        route = table.find_route(request.host, request.path)
        if route is None:
            raise exceptions.RouteNotFoundError(
                "no route matches host and path"
            )
        info = self._codec.decode_request(request.headers)
        account = None
        if table.config.requires_api_key and not route.is_public:
            account = table.find_account(info.api_key or "")
            if account is None:
                raise exceptions.UnknownKeyError(
                    "the API key is missing or unknown"
                )
        service = table.config.services.get(table.pick_service(route))
        if service is None:
            raise exceptions.NoCapacityError(
                "the service of the route is not configured"
            )
        timeout_s = info.timeout_s
        if timeout_s is None:
            timeout_s = route.timeout_s
        start_s = request.received_at_s
        return RequestPlan(
            request=request,
            info=info,
            version=table.config.version,
            route=route,
            service=service,
            account=account,
            deadline_s=start_s + min(timeout_s, route.timeout_s),
            priority=_priority(route, account),
        )


def _priority(
    route: routing_config.Route,
    account: routing_config.ClientAccount | None,
) -> int:
    priority = route.priority
    if account is not None and account.priority is not None:
        priority = account.priority
    return min(max(priority, 0), _MAX_PRIORITY)
