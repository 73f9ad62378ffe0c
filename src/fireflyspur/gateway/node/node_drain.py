"""Planned stop of a node."""

import asyncio
from collections.abc import Sequence

from fireflyspur.gateway.callers import caller_server
from fireflyspur.gateway.common import clock
from fireflyspur.gateway.requests import request_timeouts
from fireflyspur.observability import logs

# The balancer checks the health of a node every second and removes it after
# two failed checks.
_BALANCER_DETECTION_S = 3.0
# Time reserved before the process is killed to close open connections.
_STOP_MARGIN_S = 0.4
# Part of that time in which requests that the stop has ended are answered.
_LAST_ANSWERS_S = 0.25
# Interval at which a draining node checks for requests in progress.
_POLL_S = 0.05

_log = logs.log_for("node")


class NodeDrain:
    """Lets the requests of a stopping node end before its process does.

    :param timeouts: timeouts of the requests in progress
    """

    def __init__(self, timeouts: request_timeouts.RequestTimeouts) -> None:
        self._timeouts = timeouts
        self._begun_at_s: float | None = None
        self._deadline_s: float | None = None

    @property
    def is_begun(self) -> bool:
        """Whether the node is stopping."""
        return self._deadline_s is not None

    @property
    def deadline_s(self) -> float | None:
        """Clock time until which requests may run, or None before a stop."""
        return self._deadline_s

    @property
    def is_removed(self) -> bool:
        """Whether the balancer should have removed the node by now."""
        begun_at_s = self._begun_at_s
        if begun_at_s is None:
            return False
        return clock.now_s() >= begun_at_s + _BALANCER_DETECTION_S

    def begin(self, grace_s: float) -> None:
        """Begin the stop.

        :param grace_s: time after which the process is killed
        """
        self._begun_at_s = clock.now_s()
        self._deadline_s = self._begun_at_s + grace_s - _STOP_MARGIN_S

    async def wait(
        self, servers: Sequence[caller_server.CallerServer]
    ) -> None:
        """Serve until the balancer has removed the node and it is idle.

        :param servers: those of callers, and of other nodes
        """
        deadline_s = self._deadline_s
        _log.info("Stop begun", in_progress=_in_progress(servers))
        await asyncio.sleep(
            min(_BALANCER_DETECTION_S, deadline_s - clock.now_s())
        )
        await _wait_until_idle(servers, deadline_s)
        await _close_connections(servers, deadline_s)
        ended = self._timeouts.end_all()
        _log.info(
            "Stop goes on", in_progress=_in_progress(servers), ended=ended
        )
        await _close_connections(servers, deadline_s + _LAST_ANSWERS_S)
        _log.info("Requests no longer served", cut=_in_progress(servers))
        for server in servers:
            await server.close()


def _in_progress(servers: Sequence[caller_server.CallerServer]) -> int:
    return sum(server.in_progress for server in servers)


async def _close_connections(
    servers: Sequence[caller_server.CallerServer], deadline_s: float
) -> None:
    """Close each connection once no request is in progress on it.

    What has arrived is answered before its connection closes, and nothing is
    awaited between the check of a connection and its close: a request that
    was read in between would be cut.
    """
    for server in servers:
        server.stop()
    closed = 0
    while True:
        closed += sum(server.close_idle() for server in servers)
        is_open = any(server.open_connections for server in servers)
        if not is_open or clock.now_s() >= deadline_s:
            break
        await asyncio.sleep(_POLL_S)
    _log.info("Connections closed", idle=closed)


async def _wait_until_idle(
    servers: Sequence[caller_server.CallerServer], deadline_s: float
) -> None:
    """Wait until no request is in progress, for a whole interval."""
    idle_since_s: float | None = None
    while (now := clock.now_s()) < deadline_s:
        if _in_progress(servers):
            idle_since_s = None
        elif idle_since_s is None:
            idle_since_s = now
        elif now - idle_since_s >= _POLL_S:
            return
        await asyncio.sleep(_POLL_S)
