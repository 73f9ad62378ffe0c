"""Timeouts of the requests in progress."""

import asyncio
from collections.abc import AsyncIterator
import contextlib


class RequestTimeouts:
    """Limits the time of requests; a stop can end all of them early."""

    def __init__(self) -> None:
        self._timeouts: set[asyncio.Timeout] = set()

    @contextlib.asynccontextmanager
    async def limit(self, seconds: float) -> AsyncIterator[None]:
        """Limit the time within a context.

        :raises TimeoutError: if the time has passed, or if all requests were
            ended
        """
        async with asyncio.timeout(seconds) as timeout:
            self._timeouts.add(timeout)
            try:
                yield
            finally:
                self._timeouts.discard(timeout)

    def end_all(self) -> int:
        """Let the timeouts of all requests expire now.

        :returns: number of requests that were ended
        """
        now = asyncio.get_running_loop().time()
        ended = [t for t in self._timeouts if not t.expired()]
        for timeout in ended:
            timeout.reschedule(now)
        return len(ended)
