"""Quarantine of prompt parts that crash the engines that answer on them."""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import hashlib
import random

from fireflyspur.gateway.common import clock
from fireflyspur.gateway.endpoints import crash_sequence
from fireflyspur.generated import peer_updates_pb2 as peer_updates
from fireflyspur.observability import logs

# Crashes without a complete response between them after which prompts with a
# part are refused. Fewer happen by chance to prompts that share an engine
# with the one that crashes it.
_QUARANTINE_CRASHES = 3
# A part with fewer crashes is forgotten after this time without another.
_SUSPECT_S = 60.0
# Time until the first trial of a quarantined part. It doubles with each trial
# that crashes an engine.
_FIRST_TRIAL_S = 60.0
_MAX_DOUBLINGS = 6
# Time that each node leaves to the ones before it for a trial, and that all
# leave to a trial that has begun.
_TRIAL_STEP_S = 5.0
_TRIAL_S = 15.0
# Bounds of memory; the oldest parts are removed first.
_MAX_PARTS = 10_000
# Parts in a heartbeat, which must fit in one datagram.
_MAX_SHARED_PARTS = 4

_log = logs.log_for("crashes")

# IDs of parts, unique for a service.
PartIds = tuple[int, ...]


@dataclasses.dataclass(frozen=True)
class PartCrash:
    """A crash of an engine while it ran a request.

    :param sent_at_s: clock when the request was sent to the engine
    :param broke_at_s: clock when the response broke off
    :param is_reported: whether another node detected it
    """

    parts: PartIds
    instance: str
    sent_at_s: float
    broke_at_s: float
    is_reported: bool = False


@dataclasses.dataclass(frozen=True)
class _Record:
    """Crashes of prompts with a part.

    :param common: parts that all prompts of these crashes share, with the
        part itself
    :param trial_at_s: clock time of the next trial
    """

    crashes: int
    last_crash_s: float
    last_instance: str
    common: frozenset[int]
    trial_at_s: float
    is_reported: bool

    @property
    def is_quarantined(self) -> bool:
        return self.crashes >= _QUARANTINE_CRASHES


def part_ids(service: str, parts: Sequence[str]) -> PartIds:
    """Return the IDs of the parts that a prompt shares with others.

    :param parts: names of the parts
    """
    return tuple(
        int.from_bytes(
            hashlib.blake2b(
                f"{service}/{part}".encode(), digest_size=8
            ).digest()
        )
        for part in parts
    )


