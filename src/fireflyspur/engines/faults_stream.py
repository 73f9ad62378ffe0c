"""Reader and writer of the ``faults`` stream."""

import asyncio
from collections.abc import Callable
import contextlib
from typing import Any

from fireflyspur.clients import log_client
from fireflyspur.clients import stream_follower
from fireflyspur.clients import stream_writer

FAULTS_STREAM = "faults"

_READ_BACK_TIMEOUT_S = 2.0
_FIRST_READ_TIMEOUT_S = 1.0


class FaultsStream:
    """Applies the records in order and confirms the node's own appends.

    :param log: client of the log
    :param apply: called with each record
    :param poll_wait_s: seconds that a read waits for new records
    """

    def __init__(
        self,
        log: log_client.LogClient,
        apply: Callable[[log_client.LogRecord], None],
        poll_wait_s: float,
    ) -> None:
        self._apply = apply
        self._was_read = False
        self._writer = stream_writer.StreamWriter(log, FAULTS_STREAM)
        self._follower = stream_follower.StreamFollower(
            log,
            FAULTS_STREAM,
            self._apply_record,
            poll_wait_s,
            part="engines",
            outage_level="WARNING",
        )

    @property
    def is_reachable(self) -> bool:
        """Whether the last read of the log succeeded."""
        return self._follower.is_reachable is not False

    async def run(self) -> None:
        """Follow the stream until cancelled."""
        await self._follower.run()

    async def wait_until_read(self) -> None:
        """Wait until the stream has been read once, or cannot be read."""
        if not self._was_read:
            await self._follower.wait_until(
                self._is_read, _FIRST_READ_TIMEOUT_S
            )

    async def append(self, value: dict[str, Any]) -> bool:
        """Append a record and wait until it has been read back.

        :returns: whether the record was read back before the timeout
        """
        read_back = self.submit(value)
        if not self.is_reachable:
            return False
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(
                asyncio.shield(read_back), _READ_BACK_TIMEOUT_S
            )
        return read_back.done()

    def submit(self, value: dict[str, Any]) -> "asyncio.Future[None]":
        """Queue a record to be appended.

        :returns: future that is done when the record has been read back
        """
        return self._writer.submit(value)

    async def close(self) -> None:
        """Send the pending records once more."""
        await self._writer.close()

    async def run_appends(self) -> None:
        """Append pending records until cancelled."""
        await self._writer.run()

    def _is_read(self) -> bool:
        # New requests must not wait again if the log fails later.
        self._was_read = self._was_read or (
            self._follower.is_caught_up or not self.is_reachable
        )
        return self._was_read

    def _apply_record(self, record: log_client.LogRecord) -> None:
        if isinstance(record.value, dict):
            self._apply(record)
            self._writer.confirm(str(record.value.get("uid")))
