"""Graceful shutdown of a node."""

import asyncio
from collections.abc import Iterator
import contextlib

from fireflyspur.admission import exceptions
from fireflyspur.observability import logs

_RETRY_AFTER_S = 1.0

_log = logs.log_for("node")


class DrainController:
    """Counts requests in progress and shuts the node down gracefully.

    The balancer notices a stopping node late. The node therefore first
    reports that it is not ready, continues to serve for the drain time, and
    only then refuses requests.

    :param drain_s: seconds to continue serving after the stop begins
    """

    def __init__(self, drain_s: float) -> None:
        self._drain_s = drain_s
        self._in_progress = 0
        self._stopping = False
        self._refusing = False
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def is_stopping(self) -> bool:
        """Whether the node is stopping."""
        return self._stopping

    @property
    def in_progress(self) -> int:
        """Number of requests in progress."""
        return self._in_progress

    @contextlib.contextmanager
    def track_request(self) -> Iterator[None]:
        """Count a request as in progress.

        :raises NotAdmittingError: if the node accepts no more requests
        """
        if self._refusing:
            raise exceptions.NotAdmittingError(
                "the node is stopping", retry_after_s=_RETRY_AFTER_S
            )
        self._in_progress += 1
        self._idle.clear()
        try:
            yield
        finally:
            self._in_progress -= 1
            if not self._in_progress:
                self._idle.set()

    def begin_stop(self) -> None:
        """Report the node as not ready."""
        self._stopping = True
        _log.info("Stop begun, {} requests in progress", self._in_progress)

    async def drain(self) -> None:
        """Serve for the drain time, then until no request is in progress."""
        await asyncio.sleep(self._drain_s)
        # A request may begin between the end of the wait and this task's turn.
        while self._in_progress:
            await self._idle.wait()
        self._refusing = True
        _log.info("No request in progress")
