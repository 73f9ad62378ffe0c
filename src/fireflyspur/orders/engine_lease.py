"""The right of a node to order one engine."""

from collections.abc import Callable
import time
import uuid

from fireflyspur.clients import stream_follower
from fireflyspur.clients import stream_writer
from fireflyspur.orders import order_log

_READ_BACK_S = 2.0
# Two nodes that both take themselves for the owner order in turns at
# intervals that double from the first to the second of these.
_MIN_YIELD_S = 5.0
_MAX_YIELD_S = 320.0


class EngineLease:
    """Takes the lease of an engine and notices when it is overtaken.

    :param engine: name of the engine
    :param node: name of this node
    :param state: the state of the stream
    :param follower: follows the stream into ``state``
    :param writer: appends to the stream
    :param config_offset: returns the offset of the node's configuration
    :param is_live: whether a node is known to be alive
    """

    def __init__(
        self,
        engine: str,
        node: str,
        state: order_log.OrderLog,
        follower: stream_follower.StreamFollower,
        writer: stream_writer.StreamWriter,
        config_offset: Callable[[], int],
        is_live: Callable[[str], bool],
    ) -> None:
        self._engine = engine
        self._node = node
        self._state = state
        self._follower = follower
        self._writer = writer
        self._config_offset = config_offset
        self._is_live = is_live
        self._value: dict[str, object] = {}
        self._is_held = False
        self._taken_at = 0.0
        self._contests = 0
        self._yields_until = 0.0

    @property
    def _uid(self) -> str:
        return str(self._value.get("uid", ""))

    async def acquire(self) -> order_log.Lease | None:
        """Return this node's lease, or None when it has none for now.

        The lease is in force as far as this node has read the stream.
        """
        current = self._own()
        if current is not None:
            return current
        if self._is_held:
            self.give_up()
        if not self._may_take():
            return None
        self._submit()
        uid = self._uid
        await self._follower.wait_until(
            lambda: self._state.has_read(uid), _READ_BACK_S
        )
        current = self._own()
        self._is_held = current is not None
        self._taken_at = time.monotonic()
        return current

    def give_up(self) -> None:
        """Take another lease only after a delay that grows each time."""
        if time.monotonic() - self._taken_at > 2 * _MAX_YIELD_S:
            self._contests = 0
        delay_s = min(_MIN_YIELD_S * 2**self._contests, _MAX_YIELD_S)
        self._contests += 1
        self._yields_until = time.monotonic() + delay_s
        self._value = {}
        self._is_held = False

    def _own(self) -> order_log.Lease | None:
        current = self._state.lease(self._engine)
        if current is not None and current.uid == self._uid:
            return current
        return None

    def _may_take(self) -> bool:
        current = self._state.lease(self._engine)
        if current is None:
            return True
        if current.config_offset > self._config_offset():
            return False
        is_contested = time.monotonic() < self._yields_until
        return not (is_contested and self._is_live(current.node))

    def _submit(self) -> None:
        if not self._value or self._state.has_read(self._uid):
            self._value = {
                "type": "lease",
                "uid": str(uuid.uuid4()),
                "engine": self._engine,
                "node": self._node,
                "config_offset": self._config_offset(),
            }
        # The writer repeats an append that got no answer under the same uid.
        if not self._writer.is_awaited(self._uid):
            self._writer.submit(self._value)
