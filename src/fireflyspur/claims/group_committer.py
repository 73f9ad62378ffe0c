"""Appends of one partition, many records in one request."""

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
    done: "asyncio.Future[None]"
    sent: asyncio.Event


class GroupCommitter:
    """Appends records until each is in the log.

    A lost answer is resolved by reading for the records' uids. What is not
    found is appended again with the same uid, which readers count once.

    :param log: client of the log
    :param stream: name of the partition's stream
    :param next_offset: returns an offset up to which all records are known
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
        """Whether no record waits for its append."""
        return self._task is None or self._task.done()

    def submit(
        self, record: dict[str, Any], expires_at: float
    ) -> "asyncio.Future[None]":
        """Append a record with the next group.

        :param record: the record, with its ``uid`` and ``type``
        :param expires_at: wall-clock time after which the append is given up
        :returns: done when the record is in the log, cancelled when the
            append was given up
        """
        done = asyncio.get_running_loop().create_future()
        self._queue.append(
            _PendingRecord(
                record, expires_at, self._next_offset(), done, asyncio.Event()
            )
        )
        if self.is_idle:
            self._task = asyncio.ensure_future(self._run())
        return done

    def withdraw(self, uid: str) -> bool:
        """Append a claim no more.

        :returns: True when it never was sent, so that it cannot be in the
            log
        """
        for pending in self._queue:
            if pending.record["uid"] == uid and not pending.sent.is_set():
                self._queue.remove(pending)
                return True
        self._withdrawn.add(uid)
        return False

    async def close(self, timeout_s: float) -> int:
        """Wait for the pending appends, but not without bound.

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
        """Append a group; False when the log does not answer."""
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
            _log.warning("Append to {} not answered: {}", self._stream, error)
            return False
        for pending in batch:
            self._complete(pending)
        return True

    async def _complete_found(self, batch: list[_PendingRecord]) -> None:
        """Settle the records whose append took effect unanswered."""
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
        if pending not in self._queue:
            return False
        withdrawn = pending.record["type"] == "claim" and (
            pending.record["uid"] in self._withdrawn
        )
        if withdrawn or time.time() > pending.expires_at:
            self._queue.remove(pending)
            pending.done.cancel()
            return False
        return True

    def _complete(self, pending: _PendingRecord) -> None:
        self._queue.remove(pending)
        if not pending.done.done():
            pending.done.set_result(None)
