"""Leases of engines and slots for loads, decided by the log."""

from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
from typing import Any

from fireflyspur.clients import log_client

ORDERS_STREAM = "orders"

# A holder that died must not keep others from loading for longer than this.
SLOT_LIFETIME_S = 120.0
# Holders renew their slots this often, so three renewals may be lost.
RENEWAL_S = 30.0
# During an outage of the log no holder can renew, so a gap between two
# records counts for no more than this towards the expiry of slots.
_MAX_GAP_S = 30.0
# A repeated append arrives within the minute for which its writer tries.
_REMEMBERED_S = 600.0


@dataclasses.dataclass(frozen=True)
class Lease:
    """A node's claim to be the orderer of an engine.

    The offset is the fencing number: it grows with the log, so an engine
    that checks it refuses the orders of a former orderer.

    :param config_offset: offset of the configuration that the node follows
    """

    engine: str
    node: str
    uid: str
    offset: int
    config_offset: int


@dataclasses.dataclass(frozen=True)
class LoadIntent:
    """A wish to have an engine load weights.

    The limits are part of the record, so that all readers apply the same.

    :param rank: offset of the intent, which decides the order
    :param slots: loads at one time over the fleet
    :param asks: weights that the engine will be without during the load;
        the value is the number of engines that may be without them at one
        time, or 0 if the engine has not got them anyway
    :param config_offset: offset of the configuration of the node that asks
    :param holds: weights for which the load may go on, None while it waits
    :param expires_at: on the clock of the stream
    """

    uid: str
    engine: str
    rank: int
    slots: int
    asks: Mapping[str, int]
    config_offset: int = 0
    holds: frozenset[str] | None = None
    expires_at: float = 0.0

    @property
    def is_granted(self) -> bool:
        """Whether the intent holds a slot."""
        return self.holds is not None

    def covers(self, names: Mapping[str, int]) -> bool:
        """Whether a load that leaves the engine without weights may begin."""
        return self.holds is not None and self.holds >= names.keys()


class OrderLog:
    """State of the ``orders`` stream, a pure function of its prefix."""

    def __init__(self) -> None:
        self._leases: dict[str, Lease] = {}
        self._intents: dict[str, LoadIntent] = {}
        self._ended: dict[str, float] = {}
        self._read: dict[str, float] = {}
        self._last_time: float | None = None
        self._clock = 0.0

    def lease(self, engine: str) -> Lease | None:
        """Return the lease of an engine that is in force."""
        return self._leases.get(engine)

    def has_read(self, uid: str) -> bool:
        """Whether a record was read within the last minutes."""
        return uid in self._read

    def intents(self, engine: str) -> list[LoadIntent]:
        """Return the live intents of an engine in the order of the log."""
        return [i for i in self._in_order() if i.engine == engine]

    def granted(self) -> list[LoadIntent]:
        """Return the intents that hold a slot."""
        return [i for i in self._in_order() if i.is_granted]

    def apply(self, item: log_client.LogRecord) -> None:
        """Apply one record; kinds that are not known are passed over."""
        self._advance(item.time)
        value = item.value
        if not isinstance(value, dict):
            return
        uid = value.get("uid")
        # A record whose answer was lost may be there twice.
        if not isinstance(uid, str) or uid in self._read:
            return
        self._read[uid] = self._clock
        match value:
            case {"type": "lease", "engine": str(), "node": str()}:
                self._apply_lease(item, uid)
            case {"type": "load_intent", "engine": str(), "asks": dict()}:
                self._apply_intent(value, uid, item.offset)
            case {
                "type": "load_renewal",
                "intent": str() as of,
                "rank": int(),
            }:
                self._apply_renewal(value, of)
            case {"type": "load_end", "intent": str() as of}:
                self._apply_end(value, of)
        self._grant()

    def _in_order(self) -> Iterator[LoadIntent]:
        return iter(sorted(self._intents.values(), key=lambda i: i.rank))

    def _apply_lease(self, item: log_client.LogRecord, uid: str) -> None:
        value = item.value
        lease = Lease(
            value["engine"],
            value["node"],
            uid,
            item.offset,
            _config_offset(value),
        )
        former = self._leases.get(lease.engine)
        # A node that follows an older configuration than the orderer would
        # undo the orderer's work.
        if former is None or former.config_offset <= lease.config_offset:
            self._leases[lease.engine] = lease

    def _apply_intent(
        self, value: dict[str, Any], uid: str, rank: int
    ) -> None:
        # The end may come first when the intent's answer was lost.
        if uid in self._ended:
            return
        self._intents[uid] = LoadIntent(
            uid,
            value["engine"],
            rank,
            _slots(value),
            _asks(value),
            _config_offset(value),
        )

    def _apply_renewal(self, value: dict[str, Any], of: str) -> None:
        if of in self._ended:
            return
        intent = self._intents.get(of)
        if intent is None:
            # The intent itself has expired from the log.
            asks = _asks(value)
            intent = LoadIntent(
                of,
                str(value.get("engine")),
                value["rank"],
                _slots(value),
                asks,
                holds=frozenset(asks) if value.get("is_granted") else None,
            )
        self._intents[of] = dataclasses.replace(
            intent,
            slots=_slots(value),
            asks=_asks(value),
            config_offset=_config_offset(value),
            expires_at=self._clock + SLOT_LIFETIME_S,
        )

    def _apply_end(self, value: dict[str, Any], of: str) -> None:
        intent = self._intents.get(of)
        # A former orderer that gives up its place in the queue must not free
        # a slot under which its successor may load already.
        if value.get("if_waiting") and intent and intent.is_granted:
            return
        self._intents.pop(of, None)
        self._ended[of] = self._clock

    def _grant(self) -> None:
        """Give free slots to the first intents that may have them.

        A slot stays with its holder until it ends or expires.
        """
        holders = {i.uid: i for i in self._intents.values() if i.is_granted}
        for intent in self._in_order():
            held = intent.holds or frozenset()
            if not intent.is_granted and len(holders) >= intent.slots:
                continue
            if intent.covers(intent.asks):
                continue
            if any(
                bound and _count(name, holders, intent.uid) >= bound
                for name, bound in intent.asks.items()
                if name not in held
            ):
                continue
            expires_at = intent.expires_at
            if not intent.is_granted:
                expires_at = self._clock + SLOT_LIFETIME_S
            holders[intent.uid] = self._intents[intent.uid] = (
                dataclasses.replace(
                    intent,
                    holds=held | intent.asks.keys(),
                    expires_at=expires_at,
                )
            )

    def _advance(self, now: float) -> None:
        last = now if self._last_time is None else self._last_time
        self._last_time = max(now, last)
        self._clock += min(max(0.0, now - last), _MAX_GAP_S)
        for intent in self.granted():
            if intent.expires_at < self._clock:
                del self._intents[intent.uid]
                self._ended[intent.uid] = self._clock
        limit = self._clock - _REMEMBERED_S
        for remembered in (self._ended, self._read):
            for uid in [u for u, at in remembered.items() if at < limit]:
                del remembered[uid]


def _count(name: str, holders: Mapping[str, LoadIntent], but: str) -> int:
    """Return the number of other holders whose engine is without weights."""
    return sum(
        name in (holder.holds or ())
        for holder in holders.values()
        if holder.uid != but
    )


def _slots(value: dict[str, Any]) -> int:
    return max(1, int(value.get("slots", 1)))


def _config_offset(value: dict[str, Any]) -> int:
    return int(value.get("config_offset", 0))


def _asks(value: dict[str, Any]) -> dict[str, int]:
    return {str(n): int(b) for n, b in value.get("asks", {}).items()}
