"""Leases of engines and slots for loads, decided by the log."""

import dataclasses
from typing import Any

from fireflyspur.clients import log_client

ORDERS_STREAM = "orders"

# A holder that died must not keep others from loading for longer than this.
_SLOT_LIFETIME_S = 300.0


@dataclasses.dataclass(frozen=True)
class Lease:
    """A node's claim to be the orderer of an engine.

    The offset is the fencing number: it grows with the log, so an engine
    that checks it refuses the orders of a former orderer.
    """

    engine: str
    node: str
    uid: str
    offset: int


@dataclasses.dataclass(frozen=True)
class LoadIntent:
    """A node's wish to have an engine load weights.

    :param expires_at: wall-clock time in seconds
    """

    uid: str
    engine: str
    offset: int
    expires_at: float


class OrderLog:
    """State of the ``orders`` stream, a pure function of its prefix."""

    def __init__(self) -> None:
        self._leases: dict[str, Lease] = {}
        self._intents: dict[str, LoadIntent] = {}
        self._ended: dict[str, float] = {}

    def lease(self, engine: str) -> Lease | None:
        """Return the latest lease of an engine."""
        return self._leases.get(engine)

    def has_intent(self, uid: str) -> bool:
        """Whether an intent was read."""
        return uid in self._intents

    def holds_slot(self, uid: str, slots: int, now: float) -> bool:
        """Whether an intent is among the first live ones.

        :param slots: loads at one time over the fleet
        :param now: wall-clock time in seconds
        """
        live = sorted(
            (i for i in self._intents.values() if i.expires_at > now),
            key=lambda intent: intent.offset,
        )
        return any(intent.uid == uid for intent in live[:slots])

    def apply(self, item: log_client.LogRecord) -> None:
        """Apply one record; kinds that are not known are passed over."""
        value = item.value
        match value:
            case {"type": "lease", "engine": str(), "node": str()}:
                lease = Lease(
                    value["engine"], value["node"], value["uid"], item.offset
                )
                self._leases[lease.engine] = lease
            case {"type": "load_intent", "uid": str(), "engine": str()}:
                self._add_intent(item, value)
            case {"type": "load_end", "intent": str() as uid}:
                self._intents.pop(uid, None)
                self._ended[uid] = item.time
        self._expire(item.time)

    def _add_intent(
        self, item: log_client.LogRecord, value: dict[str, Any]
    ) -> None:
        # The end may come first when the intent's answer was lost.
        if value["uid"] in self._ended:
            return
        self._intents[value["uid"]] = LoadIntent(
            value["uid"],
            value["engine"],
            item.offset,
            item.time + _SLOT_LIFETIME_S,
        )

    def _expire(self, now: float) -> None:
        for uid in [u for u, i in self._intents.items() if i.expires_at < now]:
            del self._intents[uid]
        limit = now - _SLOT_LIFETIME_S
        for uid in [u for u, at in self._ended.items() if at < limit]:
            del self._ended[uid]
