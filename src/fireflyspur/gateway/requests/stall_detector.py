"""Detection of stalled responses."""

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
# Time after which it counts as lost. A sound one may be silent for a second or
# so; memory reserved for the request must be free seconds after a loss.
_LOST_S = 2.0
# Multiple of the expected silence after which a response is abandoned.
_GIVE_UP_FACTOR = 2
# Minimum time between two calls, so that rounding causes no busy loop.
_MIN_PAUSE_S = 0.05


class StallDetector:
    """Decides when to abandon a silent response.

    An endpoint that is silent for longer than its in-flight requests explain
    is probed with a new connection. A response is only abandoned if the
    request can move to another endpoint: at once if the probe fails, and else
    after the same time again; a slow response is better than none. If it
    cannot move, the endpoint must accept no connection for some time.

    The response of a group is abandoned at once if a member accepts no
    connection and the response may still meet its target. After that, a
    repeat would only delay requests that can still meet theirs.

    :param members: the endpoint that responds, and its helpers
    :param engine: figures of the engines, or None for a plain service
    :param may_move: returns whether the request can now be run elsewhere
    :param may_meet_target: returns whether the response may still meet its
        latency target
    """

    def __init__(
        self,
        monitor: endpoint_monitor.EndpointMonitor,
        members: Sequence[endpoints.Endpoint],
        engine: routing_config.EngineSpec | None,
        may_move: Callable[[], bool],
        may_meet_target: Callable[[], bool],
    ) -> None:
        self._monitor = monitor
        self._members = members
        self._engine = engine
        self._may_move = may_move
        self._may_meet_target = may_meet_target
        # Whether the endpoint accepted a probe.
        self._accepts = False
        # Silence at the first probe that failed, or None.
        self._unreachable_from_s: float | None = None
        self._expected_silence_s = 0.0

    async def __call__(self, silent_s: float) -> float:
        """Return the seconds after which to call again.

        :param silent_s: time since the last bytes of the response
        :raises BrokenResponseError: to abandon the response
        """
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
            self._check_lost(silent_s)
            return _RECHECK_S
        if self._engine is None or not self._may_move():
            return self._expected_silence_s
        remaining_s = _GIVE_UP_FACTOR * self._expected_silence_s - silent_s
        if remaining_s < 0:
            raise exceptions.BrokenResponseError(
                f"silent for {silent_s:.1f} s,"
                f" {self._expected_silence_s:.1f} s were explained"
            )
        return max(_MIN_PAUSE_S, remaining_s)

    def _check_lost(self, silent_s: float) -> None:
        """Abandon the response of an endpoint that accepts no connection.

        :raises BrokenResponseError: if the request can move, or if the
            endpoint has accepted none for longer than a sound one may pause
        """
        if self._unreachable_from_s is None:
            self._unreachable_from_s = silent_s
        unreachable_s = silent_s - self._unreachable_from_s
        if self._may_move() or unreachable_s >= _LOST_S:
            raise exceptions.BrokenResponseError(
                f"silent for {silent_s:.1f} s and accepts no connection",
                is_connection_lost=True,
            )

    def _is_group_checked(self) -> bool:
        is_group = len(self._members) > 1
        return is_group and self._may_move() and self._may_meet_target()
