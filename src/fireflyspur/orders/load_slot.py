"""Slot that allows one engine to load weights."""

from collections.abc import Callable
from collections.abc import Mapping
import time
from typing import Any
import uuid

from fireflyspur.clients import stream_writer
from fireflyspur.orders import order_log

# Slots expire by the times of the records. A waiting node therefore appends a
# renewal at this interval: on an idle stream, the slot of a crashed holder
# would never expire.
_WAITING_RENEWAL_S = 2 * order_log.RENEWAL_INTERVAL_S


class LoadSlot:
    """Requests, renews and releases a slot.

    The slot belongs to the engine and not to its lease holder: an engine
    continues to load if the holder crashes, and the next one takes over the
    slot.

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
        self._own_intent_uid = ""
        self._last_renewal: tuple[str, float] = ("", 0.0)
        self._end_uids: dict[str, str] = {}

    @property
    def intent(self) -> order_log.LoadIntent | None:
        """First intent of the engine that this node is not ending."""
        intents = self._state.intents(self._engine)
        return next((i for i in intents if not self._is_ending(i.uid)), None)

    def request(self, requested: Mapping[str, int], slots: int) -> bool:
        """Request a slot, or keep the one that is granted.

        :param requested: as in :class:`~order_log.LoadIntent`
        :returns: whether the load may start
        """
        intent = self.intent
        if intent is None:
            self._submit_intent(requested, slots)
            return False
        if intent.covers(requested):
            self.renew_if_due()
            return True
        is_changed = (
            dict(intent.requested) != dict(requested) or intent.slots != slots
        )
        if is_changed or self._is_due(intent, _WAITING_RENEWAL_S):
            self._renew(intent, requested, slots)
        return False

    def renew_if_due(self) -> None:
        """Renew the granted slot if its renewal is due."""
        intent = self.intent
        if intent is None or not intent.is_granted:
            return
        if self._is_due(intent, order_log.RENEWAL_INTERVAL_S):
            self._renew(intent, intent.requested, intent.slots)

    def release(self) -> None:
        """End all intents of the engine, including this node's unread one.

        Intents of nodes with a newer configuration stay, because this node
        may not know yet of the load that the configuration requires.
        """
        for intent in self._state.intents(self._engine):
            if intent.config_offset <= self._config_offset():
                self._end(intent.uid)
        self._end_unread(if_waiting=False)

    def withdraw(self) -> None:
        """Remove this node's waiting intent, but keep a granted slot."""
        self._end_own(if_waiting=True)

    def cancel(self) -> None:
        """End this node's own intent, whether it waits or holds a slot.

        Intents of other nodes stay: another node that also considers itself
        the owner may load under an intent of its own.
        """
        self._end_own(if_waiting=False)

    def _submit_intent(self, requested: Mapping[str, int], slots: int) -> None:
        uid = self._own_intent_uid
        if uid and not self._state.has_read(uid):
            if self._writer.is_unconfirmed(uid):
                return
        else:
            uid = self._own_intent_uid = str(uuid.uuid4())
        self._last_renewal = (uid, time.monotonic())
        self._writer.submit(
            {
                "type": "load_intent",
                "uid": uid,
                "engine": self._engine,
                "asks": dict(requested),
                "slots": slots,
                "config_offset": self._config_offset(),
            }
        )

    def _renew(
        self,
        intent: order_log.LoadIntent,
        requested: Mapping[str, int],
        slots: int,
    ) -> None:
        previous, _ = self._last_renewal
        if self._writer.is_unconfirmed(previous):
            return
        uid = str(uuid.uuid4())
        self._last_renewal = (uid, time.monotonic())
        self._writer.submit(
            {
                "type": "load_renewal",
                "uid": uid,
                "intent": intent.uid,
                "engine": self._engine,
                "rank": intent.offset,
                "is_granted": intent.is_granted,
                "asks": dict(requested),
                "slots": slots,
                "config_offset": self._config_offset(),
            }
        )

    def _is_due(self, intent: order_log.LoadIntent, period_s: float) -> bool:
        _, renewed_at = self._last_renewal
        return time.monotonic() - renewed_at >= period_s

    def _end_own(self, if_waiting: bool) -> None:
        for intent in self._state.intents(self._engine):
            if intent.uid == self._own_intent_uid and not (
                if_waiting and intent.is_granted
            ):
                self._end(intent.uid, if_waiting)
        self._end_unread(if_waiting)

    def _end_unread(self, if_waiting: bool) -> None:
        uid = self._own_intent_uid
        if uid and not self._state.has_read(uid):
            self._own_intent_uid = ""
            self._writer.withdraw(uid)
            self._end(uid, if_waiting)

    def _is_ending(self, intent_uid: str) -> bool:
        return self._writer.is_unconfirmed(self._end_uids.get(intent_uid, ""))

    def _end(self, intent_uid: str, if_waiting: bool = False) -> None:
        if self._is_ending(intent_uid):
            return
        # If the intent was granted before an end with `if_waiting`, readers
        # ignore the end.
        self._end_uids = {
            intent: end
            for intent, end in self._end_uids.items()
            if self._is_ending(intent)
        }
        uid = self._end_uids[intent_uid] = str(uuid.uuid4())
        value: dict[str, Any] = {
            "type": "load_end",
            "uid": uid,
            "intent": intent_uid,
        }
        if if_waiting:
            value["if_waiting"] = True
        self._writer.submit(value)
