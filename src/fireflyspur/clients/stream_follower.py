"""Reader that follows a stream of the log."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import time

from fireflyspur.clients import exceptions
from fireflyspur.clients import log_client
from fireflyspur.observability import logs

_RETRY_S = 0.2


@dataclasses.dataclass(frozen=True)
class ReadResult:
    """Result of reading one page.

    :param started_at: monotonic time in seconds at which the read started
    :param is_at_tail: whether all records of the stream have been applied
    """

    started_at: float
    has_records: bool
    is_at_tail: bool


class StreamFollower:
    """Applies a stream's records, each once, in the order of their offsets.

    :param log: client of the log
    :param stream: name of the stream
    :param apply: called with each record
    :param poll_wait_s: seconds for which a read waits for new records
    :param part: prefix of the log lines
    :param outage_level: level at which the start of an outage is logged
    :param on_expiry: called with the first retained offset if records
        expired before they were read
    """

    def __init__(
        self,
        log: log_client.LogClient,
        stream: str,
        apply: Callable[[log_client.LogRecord], None],
        poll_wait_s: float,
        part: str = "log",
        outage_level: str = "DEBUG",
        on_expiry: Callable[[int], None] | None = None,
    ) -> None:
        self._log = log
        self._stream = stream
        self._apply = apply
        self._poll_wait_s = poll_wait_s
        self._logger = logs.log_for(part)
        self._outage_level = outage_level
        self._on_expiry = on_expiry
        self._next_offset = 1
        self._tail_read_at: float | None = None
        self._is_reachable: bool | None = None
        self._changed = asyncio.Event()

    @property
    def next_offset(self) -> int:
        """Offset of the next record to apply."""
        return self._next_offset

    @property
    def is_caught_up(self) -> bool:
        """Whether a read has reached the tail since the start."""
        return self._tail_read_at is not None

    @property
    def is_reachable(self) -> bool | None:
        """Whether the last read succeeded; None before the first one."""
        return self._is_reachable

    def is_fresh(self, margin_s: float) -> bool:
        """Whether the tail was read recently.

        :param margin_s: seconds allowed beyond the duration of a read that
            waits for records
        """
        if self._is_reachable is not True or self._tail_read_at is None:
            return False
        age_s = time.monotonic() - self._tail_read_at
        return age_s <= self._poll_wait_s + margin_s

    def skip_to(self, offset: int) -> None:
        """Skip the records before an offset, which are already known."""
        self._next_offset = max(self._next_offset, offset)

    async def run(
        self,
        read: Callable[[], Awaitable[object]] | None = None,
        is_done: Callable[[], bool] = lambda: False,
    ) -> None:
        """Follow the stream until cancelled.

        :param read: reads one page; :meth:`read_once` by default
        :param is_done: stops following once it returns True
        """
        read = read or self.read_once
        while not is_done():
            try:
                await read()
            except exceptions.LogUnavailableError as error:
                if self._is_reachable is not False:
                    self._logger.log(
                        self._outage_level,
                        "Stream {} unreachable: {}",
                        self._stream,
                        error,
                    )
                self._is_reachable = False
                self._notify()
                await asyncio.sleep(_RETRY_S)

    async def read_once(self, wait_s: float | None = None) -> ReadResult:
        """Read one page and apply it.

        :param wait_s: seconds to wait for a record when there is none; by
            default ``poll_wait_s`` once the tail was reached, 0 before
        :raises LogUnavailableError: if the log does not respond
        """
        if wait_s is None:
            wait_s = self._poll_wait_s if self.is_caught_up else 0.0
        # The response may wait in a buffer while the process is paused, so
        # only the start of the read bounds the age of the data.
        started_at = time.monotonic()
        page = await self._log.read(
            self._stream, self._next_offset, wait_s=wait_s
        )
        was_reachable = self._is_reachable
        self._is_reachable = True
        if page.first > self._next_offset and self._on_expiry:
            self._on_expiry(page.first)
        for record in page.records:
            # Reads may overlap, and skip_to() may have passed a record.
            if record.offset >= self._next_offset:
                self._apply(record)
                self._next_offset = record.offset + 1
        self.skip_to(page.next)
        was_caught_up = self.is_caught_up
        is_at_tail = self._next_offset >= page.tail
        if is_at_tail:
            self._tail_read_at = started_at
        if page.records or not (was_caught_up and was_reachable):
            self._notify()
        return ReadResult(started_at, bool(page.records), is_at_tail)

    async def wait_until(
        self, condition: Callable[[], bool], timeout_s: float
    ) -> bool:
        """Wait until a condition on the applied records holds.

        Another task must follow the stream in the meantime.

        :param condition: checked after each change
        :param timeout_s: seconds after which the wait ends
        :returns: whether the condition holds at the end of the wait
        """
        try:
            async with asyncio.timeout(max(0.0, timeout_s)):
                while not condition():
                    await self._changed.wait()
        except TimeoutError:
            return condition()
        return True

    def _notify(self) -> None:
        previous, self._changed = self._changed, asyncio.Event()
        previous.set()
