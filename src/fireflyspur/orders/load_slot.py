"""The slot under which one engine loads weights."""

from collections.abc import Callable
from collections.abc import Mapping
import time
from typing import Any
import uuid

from fireflyspur.clients import stream_writer
from fireflyspur.orders import order_log

# Expiry follows the times of the records, so while nothing is written a
# waiting orderer writes, or the slot of a dead holder would never expire.
_IDLE_S = 2 * order_log.RENEWAL_S


class LoadSlot:
    """Asks for a slot, renews it and gives it back.

    The slot belongs to the engine and not to its orderer: an engine goes on
    loading when its orderer dies, and the next orderer takes over its slot.

    :param engine: name of the engine
    :param state: the state of the stream
    :param writer: appends to the stream
    :param config_offset: returns the offset of the node's configuration
    """

    def __init__(
        self,
        engine: str,
        state: order_log.OrderLog,
        writer: stream_writer.StreamWriter,
        config_offset: Callable[[], int],
    ) -> None:
        self._engine = engine
        self._state = state
        self._writer = writer
        self._config_offset = config_offset
        self._asked = ""
        self._renewal: tuple[str, float] = ("", 0.0)
        self._ends: dict[str, str] = {}

    @property
    def intent(self) -> order_log.LoadIntent | None:
        """The first live intent of the engine that was read."""
        live = self._state.intents(self._engine)
        return next((i for i in live if not self._is_ending(i.uid)), None)

    def request(self, asks: Mapping[str, int], slots: int) -> bool:
        """Ask for a slot, or keep the one that is held.

        :param asks: as in :class:`~order_log.LoadIntent`
        :returns: whether the load may begin
        """
        intent = self.intent
        if intent is None:
            self._ask(asks, slots)
            return False
        if intent.covers(asks):
            self.keep()
            return True
        is_changed = dict(intent.asks) != dict(asks) or intent.slots != slots
        if is_changed or self._is_due(intent, _IDLE_S):
            self._renew(intent, asks, slots)
        return False

    def keep(self) -> None:
        """Renew the slot that is held, when it is due."""
        intent = self.intent
        if intent is None or not intent.is_granted:
            return
        if self._is_due(intent, order_log.RENEWAL_S):
            self._renew(intent, intent.asks, intent.slots)

    def release(self) -> None:
        """End all intents of the engine, also those not read yet.

        A node that follows a newer configuration may have a load to do of
        which this node does not know yet, so its intents stay.
        """
        for intent in self._state.intents(self._engine):
            if intent.config_offset <= self._config_offset():
                self._end(intent.uid)
        self._end_unread(if_waiting=False)

    def withdraw(self) -> None:
        """Give up this node's place in the queue, but no slot it holds."""
        self._end_own(if_waiting=True)

    def give_up(self) -> None:
        """End what this node asked for.

        Another node that takes itself for the orderer, too, may load under an
        intent of its own.
        """
        self._end_own(if_waiting=False)

    def _ask(self, asks: Mapping[str, int], slots: int) -> None:
        uid = self._asked
        if uid and not self._state.has_read(uid):
            if self._writer.is_awaited(uid):
                return
        else:
            uid = self._asked = str(uuid.uuid4())
        self._renewal = (uid, time.monotonic())
        self._writer.submit(
            {
                "type": "load_intent",
                "uid": uid,
                "engine": self._engine,
                "asks": dict(asks),
                "slots": slots,
                "config_offset": self._config_offset(),
            }
        )

    def _renew(
        self, intent: order_log.LoadIntent, asks: Mapping[str, int], slots: int
    ) -> None:
        former, _ = self._renewal
        if self._writer.is_awaited(former):
            return
        uid = str(uuid.uuid4())
        self._renewal = (uid, time.monotonic())
        self._writer.submit(
            {
                "type": "load_renewal",
                "uid": uid,
                "intent": intent.uid,
                "engine": self._engine,
                "rank": intent.rank,
                "is_granted": intent.is_granted,
                "asks": dict(asks),
                "slots": slots,
                "config_offset": self._config_offset(),
            }
        )

    def _is_due(self, intent: order_log.LoadIntent, period_s: float) -> bool:
        _, renewed_at = self._renewal
        return time.monotonic() - renewed_at >= period_s

    def _end_own(self, if_waiting: bool) -> None:
        for intent in self._state.intents(self._engine):
            if intent.uid == self._asked and not (
                if_waiting and intent.is_granted
            ):
                self._end(intent.uid, if_waiting)
        self._end_unread(if_waiting)

    def _end_unread(self, if_waiting: bool) -> None:
        uid = self._asked
        if uid and not self._state.has_read(uid):
            self._asked = ""
            self._writer.withdraw(uid)
            self._end(uid, if_waiting)

    def _is_ending(self, intent: str) -> bool:
        return self._writer.is_awaited(self._ends.get(intent, ""))

    def _end(self, intent: str, if_waiting: bool = False) -> None:
        if self._is_ending(intent):
            return
        # The log passes over an end for waiting intents that came too late.
        self._ends = {
            i: u for i, u in self._ends.items() if self._is_ending(i)
        }
        uid = self._ends[intent] = str(uuid.uuid4())
        value: dict[str, Any] = {
            "type": "load_end",
            "uid": uid,
            "intent": intent,
        }
        if if_waiting:
            value["if_waiting"] = True
        self._writer.submit(value)
