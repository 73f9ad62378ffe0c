"""Reasons to begin with few requests on an endpoint."""

from collections.abc import Callable
import time

from fireflyspur.gateway.common import clock
from fireflyspur.gateway.endpoints import cold_ceiling
from fireflyspur.gateway.endpoints import endpoint as endpoints
from fireflyspur.gateway.endpoints import endpoint_directory
from fireflyspur.gateway.endpoints import endpoint_pace

# Time after its start in which an endpoint without a pace is new.
_NEW_S = 5.0
# Time after the start of this node in which it knows nothing of the endpoints
# unless it hears another node.
_UNINFORMED_S = 5.0


class SlowStarts:
    """Tells which endpoints start, are back after a fault, or are cold.

    :param directory: the known endpoints, with their faults
    :param ceiling: tells which endpoints are cold
    :param has_heard_peer: returns whether another node was heard
    :param unix_now_s: returns the Unix time in seconds
    """

    def __init__(
        self,
        directory: endpoint_directory.EndpointDirectory,
        ceiling: cold_ceiling.ColdCeiling,
        has_heard_peer: Callable[[], bool],
        unix_now_s: Callable[[], float] = time.time,
    ) -> None:
        self._directory = directory
        self._ceiling = ceiling
        self._has_heard_peer = has_heard_peer
        self._unix_now_s = unix_now_s
        self._started_at_s = clock.now_s()

    def find(
        self, endpoint: endpoints.Endpoint
    ) -> endpoint_pace.SlowStart | None:
        """Return the latest reason, or None for an endpoint in use."""
        cold_since_s = self._ceiling.cold_since_s(endpoint)
        reasons = (
            ("cold", cold_since_s),
            ("fault", self._directory.fault_at_s(endpoint.instance)),
            ("new", self._new_since_s(endpoint)),
            ("node started", self._uninformed_since_s()),
        )
        latest = None
        for reason, at_s in reasons:
            if at_s is not None and (latest is None or at_s > latest.at_s):
                latest = endpoint_pace.SlowStart(
                    reason, at_s, cold_since_s is not None
                )
        return latest

    def _new_since_s(self, endpoint: endpoints.Endpoint) -> float | None:
        if endpoint.born_ms is None:
            return None
        age_s = self._unix_now_s() - endpoint.born_ms / 1000
        if not 0 <= age_s < _NEW_S:
            return None
        return clock.now_s() - age_s

    def _uninformed_since_s(self) -> float | None:
        age_s = clock.now_s() - self._started_at_s
        if age_s >= _UNINFORMED_S or self._has_heard_peer():
            return None
        return self._started_at_s