class PartQuarantine:
    """Finds parts that crash engines, whatever else the prompts hold.

    Each request on a crashed engine is a suspect with all its parts. A
    complete response clears its parts. A crash counts only for requests that
    were sent after the crash before, so that the loss of many engines at once
    counts once. A prompt is refused only if it has all parts that the prompts
    of a part's crashes share: one of the others may be the cause.

    :param publish: returns the draft of the next update for all nodes
    :param rank: returns the rank of this node among those that may try a
        part again
    """

    def __init__(
        self,
        publish: Callable[[], peer_updates.PeerUpdate],
        rank: Callable[[int], int],
    ) -> None:
        self._publish = publish
        self._rank = rank
        self._records: dict[int, _Record] = {}
        # When parts were cleared.
        self._cleared: dict[int, float] = {}

    def is_quarantined(self, parts: PartIds) -> bool:
        """Return whether a prompt must not be sent to any engine.

        From time to time, one request may be sent as a trial.
        """
        quarantined = [part for part in parts if self._matches(part, parts)]
        if not quarantined:
            return False
        if not all(map(self._is_trial_due, quarantined)):
            return True
        for part in quarantined:
            _log.info("Part of prompts tried again", part=f"{part:016x}")
            self.postpone_trial(part)
        self._publish().tried_parts.extend(quarantined)
        return False

    def record_crash(self, crash: PartCrash) -> None:
        """Count a crash that this node detected, and broadcast it."""
        if not crash.parts:
            return
        now = clock.now_s()
        if not self.add_crash(crash):
            return
        self._publish().crashes.append(
            peer_updates.RequestCrash(
                instance=crash.instance,
                parts=crash.parts,
                sent_ago_ms=_to_ms(now - crash.sent_at_s),
                broke_ago_ms=_to_ms(now - crash.broke_at_s),
            )
        )

    def add_crash(self, crash: PartCrash) -> bool:
        """Count a crash that any node detected.

        :returns: whether it counts for any of its parts
        """
        is_counted = False
        for part in crash.parts:
            record = self._records.get(part)
            if record is None or self._is_outdated(record):
                record = _Record(
                    0, 0.0, "", frozenset(crash.parts), 0.0, False
                )
            if not _is_later(crash, record):
                continue
            is_counted = True
            self._set(part, _next_record(record, crash))
            if record.crashes + 1 >= _QUARANTINE_CRASHES:
                _log.warning(
                    "Part of prompts quarantined",
                    part=f"{part:016x}",
                    crashes=record.crashes + 1,
                    instance=crash.instance,
                )
        return is_counted

    def record_success(self, parts: PartIds) -> None:
        """Clear the parts of a complete response, and broadcast it."""
        suspects = [part for part in parts if part in self._records]
        if not suspects:
            return
        for part in suspects:
            self.clear(part)
        self._publish().cleared_parts.extend(suspects)

    def clear(self, part: int) -> None:
        """Clear a part that an engine has answered on."""
        record = self._records.pop(part, None)
        if record is None:
            return
        self._cleared.pop(part, None)
        self._cleared[part] = clock.now_s()
        _drop_oldest(self._cleared)
        if record.is_quarantined:
            _log.warning("Part of prompts released", part=f"{part:016x}")

    def postpone_trial(self, part: int) -> None:
        """Leave time for the trial of a part that a node has begun."""
        record = self._records.get(part)
        if record is not None:
            trial_at_s = max(record.trial_at_s, clock.now_s() + _TRIAL_S)
            self._records[part] = dataclasses.replace(
                record, trial_at_s=trial_at_s
            )

    def describe(self) -> list[peer_updates.QuarantinedPart]:
        """Return quarantined parts, for other nodes.

        If there are many, each heartbeat has some others.
        """
        now = clock.now_s()
        listed = [
            peer_updates.QuarantinedPart(
                part=part,
                crashes=record.crashes,
                crash_ago_ms=_to_ms(now - record.last_crash_s),
                common_parts=sorted(record.common),
            )
            for part, record in self._records.items()
            if record.is_quarantined
        ]
        count = min(len(listed), _MAX_SHARED_PARTS)
        return random.sample(listed, count)

    def update_from_peer(self, seen: peer_updates.QuarantinedPart) -> None:
        """Add a part that another node has quarantined."""
        crashed_at_s = clock.now_s() - seen.crash_ago_ms / 1000
        record = self._records.get(seen.part)
        if record is not None and record.crashes >= seen.crashes:
            return
        if self._cleared.get(seen.part, -1.0) > crashed_at_s:
            self._publish().cleared_parts.append(seen.part)
            return
        common = frozenset((seen.part, *seen.common_parts))
        trial_at_s = crashed_at_s + _trial_pause_s(seen.crashes)
        self._set(
            seen.part,
            _Record(seen.crashes, crashed_at_s, "", common, trial_at_s, True),
        )

    def _matches(self, part: int, parts: PartIds) -> bool:
        record = self._records.get(part)
        if record is None or not record.is_quarantined:
            return False
        return record.common.issubset(parts)

    def _is_trial_due(self, part: int) -> bool:
        delay_s = _TRIAL_STEP_S * self._rank(part)
        return clock.now_s() >= self._records[part].trial_at_s + delay_s

    def _is_outdated(self, record: _Record) -> bool:
        age_s = clock.now_s() - record.last_crash_s
        return not record.is_quarantined and age_s > _SUSPECT_S

    def _set(self, part: int, record: _Record) -> None:
        self._records.pop(part, None)
        self._records[part] = record
        _drop_oldest(self._records)


def _is_later(crash: PartCrash, record: _Record) -> bool:
    return crash_sequence.is_later(
        sent_at_s=crash.sent_at_s,
        broke_at_s=crash.broke_at_s,
        instance=crash.instance,
        last_crash_s=record.last_crash_s,
        last_instance=record.last_instance,
        is_reported=crash.is_reported or record.is_reported,
    )


def _next_record(record: _Record, crash: PartCrash) -> _Record:
    crashes = record.crashes + 1
    return _Record(
        crashes,
        crash.broke_at_s,
        crash.instance,
        record.common & frozenset(crash.parts),
        crash.broke_at_s + _trial_pause_s(crashes),
        crash.is_reported,
    )


def _trial_pause_s(crashes: int) -> float:
    doublings = min(max(0, crashes - _QUARANTINE_CRASHES), _MAX_DOUBLINGS)
    return _FIRST_TRIAL_S * 2**doublings


def _drop_oldest(entries: dict[int, object]) -> None:
    while len(entries) > _MAX_PARTS:
        del entries[next(iter(entries))]


def _to_ms(seconds: float) -> int:
    return max(0, round(seconds * 1000))
