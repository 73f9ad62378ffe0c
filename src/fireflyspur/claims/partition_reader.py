"""Reader of one claim partition."""

from collections.abc import Callable
import time

from fireflyspur.claims import claim_partition
from fireflyspur.clients import log_client
from fireflyspur.clients import stream_follower

IDLE_TIMEOUT_S = 600.0


class PartitionReader:
    """Keeps the state of a partition up to date while it is in use.

    :param log: client of the log
    :param stream: name of the partition's stream
    :param partition: the state to update
    :param poll_wait_s: seconds for which a read waits for new records
    """

    def __init__(
        self,
        log: log_client.LogClient,
        stream: str,
        partition: claim_partition.ClaimPartition,
        poll_wait_s: float,
    ) -> None:
        self._partition = partition
        self._follower = stream_follower.StreamFollower(
            log, stream, self._apply, poll_wait_s, part="claims"
        )
        self._used_at = time.monotonic()
        self._waiters = 0

    @property
    def partition(self) -> claim_partition.ClaimPartition:
        """The state of the partition."""
        return self._partition

    @property
    def next_offset(self) -> int:
        """Offset of the first record that was not applied yet."""
        return self._follower.next_offset

    @property
    def is_loaded(self) -> bool:
        """Whether the stream was read up to its tail at least once."""
        return self._follower.is_caught_up

    @property
    def is_idle(self) -> bool:
        """Whether nobody waits and the idle timeout has passed."""
        idle_s = time.monotonic() - self._used_at
        return not self._waiters and idle_s > IDLE_TIMEOUT_S

    def touch(self) -> None:
        """Restart the idle timeout."""
        self._used_at = time.monotonic()

    async def wait_until(
        self, condition: Callable[[], bool], timeout_s: float
    ) -> bool:
        """Wait until the state meets a condition.

        :returns: whether it met the condition before the timeout
        """
        self._waiters += 1
        try:
            return await self._follower.wait_until(condition, timeout_s)
        finally:
            self._waiters -= 1

    async def run(self) -> None:
        """Follow the stream until the partition is idle."""
        await self._follower.run(is_done=lambda: self.is_idle)

    def _apply(self, record: log_client.LogRecord) -> None:
        self._partition.apply(record.offset, record.time, record.value)
