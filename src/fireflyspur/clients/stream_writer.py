"""Writer that repeats appends to a stream until they are read back."""

import asyncio
import contextlib
import dataclasses
import time
from typing import Any

from fireflyspur.clients import exceptions
from fireflyspur.clients import log_client

_BATCH_DELAY_S = 0.01
_RETRY_S = 0.5
_EXPIRY_S = 60.0


@dataclasses.dataclass(frozen=True)
class _Pending:
    value: dict[str, Any]
    expires_at: float


class StreamWriter:
    """Appends records to a stream, each under its own ``uid``.

    If the log does not respond, an append is repeated under the same ``uid``
    until the record is read back or expires. The reader of the stream calls
    :meth:`confirm` for each record, and must ignore a ``uid`` that it has
    already read.

    :param log: client of the log
    :param stream: name of the stream
    """

    def __init__(self, log: log_client.LogClient, stream: str) -> None:
        self._log = log
        self._stream = stream
        self._confirmations: dict[str, asyncio.Future[None]] = {}
        self._pending: dict[str, _Pending] = {}
        self._wakeup = asyncio.Event()

    def submit(self, value: dict[str, Any]) -> "asyncio.Future[None]":
        """Queue a record to append, without waiting.

        :param value: the record with its ``uid``; a ``deadline`` is the
            wall-clock time at which it expires
        :returns: future that is done once the record was read back
        """
        confirmation = self._confirmations.setdefault(
            value["uid"], asyncio.Future()
        )
        expires_at = value.get("deadline", time.time() + _EXPIRY_S)
        self._pending[value["uid"]] = _Pending(value, expires_at)
        self._wakeup.set()
        return confirmation

    def is_unconfirmed(self, uid: str) -> bool:
        """Return whether a record has not been read back yet."""
        return uid in self._confirmations

    def withdraw(self, uid: str) -> None:
        """Stop appending a record, which may already be in the log."""
        self._pending.pop(uid, None)
        self._confirmations.pop(uid, None)

    def confirm(self, uid: str) -> None:
        """Confirm that a record was read back."""
        self._pending.pop(uid, None)
        confirmation = self._confirmations.pop(uid, None)
        if confirmation and not confirmation.done():
            confirmation.set_result(None)

    async def run(self) -> None:
        """Append pending records until cancelled.

        Records submitted within a short time share one append, since the
        log limits the rate of appends.
        """
        while True:
            await self._wakeup.wait()
            await asyncio.sleep(_BATCH_DELAY_S)
            self._wakeup.clear()
            batch = dict(self._pending)
            if not batch:
                continue
            values = [pending.value for pending in batch.values()]
            try:
                await self._log.append(self._stream, values)
                for uid in batch:
                    self._pending.pop(uid, None)
            except exceptions.LogUnavailableError:
                # The records may be in the log nevertheless; reading them back
                # confirms them.
                await asyncio.sleep(_RETRY_S)
                self._drop_expired()
            if self._pending:
                self._wakeup.set()

    async def close(self) -> None:
        """Append the pending records one last time."""
        values = [pending.value for pending in self._pending.values()]
        if values:
            with contextlib.suppress(exceptions.LogUnavailableError):
                await self._log.append(self._stream, values)

    def _drop_expired(self) -> None:
        now = time.time()
        for uid, pending in list(self._pending.items()):
            if pending.expires_at <= now:
                self.withdraw(uid)
