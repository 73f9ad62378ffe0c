"""Following of the ``faults`` stream and appends to it."""

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses
import time
from typing import Any

from fireflyspur.clients import exceptions
from fireflyspur.clients import log_client
from fireflyspur.observability import logs

FAULTS_STREAM = "faults"

_RETRY_S = 0.2
_READ_BACK_S = 2.0
_FIRST_READ_S = 1.0
_GROUP_S = 0.01
_REPEAT_S = 0.5
_EXPIRY_S = 60.0

_log = logs.log_for("engines")


@dataclasses.dataclass(frozen=True)
class _Pending:
    value: dict[str, Any]
    expires_at: float


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
        self._pending: dict[str, _Pending] = {}
        self._work = asyncio.Event()

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

        :returns: whether the record was read back in time
        """
        seen = self.append_later(value)
        if not self._is_reachable:
            return False
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(asyncio.shield(seen), _READ_BACK_S)
        return seen.done()

    def append_later(self, value: dict[str, Any]) -> "asyncio.Future[None]":
        """Append a record without waiting for it.

        Without an answer of the log, the append is repeated under the same
        ``uid`` until the record was read or has expired.

        :returns: done once the record was read back
        """
        seen = self._awaited.setdefault(value["uid"], asyncio.Future())
        expires_at = value.get("deadline", time.time() + _EXPIRY_S)
        self._pending[value["uid"]] = _Pending(value, expires_at)
        self._work.set()
        return seen

    async def close(self) -> None:
        """Send what is pending once more."""
        values = [pending.value for pending in self._pending.values()]
        if values:
            with contextlib.suppress(exceptions.LogUnavailableError):
                await self._log.append(FAULTS_STREAM, values)

    async def run_appends(self) -> None:
        """Append what is pending until cancelled.

        Records that come close together share one append, since the log's
        rate of appends is limited.
        """
        while True:
            await self._work.wait()
            await asyncio.sleep(_GROUP_S)
            self._work.clear()
            sent = dict(self._pending)
            if not sent:
                continue
            values = [pending.value for pending in sent.values()]
            try:
                await self._log.append(FAULTS_STREAM, values)
                for uid in sent:
                    self._pending.pop(uid, None)
            except exceptions.LogUnavailableError:
                # The records may be there all the same; a read says so.
                await asyncio.sleep(_REPEAT_S)
                self._drop_expired()
            if self._pending:
                self._work.set()

    def _drop_expired(self) -> None:
        now = time.time()
        for uid, pending in list(self._pending.items()):
            if pending.expires_at <= now:
                del self._pending[uid]
                self._awaited.pop(uid, None)

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
        self._pending.pop(uid, None)
        seen = self._awaited.pop(uid, None)
        if seen and not seen.done():
            seen.set_result(None)
