"""Following of one partition of the claims."""

import asyncio
from collections.abc import Callable
import time

from fireflyspur.claims import claim_partition
from fireflyspur.clients import exceptions
from fireflyspur.clients import log_client
from fireflyspur.observability import logs

IDLE_S = 600.0

_RETRY_S = 0.2

_log = logs.log_for("claims")


class PartitionReader:
    """Keeps a partition's state up to date while it is used.

    :param log: client of the log
    :param stream: name of the partition's stream
    :param partition: the state to keep
    :param poll_wait_s: seconds for which a read waits for new records
    """

    def __init__(
        self,
        log: log_client.LogClient,
        stream: str,
        partition: claim_partition.ClaimPartition,
        poll_wait_s: float,
    ) -> None:
        self._log = log
        self._stream = stream
        self._partition = partition
        self._poll_wait_s = poll_wait_s
        self._next = 1
        self._is_loaded = False
        self._changed = asyncio.Event()
        self._used_at = time.monotonic()
        self._waiters = 0

    @property
    def partition(self) -> claim_partition.ClaimPartition:
        """The state that is kept."""
        return self._partition

    @property
    def next_offset(self) -> int:
        """Offset of the first record that was not applied."""
        return self._next

    @property
    def is_loaded(self) -> bool:
        """Whether the tail was reached once."""
        return self._is_loaded

    @property
    def is_idle(self) -> bool:
        """Whether the partition was not used for a while."""
        idle_s = time.monotonic() - self._used_at
        return not self._waiters and idle_s > IDLE_S

    def touch(self) -> None:
        """Note that the partition is used."""
        self._used_at = time.monotonic()

    async def wait_until(
        self, condition: Callable[[], bool], timeout_s: float
    ) -> bool:
        """Wait until the state meets a condition.

        :returns: whether it does
        """
        self._waiters += 1
        try:
            async with asyncio.timeout(max(0.0, timeout_s)):
                while not condition():
                    await self._changed.wait()
        except TimeoutError:
            return condition()
        finally:
            self._waiters -= 1
        return True

    async def run(self) -> None:
        """Follow the stream until it is idle."""
        while not self.is_idle:
            try:
                await self._read_once()
            except exceptions.LogUnavailableError as error:
                _log.debug("Cannot read {}: {}", self._stream, error)
                await asyncio.sleep(_RETRY_S)

    async def _read_once(self) -> None:
        wait_s = self._poll_wait_s if self._is_loaded else 0.0
        page = await self._log.read(self._stream, self._next, wait_s=wait_s)
        for item in page.records:
            self._partition.apply(item.offset, item.time, item.value)
        self._next = max(self._next, page.next)
        was_loaded = self._is_loaded
        self._is_loaded = was_loaded or self._next >= page.tail
        if page.records or not was_loaded:
            self._changed.set()
            self._changed = asyncio.Event()
