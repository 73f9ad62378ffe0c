"""Crash counts and trials as a pure function of the ``faults`` stream."""

from collections.abc import Callable
import dataclasses
from typing import Any

from fireflyspur.engines import engine_crash

# A crash may be caused by any request of the batch. Two different batches
# rarely share more than the request that crashed both.
CRASHES_TO_QUARANTINE = 2
_MAX_ENDED_TRIALS = 10_000
# A request that crashes engines causes two crashes before its quarantine. More
# recent crashes have another cause, such as the failure of a rack. Their many
# suspects must not wait for an engine each.
_MANY_CRASHES = 3
_RECENT_S = 30.0
_SHARED_TRIALS = 16


@dataclasses.dataclass(frozen=True)
class Trial:
    """Exclusive right to run a suspect on an engine.

    :param deadline: Unix time in seconds at which the trial expires
    """

    uid: str
    fingerprint: str
    engine: str
    deadline: float


@dataclasses.dataclass(frozen=True)
class RecordedCrash:
    """One crash of an engine that ran a fingerprint.

    :param time: Unix time of the record in seconds
    :param rank: offset of the record and index of the fingerprint in it, or
        None if the crash is not in the log yet
    """

    time: float
    rank: tuple[int, int] | None


class CrashCounts:
    """Tracks suspected and quarantined fingerprints.

    A crash counts once for each incarnation of an engine, even if several
    nodes report it or the request has several request ids.

    :param quarantine_s: returns the duration of a quarantine
    """

    def __init__(self, quarantine_s: Callable[[], float]) -> None:
        self._quarantine_s = quarantine_s
        self._crashes: dict[str, dict[tuple[str, str], RecordedCrash]] = {}
        self._trials: dict[str, Trial] = {}
        self._ended_trials: dict[str, None] = {}

    def apply(self, offset: int, time: float, value: dict[str, Any]) -> None:
        """Apply the record at an offset of the stream."""
        crash = engine_crash.EngineCrash.from_record(value)
        if crash:
            for index, fingerprint in enumerate(crash.fingerprints):
                self._add(
                    fingerprint,
                    (crash.engine, crash.incarnation),
                    RecordedCrash(time, (offset, index)),
                )
            return
        match value:
            case {
                "kind": "trial",
                "uid": str(uid),
                "fingerprint": str(fingerprint),
                "engine": str(engine),
                "deadline": float() | int() as deadline,
            }:
                trial = Trial(uid, fingerprint, engine, deadline)
                if uid not in self._ended_trials and self.is_free(
                    fingerprint, engine, time
                ):
                    self._trials.setdefault(uid, trial)
            case {"kind": "trial_end", "trial": str(uid)}:
                # The record of the trial itself may be appended later.
                self._ended_trials[uid] = None
                self._trials.pop(uid, None)
                if len(self._ended_trials) > _MAX_ENDED_TRIALS:
                    del self._ended_trials[next(iter(self._ended_trials))]

    def add_unlogged(
        self, crash: engine_crash.EngineCrash, time: float
    ) -> None:
        """Count a crash that is not in the log yet."""
        key = crash.engine, crash.incarnation
        for fingerprint in crash.fingerprints:
            self._add(fingerprint, key, RecordedCrash(time, None))

    def is_free(self, fingerprint: str, engine: str, time: float) -> bool:
        """Return whether a fingerprint may start a trial on an engine."""
        trials = self.trials(time)
        on_engine = sum(trial.engine == engine for trial in trials)
        return on_engine < self.trials_per_engine(time) and not any(
            trial.fingerprint == fingerprint for trial in trials
        )

    def trials_per_engine(self, time: float) -> int:
        """Return the maximum number of concurrent trials on an engine."""
        recent = {
            key
            for crashes in self._crashes.values()
            for key, crash in crashes.items()
            if crash.rank and time - _RECENT_S < crash.time
        }
        return 1 if len(recent) < _MANY_CRASHES else _SHARED_TRIALS

    def trials(self, time: float) -> list[Trial]:
        """Return the trials that have neither ended nor expired."""
        return [t for t in self._trials.values() if t.deadline > time]

    def has_trial(self, uid: str) -> bool:
        """Return whether a trial was accepted and has not ended."""
        return uid in self._trials

    def count(self, fingerprint: str, time: float) -> int:
        """Return the number of unexpired crashes of a fingerprint."""
        return len(self._unexpired(fingerprint, time))

    def quarantined_until(self, fingerprint: str, time: float) -> float | None:
        """Return the end of a quarantine as Unix time, or None."""
        times = [crash.time for crash in self._unexpired(fingerprint, time)]
        if len(times) < CRASHES_TO_QUARANTINE:
            return None
        return times[-1] + self._quarantine_s()

    def rank(self, fingerprint: str, time: float) -> int:
        """Return the position of a suspect among all suspects in the log."""
        own_rank = self._first_rank(fingerprint, time)
        return sum(
            self._first_rank(other, time) < own_rank for other in self._crashes
        )

    def quarantined(self, time: float) -> dict[str, float]:
        """Return the end of the quarantine of each fingerprint."""
        ends = {f: self.quarantined_until(f, time) for f in self._crashes}
        return {f: end for f, end in ends.items() if end is not None}

    def suspects(self, time: float) -> list[str]:
        """Return the fingerprints that have a crash and no quarantine."""
        return [
            f
            for f in self._crashes
            if 0 < self.count(f, time) < CRASHES_TO_QUARANTINE
        ]

    def remove_expired(self, time: float) -> list[str]:
        """Remove expired crashes and trials.

        :returns: the fingerprints that have no more crashes
        """
        expired = [f for f in self._crashes if not self._unexpired(f, time)]
        for fingerprint in expired:
            del self._crashes[fingerprint]
        live = {trial.uid: trial for trial in self.trials(time)}
        self._trials = live
        return expired

    def _add(
        self, fingerprint: str, key: tuple[str, str], crash: RecordedCrash
    ) -> None:
        crashes = self._crashes.setdefault(fingerprint, {})
        if key not in crashes or crashes[key].rank is None:
            crashes[key] = crash

    def _unexpired(self, fingerprint: str, time: float) -> list[RecordedCrash]:
        """Return the unexpired crashes, oldest first.

        A crash that has not expired when the next one occurs counts as long
        as that one, so that a quarantine lasts for its whole period.
        """
        crashes = sorted(
            self._crashes.get(fingerprint, {}).values(), key=lambda c: c.time
        )
        period_s = self._quarantine_s()
        if not crashes or crashes[-1].time + period_s <= time:
            return []
        live = [crashes[-1]]
        for crash in reversed(crashes[:-1]):
            if crash.time + period_s <= live[0].time:
                break
            live.insert(0, crash)
        return live

    def _first_rank(
        self, fingerprint: str, time: float
    ) -> tuple[float, float]:
        ranks = [c.rank for c in self._unexpired(fingerprint, time) if c.rank]
        return min(ranks, default=(float("inf"), 0))
