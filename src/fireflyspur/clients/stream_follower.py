"""Following of a stream of the log."""

import asyncio
from collections.abc import Callable
import time

from fireflyspur.clients import exceptions
from fireflyspur.clients import log_client
from fireflyspur.observability import logs

_RETRY_S = 0.2

_log = logs.log_for("log")


class StreamFollower:
    """Applies a stream's records in the order of their offsets.

    :param log: client of the log
    :param stream: name of the stream
    :param apply: called with each record
    :param poll_wait_s: seconds for which a read waits for new records
    """

    def __init__(
        self,
        log: log_client.LogClient,
        stream: str,
        apply: Callable[[log_client.LogRecord], None],
        poll_wait_s: float,
    ) -> None:
        self._log = log
        self._stream = stream
        self._apply = apply
        self._poll_wait_s = poll_wait_s
        self._next = 1
        self._is_caught_up = False

    @property
    def is_caught_up(self) -> bool:
        """Whether a read has reached the tail since the start."""
        return self._is_caught_up

    async def run(self) -> None:
        """Follow the stream until cancelled."""
        while True:
            try:
                await self.read_once(self._poll_wait_s)
            except exceptions.LogUnavailableError as error:
                _log.debug("Stream {} unreachable: {}", self._stream, error)
                await asyncio.sleep(_RETRY_S)

    async def read_once(self, wait_s: float = 0.0) -> None:
        """Read one page and apply it.

        :param wait_s: seconds to wait for a record when there is none
        :raises LogUnavailableError: if the log does not answer
        """
        start = self._next
        wait_s = wait_s if self._is_caught_up else 0.0
        page = await self._log.read(self._stream, start, wait_s=wait_s)
        for item in page.records:
            # Two reads may overlap; each record is applied once.
            if item.offset >= self._next:
                self._next = item.offset + 1
                self._apply(item)
        self._next = max(self._next, page.first)
        if self._next >= page.tail:
            self._is_caught_up = True

    async def read_until(
        self, is_found: Callable[[], bool], timeout_s: float
    ) -> bool:
        """Read on until a condition holds.

        :param is_found: looks at what was applied
        :param timeout_s: seconds after which the search is given up
        :returns: whether the condition holds
        :raises LogUnavailableError: if the log does not answer
        """
        deadline = time.monotonic() + timeout_s
        while not is_found():
            if time.monotonic() >= deadline:
                return False
            await self.read_once()
            if not is_found():
                await asyncio.sleep(0.01)
        return True
