"""Lease that entitles a node to send orders to one engine."""

from collections.abc import Callable
import time
import uuid

from fireflyspur.clients import stream_follower
from fireflyspur.clients import stream_writer
from fireflyspur.orders import order_log

_READ_BACK_S = 2.0
# If two nodes both consider themselves the owner of an engine, the lease
# alternates between them at intervals that double from minimum to maximum.
_MIN_BACKOFF_S = 5.0
_MAX_BACKOFF_S = 320.0


class EngineLease:
    """Acquires the lease on an engine and detects its loss.

    :param engine: name of the engine
    :param node: name of this node
    :param state: the state of the stream
    :param follower: applies the stream to ``state``
    :param writer: appends to the stream
    :param config_offset: returns the offset of the node's configuration
    :param is_alive: whether a node is known to be alive
    """

    def __init__(
        self,
        engine: str,
        node: str,
        state: order_log.OrderLog,
        follower: stream_follower.StreamFollower,
        writer: stream_writer.StreamWriter,
        config_offset: Callable[[], int],
        is_alive: Callable[[str], bool],
    ) -> None:
        self._engine = engine
        self._node = node
        self._state = state
        self._follower = follower
        self._writer = writer
        self._config_offset = config_offset
        self._is_alive = is_alive
        self._record: dict[str, object] = {}
        self._is_held = False
        self._acquired_at = 0.0
        self._backoffs = 0
        self._backoff_ends_at = 0.0

    @property
    def _uid(self) -> str:
        return str(self._record.get("uid", ""))

    async def acquire(self) -> order_log.Lease | None:
        """Return this node's lease, acquiring it if needed and possible.

        :returns: the lease as of the last record that this node has read, or
            None if this node cannot have it at present
        """
        current = self._own_lease()
        if current is not None:
            return current
        if self._is_held:
            self.back_off()
        if not self._may_acquire():
            return None
        self._submit()
        uid = self._uid
        await self._follower.wait_until(
            lambda: self._state.has_read(uid), _READ_BACK_S
        )
        current = self._own_lease()
        self._is_held = current is not None
        self._acquired_at = time.monotonic()
        return current

    def back_off(self) -> None:
        """Drop the lease and delay the next acquisition.

        The delay doubles each time, up to the maximum.
        """
        if time.monotonic() - self._acquired_at > 2 * _MAX_BACKOFF_S:
            self._backoffs = 0
        delay_s = min(_MIN_BACKOFF_S * 2**self._backoffs, _MAX_BACKOFF_S)
        self._backoffs += 1
        self._backoff_ends_at = time.monotonic() + delay_s
        self._record = {}
        self._is_held = False

    def _own_lease(self) -> order_log.Lease | None:
        current = self._state.lease(self._engine)
        if current is not None and current.uid == self._uid:
            return current
        return None

    def _may_acquire(self) -> bool:
        current = self._state.lease(self._engine)
        if current is None:
            return True
        if current.config_offset > self._config_offset():
            return False
        is_backing_off = time.monotonic() < self._backoff_ends_at
        return not (is_backing_off and self._is_alive(current.node))

    def _submit(self) -> None:
        if not self._record or self._state.has_read(self._uid):
            self._record = {
                "type": "lease",
                "uid": str(uuid.uuid4()),
                "engine": self._engine,
                "node": self._node,
                "config_offset": self._config_offset(),
            }
        # The writer retries an append without a response under the same uid.
        if not self._writer.is_unconfirmed(self._uid):
            self._writer.submit(self._record)
