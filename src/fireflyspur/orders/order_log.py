"""Leases on engines and slots for loading weights, decided by the log."""

from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
from typing import Any

from fireflyspur.clients import log_client

ORDERS_STREAM = "orders"

# A crashed holder must not block other loads for longer than this.
SLOT_LIFETIME_S = 120.0
# Interval of slot renewals, so three in a row may be lost.
RENEWAL_INTERVAL_S = 30.0
# Holders cannot renew their slots during an outage of the log, so a gap
# between two records adds at most this much to the age of slots.
_MAX_GAP_S = 30.0
# Writers retry an append for a minute, so duplicates arrive within that time.
_DEDUPLICATION_S = 600.0


@dataclasses.dataclass(frozen=True)
class Lease:
    """Right of a node to send orders to an engine.

    The offset is the fencing token: it grows with the log, so an engine
    that checks it rejects the orders of a previous lease holder.

    :param config_offset: offset of the configuration that the node has read
    """

    engine: str
    node: str
    uid: str
    offset: int
    config_offset: int


@dataclasses.dataclass(frozen=True)
class LoadIntent:
    """Request for a slot to load weights into an engine.

    The limits are part of the record, so that all readers apply the same.

    :param offset: offset of the intent, which is its place in the queue
    :param slots: maximum number of concurrent loads in the fleet
    :param requested: weights that the engine will be without during the load;
        the value is the number of engines that may be without them at
        once, or 0 if the engine does not have them anyway
    :param config_offset: offset of the requesting node's configuration
    :param reserved: weights that the engine may be without, or None while the
        intent waits
    :param expires_at: time in seconds on the clock of the stream
    """

    uid: str
    engine: str
    offset: int
    slots: int
    requested: Mapping[str, int]
    config_offset: int = 0
    reserved: frozenset[str] | None = None
    expires_at: float = 0.0

    @property
    def is_granted(self) -> bool:
        """Whether the intent holds a slot."""
        return self.reserved is not None

    def covers(self, names: Mapping[str, int]) -> bool:
        """Whether a load that leaves the engine without weights may start."""
        return self.reserved is not None and self.reserved >= names.keys()


