"""What endpoints say of themselves in their responses."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence

from fireflyspur.gateway.common import messages
from fireflyspur.gateway.endpoints import backoffs
from fireflyspur.gateway.endpoints import cold_ceiling
from fireflyspur.gateway.endpoints import endpoint as endpoints
from fireflyspur.gateway.endpoints import rate_limits
from fireflyspur.observability import logs

_SAID_SO = "it said so"

_log = logs.log_for("endpoints")


class EndpointNotices:
    """Applies the notices of endpoints, and finds those that take requests.

    A leaving endpoint gets no requests from any node, for good. A rate binds
    all nodes together until a response names none. A pause binds this node
    until its end. Cold endpoints take a limited rate from all nodes.

    :param limits: rates that endpoints name
    :param mark_left: marks an endpoint as leaving on all nodes
    :param cold: limits the requests to cold endpoints; None for no limit
    """

    def __init__(
        self,
        limits: rate_limits.RateLimits,
        mark_left: Callable[[str, str], None] = lambda instance, reason: None,
        cold: cold_ceiling.ColdCeiling | None = None,
    ) -> None:
        self._limits = limits
        self._cold = cold or cold_ceiling.ColdCeiling.none()
        self._mark_left = mark_left
        self._backoffs = backoffs.Backoffs()
        # Endpoints whose invalid notice has been logged.
        self._invalid: set[str] = set()

    def record(
        self,
        endpoint: endpoints.Endpoint,
        notice: messages.EndpointNotice,
        is_refusal: bool,
    ) -> None:
        """Apply what a response of an endpoint says.

        :param is_refusal: whether the endpoint refused the request because it
            wants none now; only then it may ask for a pause
        """
        if notice.is_leaving:
            self._mark_left(endpoint.instance, _SAID_SO)
        elif notice.is_leaving_invalid:
            self._log_invalid(endpoint)
        if notice.is_rate_limit_invalid:
            self._limits.record_invalid(endpoint)
        else:
            self._limits.record(endpoint, notice.rate_limit)
        if not is_refusal:
            self._backoffs.record_response(endpoint)
        elif notice.is_retry_after_invalid:
            self._backoffs.record_invalid(endpoint)
        elif notice.retry_after_s is not None:
            self._backoffs.record(endpoint, notice.retry_after_s)

    def add_start(self, instance: str, *, is_part: bool = False) -> None:
        """Count a request that this node sends to an endpoint.

        :param is_part: whether another endpoint sends it a part of a prompt
        """
        self._limits.add_start(instance)
        self._backoffs.add_start(instance)
        if not is_part:
            self._cold.add_start(instance, is_own=True)

    def add_peer_start(self, instance: str, *, is_part: bool = False) -> None:
        """Count a request that another node sends to an endpoint."""
        self._limits.add_start(instance)
        if not is_part:
            self._cold.add_start(instance, is_own=False)

    def allowed(
        self, listed: list[endpoints.Endpoint]
    ) -> list[endpoints.Endpoint]:
        """Return the endpoints to which a request may be sent now."""
        # Mostly, no endpoint has said anything.
        if self._limits.has_any:
            listed = [e for e in listed if self._limits.allows(e)]
        if self._backoffs.has_any:
            listed = [e for e in listed if self._backoffs.wait_s(e) <= 0]
        return [e for e in listed if self._cold.wait_s(e) <= 0]

    def preferred(
        self, listed: list[endpoints.Endpoint]
    ) -> list[endpoints.Endpoint]:
        """Return the endpoints that have not got many requests just now.

        :param listed: endpoints to which a request may be sent
        """
        return self._cold.preferred(listed)

    def is_restricted(self, endpoint: endpoints.Endpoint) -> bool:
        """Return whether an endpoint takes fewer requests than it could."""
        return (
            self._limits.is_limited(endpoint)
            or self._backoffs.wait_s(endpoint) > 0
            or self._cold.is_cold(endpoint)
        )

    def retry_after_s(
        self, listed: Sequence[endpoints.Endpoint], priority: int
    ) -> float | None:
        """Return when to return after a refusal.

        :param listed: the endpoints that might serve the request
        :param priority: priority of the request; 0 is the most urgent
        :returns: None if one of them allows a request now
        """
        wait_s = self.wait_s(listed)
        if wait_s <= 0:
            return None
        return self._limits.schedule_return(listed, priority, wait_s)

    def wait_s(self, listed: Sequence[endpoints.Endpoint]) -> float:
        """Return the time until one of some endpoints allows a request."""
        return max(0.0, min(map(self._wait_s, listed), default=0.0))

    def keep_only(self, instances: Iterable[str]) -> None:
        """Forget what no longer binds this node.

        :param instances: the endpoints that are listed
        """
        listed = set(instances)
        self._invalid &= listed
        self._limits.keep_only(listed)
        self._backoffs.expire(listed)
        self._cold.keep_only(listed)

    def _wait_s(self, endpoint: endpoints.Endpoint) -> float:
        return max(
            self._limits.wait_s(endpoint),
            self._backoffs.wait_s(endpoint),
            self._cold.wait_s(endpoint),
        )

    def _log_invalid(self, endpoint: endpoints.Endpoint) -> None:
        if endpoint.instance not in self._invalid:
            self._invalid.add(endpoint.instance)
            _log.warning("Notice not valid", instance=endpoint.instance)
