"""Detection of stalled responses."""

from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence

from fireflyspur.gateway.common import exceptions
from fireflyspur.gateway.configuration import routing_config
from fireflyspur.gateway.endpoints import endpoint as endpoints
from fireflyspur.gateway.endpoints import endpoint_monitor

# Interval between checks of a group for lost members: short compared to the
# seconds that its prompt takes, and long compared to the cost of a check.
_GROUP_CHECK_S = 0.25
# Interval between probes of an endpoint that accepts no connection.
_RECHECK_S = 0.25
# Interval between searches for another endpoint.
_SEEK_S = 0.25
# Time after which it counts as lost. A sound one may be silent for a second or
# so; memory reserved for the request must be free seconds after a loss.
_LOST_S = 2.0
# Multiple of the expected silence after which another endpoint is tried.
_SEEK_FACTOR = 2
# Minimum time between two calls, so that rounding causes no busy loop.
_MIN_PAUSE_S = 0.05


class StallDetector:
    """Decides when to try another endpoint beside a silent one.

    An endpoint that is silent for longer than its in-flight requests explain
    is probed with a new connection. If the probe fails, another endpoint is
    tried at once, and else after the same time again. The silent response is
    kept meanwhile: a slow response is better than none, and the other
    endpoint may refuse. It is abandoned if its endpoint has accepted no
    connection for some time, or if that is due to the paths of this node.

    The response of a group is abandoned at once if a member accepts no
    connection and the response may still meet its target. After that, a
    repeat would only delay requests that can still meet theirs.

    :param members: the endpoint that responds, and its helpers
    :param engine: figures of the engines, or None for a plain service
    :param may_move: returns whether the request may now be sent elsewhere
    :param lacks_paths: returns whether this node reaches so few endpoints
        that another node should try the request
    :param seek: called to try another endpoint beside the silent one
    :param on_progress: called once the response goes on after that
    :param may_meet_target: returns whether the response may still meet its
        latency target
    :param on_late: called once with the silence if it is longer than the
        in-flight requests explain, though the endpoint accepts a connection
    """

    def __init__(
        self,
        monitor: endpoint_monitor.EndpointMonitor,
        members: Sequence[endpoints.Endpoint],
        engine: routing_config.EngineSpec | None,
        may_move: Callable[[], bool],
        lacks_paths: Callable[[], Awaitable[bool]],
        seek: Callable[[], None],
        on_progress: Callable[[], None],
        may_meet_target: Callable[[], bool],
        on_late: Callable[[float], None],
    ) -> None:
        self._monitor = monitor
        self._members = members
        self._engine = engine
        self._may_move = may_move
        self._lacks_paths = lacks_paths
        self._seek = seek
        self._on_progress = on_progress
        self._may_meet_target = may_meet_target
        self._on_late = on_late
        self._is_late_reported = False
        # Whether the endpoint accepted a probe.
        self._accepts = False
        # Silence at the first probe that failed, or None.
        self._unreachable_from_s: float | None = None
        self._expected_silence_s = 0.0
        # Silence when another endpoint was tried, or None.
        self._sought_at_s: float | None = None

    async def __call__(self, silent_s: float) -> float:
        """Return the seconds after which to call again.

        :param silent_s: time since the last bytes of the response
        :raises BrokenResponseError: to abandon the response
        """
        if self._sought_at_s is not None and silent_s < self._sought_at_s:
            self._sought_at_s = None
            self._accepts = False
            self._on_progress()
        is_checked = self._is_group_checked()
        if is_checked and silent_s:
            await self._monitor.check_helpers(self._members[1:])
        if not (is_checked and 0 < silent_s < self._expected_silence_s):
            self._expected_silence_s = self._monitor.expected_silence_s(
                self._members, self._engine
            )
        if silent_s < self._expected_silence_s:
            self._unreachable_from_s = None
            pause_s = self._expected_silence_s - silent_s
            return min(pause_s, _GROUP_CHECK_S) if is_checked else pause_s
        if not self._accepts:
            self._accepts = await self._monitor.probe(
                self._members[0], silent_s
            )
        if not self._accepts:
            await self._check_lost(silent_s)
            return _RECHECK_S
        self._report_late(silent_s)
        if self._engine is None or not self._may_move():
            return self._expected_silence_s
        remaining_s = _SEEK_FACTOR * self._expected_silence_s - silent_s
        if remaining_s > 0:
            return max(_MIN_PAUSE_S, remaining_s)
        self._seek_elsewhere(silent_s)
        return _SEEK_S

    def _report_late(self, silent_s: float) -> None:
        """Report an engine that is silent, which the model does not explain.

        No model predicts a plain service, nor which member delays a group.
        """
        is_single = self._engine is not None and len(self._members) == 1
        if is_single and not self._is_late_reported:
            self._is_late_reported = True
            self._on_late(silent_s)

    def _seek_elsewhere(self, silent_s: float) -> None:
        self._sought_at_s = silent_s
        self._seek()

    async def _check_lost(self, silent_s: float) -> None:
        """Handle the silence of an endpoint that accepts no connection.

        :raises BrokenResponseError: if another node should try the request,
            or if the endpoint has accepted none for longer than a sound one
            may pause
        """
        if self._unreachable_from_s is None:
            self._unreachable_from_s = silent_s
        unreachable_s = silent_s - self._unreachable_from_s
        may_move = self._may_move()
        is_lost = unreachable_s >= _LOST_S
        if is_lost or (may_move and await self._lacks_paths()):
            raise exceptions.BrokenResponseError(
                f"silent for {silent_s:.1f} s and accepts no connection",
                is_connection_lost=True,
            )
        if may_move:
            self._seek_elsewhere(silent_s)

    def _is_group_checked(self) -> bool:
        is_group = len(self._members) > 1
        return is_group and self._may_move() and self._may_meet_target()