class OrderLog:
    """State of the ``orders`` stream, a pure function of its prefix."""

    def __init__(self) -> None:
        self._leases: dict[str, Lease] = {}
        self._intents: dict[str, LoadIntent] = {}
        self._ended_at: dict[str, float] = {}
        self._read_at: dict[str, float] = {}
        self._last_time: float | None = None
        self._clock = 0.0

    def lease(self, engine: str) -> Lease | None:
        """Return the current lease on an engine."""
        return self._leases.get(engine)

    def has_read(self, uid: str) -> bool:
        """Whether a record was read within the last minutes."""
        return uid in self._read_at

    def intents(self, engine: str) -> list[LoadIntent]:
        """Return the active intents of an engine in the order of the queue."""
        return [i for i in self._queue() if i.engine == engine]

    def granted(self) -> list[LoadIntent]:
        """Return the intents that hold a slot."""
        return [i for i in self._queue() if i.is_granted]

    def apply(self, record: log_client.LogRecord) -> None:
        """Apply one record; ignore unknown types."""
        self._advance_clock(record.time)
        value = record.value
        if not isinstance(value, dict):
            return
        uid = value.get("uid")
        # A record is in the log twice if the response to its append was lost.
        if not isinstance(uid, str) or uid in self._read_at:
            return
        self._read_at[uid] = self._clock
        match value:
            case {"type": "lease", "engine": str(), "node": str()}:
                self._apply_lease(record, uid)
            case {"type": "load_intent", "engine": str(), "asks": dict()}:
                self._apply_intent(value, uid, record.offset)
            case {
                "type": "load_renewal",
                "intent": str() as intent_uid,
                "rank": int(),
            }:
                self._apply_renewal(value, intent_uid)
            case {"type": "load_end", "intent": str() as intent_uid}:
                self._apply_end(value, intent_uid)
        self._grant()

    def _queue(self) -> Iterator[LoadIntent]:
        return iter(sorted(self._intents.values(), key=lambda i: i.offset))

    def _apply_lease(self, record: log_client.LogRecord, uid: str) -> None:
        value = record.value
        lease = Lease(
            value["engine"],
            value["node"],
            uid,
            record.offset,
            _config_offset(value),
        )
        previous = self._leases.get(lease.engine)
        # A node with an older configuration than the lease holder would undo
        # the orders of the holder.
        if previous is None or previous.config_offset <= lease.config_offset:
            self._leases[lease.engine] = lease

    def _apply_intent(
        self, value: dict[str, Any], uid: str, offset: int
    ) -> None:
        # The end can come first: the intent is appended again if the response
        # to its first append was lost.
        if uid in self._ended_at:
            return
        self._intents[uid] = LoadIntent(
            uid,
            value["engine"],
            offset,
            _slots(value),
            _requested(value),
            _config_offset(value),
        )

    def _apply_renewal(self, value: dict[str, Any], intent_uid: str) -> None:
        if intent_uid in self._ended_at:
            return
        intent = self._intents.get(intent_uid)
        if intent is None:
            # The record of the intent was deleted from the log.
            requested = _requested(value)
            intent = LoadIntent(
                intent_uid,
                str(value.get("engine")),
                value["rank"],
                _slots(value),
                requested,
                reserved=frozenset(requested)
                if value.get("is_granted")
                else None,
            )
        self._intents[intent_uid] = dataclasses.replace(
            intent,
            slots=_slots(value),
            requested=_requested(value),
            config_offset=_config_offset(value),
            expires_at=self._clock + SLOT_LIFETIME_S,
        )

    def _apply_end(self, value: dict[str, Any], intent_uid: str) -> None:
        intent = self._intents.get(intent_uid)
        # A previous lease holder that leaves the queue must not free a slot
        # under which its successor may already load.
        if value.get("if_waiting") and intent and intent.is_granted:
            return
        self._intents.pop(intent_uid, None)
        self._ended_at[intent_uid] = self._clock

    def _grant(self) -> None:
        """Grant free slots to the first eligible intents.

        An intent keeps its slot until it ends or expires.
        """
        holders = {i.uid: i for i in self._intents.values() if i.is_granted}
        for intent in self._queue():
            reserved = intent.reserved or frozenset()
            if not intent.is_granted and len(holders) >= intent.slots:
                continue
            if intent.covers(intent.requested):
                continue
            if any(
                bound and _count_holders(name, holders, intent.uid) >= bound
                for name, bound in intent.requested.items()
                if name not in reserved
            ):
                continue
            expires_at = intent.expires_at
            if not intent.is_granted:
                expires_at = self._clock + SLOT_LIFETIME_S
            holders[intent.uid] = self._intents[intent.uid] = (
                dataclasses.replace(
                    intent,
                    reserved=reserved | intent.requested.keys(),
                    expires_at=expires_at,
                )
            )

    def _advance_clock(self, now: float) -> None:
        last = now if self._last_time is None else self._last_time
        self._last_time = max(now, last)
        self._clock += min(max(0.0, now - last), _MAX_GAP_S)
        for intent in self.granted():
            if intent.expires_at < self._clock:
                del self._intents[intent.uid]
                self._ended_at[intent.uid] = self._clock
        cutoff = self._clock - _DEDUPLICATION_S
        for times in (self._ended_at, self._read_at):
            for uid in [u for u, at in times.items() if at < cutoff]:
                del times[uid]


def _count_holders(
    name: str, holders: Mapping[str, LoadIntent], except_uid: str
) -> int:
    """Return the number of other holders whose engine is without weights."""
    return sum(
        name in (holder.reserved or ())
        for holder in holders.values()
        if holder.uid != except_uid
    )


def _slots(value: dict[str, Any]) -> int:
    return max(1, int(value.get("slots", 1)))


def _config_offset(value: dict[str, Any]) -> int:
    return int(value.get("config_offset", 0))


def _requested(value: dict[str, Any]) -> dict[str, int]:
    return {str(n): int(b) for n, b in value.get("asks", {}).items()}
