"""Group commit: appends many records of a partition in one request."""

import asyncio
from collections.abc import Callable
import dataclasses
import time
from typing import Any

from fireflyspur.clients import exceptions
from fireflyspur.clients import log_client
from fireflyspur.observability import logs

BATCH_DELAY_S = 0.02

_RETRY_S = 0.2
_MAX_RETRY_S = 2.0

_log = logs.log_for("claims")


@dataclasses.dataclass(frozen=True, eq=False)
class _PendingRecord:
    record: dict[str, Any]
    expires_at: float
    start_offset: int
    appended: "asyncio.Future[None]"
    sent: asyncio.Event


class GroupCommitter:
    """Appends records in groups and retries until each is in the log.

    After a lost response, the stream is searched for the records' uids.
    Records that are not found are appended again with the same uid, which
    readers apply only once.

    :param log: client of the log
    :param stream: name of the partition's stream
    :param next_offset: returns the offset before which all records have been
        read
    """

    def __init__(
        self,
        log: log_client.LogClient,
        stream: str,
        next_offset: Callable[[], int],
    ) -> None:
        self._log = log
        self._stream = stream
        self._next_offset = next_offset
        self._queue: list[_PendingRecord] = []
        self._withdrawn: set[str] = set()
        self._task: asyncio.Task[None] | None = None

    @property
    def is_idle(self) -> bool:
        """Whether no record is pending."""
        return self._task is None or self._task.done()

    def submit(
        self, record: dict[str, Any], expires_at: float
    ) -> "asyncio.Future[None]":
        """Append a record with the next group.

        :param record: the record, with its ``uid`` and ``type``
        :param expires_at: wall-clock time in seconds after which the append
            is given up
        :returns: a future that is done when the record is in the log, and
            cancelled when the append is given up
        """
        appended = asyncio.get_running_loop().create_future()
        self._queue.append(
            _PendingRecord(
                record,
                expires_at,
                self._next_offset(),
                appended,
                asyncio.Event(),
            )
        )
        if self.is_idle:
            self._task = asyncio.ensure_future(self._run())
        return appended

    def withdraw(self, uid: str) -> bool:
        """Stop appending a claim.

        :returns: True if it was never sent and so cannot be in the log
        """
        for pending in self._queue:
            if pending.record["uid"] == uid and not pending.sent.is_set():
                self._queue.remove(pending)
                return True
        self._withdrawn.add(uid)
        return False

    async def close(self, timeout_s: float) -> int:
        """Wait for the pending appends until a timeout.

        :returns: number of records that were not appended
        """
        if self._task is None:
            return 0
        await asyncio.wait({self._task}, timeout=timeout_s)
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        return len(self._queue)

    async def _run(self) -> None:
        retry_s = _RETRY_S
        while self._queue:
            await asyncio.sleep(BATCH_DELAY_S)
            if await self._commit(list(self._queue)):
                retry_s = _RETRY_S
                continue
            await asyncio.sleep(retry_s)
            retry_s = min(2 * retry_s, _MAX_RETRY_S)
        self._withdrawn.clear()

    async def _commit(self, batch: list[_PendingRecord]) -> bool:
        """Append a group; return False if the log does not respond."""
        try:
            if any(pending.sent.is_set() for pending in batch):
                await self._complete_found(batch)
            batch = [
                pending for pending in batch if self._should_append(pending)
            ]
            if not batch:
                return True
            for pending in batch:
                pending.sent.set()
            await self._log.append(self._stream, [p.record for p in batch])
        except exceptions.LogUnavailableError as error:
            _log.warning(
                "No response to append to {}: {}", self._stream, error
            )
            return False
        for pending in batch:
            self._complete(pending)
        return True

    async def _complete_found(self, batch: list[_PendingRecord]) -> None:
        """Complete records whose append succeeded without a response."""
        found: set[tuple[str, str]] = set()
        start = min(pending.start_offset for pending in batch)
        while True:
            page = await self._log.read(self._stream, start)
            found |= {
                (record.value["type"], record.value["uid"])
                for record in page.records
            }
            start = page.next
            if start >= page.tail:
                break
        for pending in batch:
            if (pending.record["type"], pending.record["uid"]) in found:
                self._complete(pending)

    def _should_append(self, pending: _PendingRecord) -> bool:
        """Whether to append a record; gives it up if it is not needed."""
        if pending not in self._queue:
            return False
        withdrawn = pending.record["type"] == "claim" and (
            pending.record["uid"] in self._withdrawn
        )
        if withdrawn or time.time() > pending.expires_at:
            self._queue.remove(pending)
            pending.appended.cancel()
            return False
        return True

    def _complete(self, pending: _PendingRecord) -> None:
        self._queue.remove(pending)
        if not pending.appended.done():
            pending.appended.set_result(None)
