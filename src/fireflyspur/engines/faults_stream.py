"""Following of the ``faults`` stream and appends to it."""

import asyncio
from collections.abc import Callable
import contextlib
import time
from typing import Any

from fireflyspur.clients import exceptions
from fireflyspur.clients import log_client
from fireflyspur.observability import logs

FAULTS_STREAM = "faults"

_RETRY_S = 0.2
_READ_BACK_S = 2.0
_FIRST_READ_S = 1.0
_CLOSE_S = 1.0

_log = logs.log_for("engines")


class FaultsStream:
    """Reads the stream in order and reads the node's own records back.

    :param log: client of the log
    :param apply: called with each record
    :param poll_wait_s: seconds for which a read waits for new records
    """

    def __init__(
        self,
        log: log_client.LogClient,
        apply: Callable[[log_client.LogRecord], None],
        poll_wait_s: float,
    ) -> None:
        self._log = log
        self._apply = apply
        self._poll_wait_s = poll_wait_s
        self._next = 1
        self._is_reachable = True
        self._read = asyncio.Event()
        self._awaited: dict[str, asyncio.Future[None]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def is_reachable(self) -> bool:
        """Whether the last read of the log succeeded."""
        return self._is_reachable

    async def run(self) -> None:
        """Follow the stream until cancelled."""
        while True:
            try:
                await self._read_page()
            except exceptions.LogUnavailableError as error:
                if self._is_reachable:
                    _log.warning("Stream of faults unreachable: {}", error)
                self._is_reachable = False
                self._read.set()
                await asyncio.sleep(_RETRY_S)

    async def wait_read(self) -> None:
        """Wait until the stream was read once or cannot be read."""
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(self._read.wait(), _FIRST_READ_S)

    async def append(self, value: dict[str, Any]) -> bool:
        """Append a record and wait until it was read back.

        Without an answer of the log, the append is repeated in the
        background under the same ``uid`` until the record is read.

        :returns: whether the record was read back in time
        """
        seen = self._awaited.setdefault(value["uid"], asyncio.Future())
        task = asyncio.create_task(self._append_until_seen(value, seen))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        if not self._is_reachable:
            return False
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(asyncio.shield(seen), _READ_BACK_S)
        return seen.done()

    def append_later(self, value: dict[str, Any]) -> None:
        """Append a record without waiting for it."""
        seen = self._awaited.setdefault(value["uid"], asyncio.Future())
        task = asyncio.create_task(self._append_until_seen(value, seen))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """Wait a moment for the appends in progress and give up the rest."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=_CLOSE_S)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _append_until_seen(
        self, value: dict[str, Any], seen: "asyncio.Future[None]"
    ) -> None:
        expires_at = value.get("deadline", time.time() + 60)
        while not seen.done() and time.time() < expires_at:
            try:
                await self._log.append(FAULTS_STREAM, [value])
                break
            except exceptions.LogUnavailableError:
                # The record may be there all the same; the next read says.
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(
                        asyncio.shield(seen), _READ_BACK_S / 4
                    )
        if not seen.done():
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(asyncio.shield(seen), _READ_BACK_S)
        self._awaited.pop(value["uid"], None)

    async def _read_page(self) -> None:
        wait_s = self._poll_wait_s if self._read.is_set() else 0.0
        page = await self._log.read(FAULTS_STREAM, self._next, wait_s=wait_s)
        self._is_reachable = True
        for item in page.records:
            if isinstance(item.value, dict):
                self._apply(item)
                self._note_seen(str(item.value.get("uid")))
        self._next = max(self._next, page.next)
        if self._next >= page.tail:
            self._read.set()

    def _note_seen(self, uid: str) -> None:
        seen = self._awaited.get(uid)
        if seen and not seen.done():
            seen.set_result(None)
