"""Crashes and trials as a pure function of the ``faults`` stream."""

from collections.abc import Callable
import dataclasses
from typing import Any

from fireflyspur.engines import engine_crash

# One crash may have been caused by any request of the batch; two different
# batches rarely share more than the request that caused both.
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
    """The right to run a suspect on an engine, with no other suspect there.

    :param deadline: wall-clock time at which the trial ends by itself
    """

    uid: str
    fingerprint: str
    engine: str
    deadline: float


@dataclasses.dataclass(frozen=True)
class RecordedCrash:
    """One crash of an engine that ran a fingerprint.

    :param time: time of the record
    :param rank: place in the log, None for a crash known from news alone
    """

    time: float
    rank: tuple[int, int] | None


class CrashCounts:
    """Which fingerprints are suspects and which are quarantined.

    A crash is counted once for each incarnation of an engine, on whichever
    nodes and under whichever request ids it was seen.

    :param quarantine_s: returns the duration of a quarantine
    """

    def __init__(self, quarantine_s: Callable[[], float]) -> None:
        self._quarantine_s = quarantine_s
        self._crashes: dict[str, dict[tuple[str, str], RecordedCrash]] = {}
        self._trials: dict[str, Trial] = {}
        self._ended_trials: dict[str, None] = {}

    def apply(self, offset: int, time: float, value: dict[str, Any]) -> None:
        """Apply the record at an offset."""
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
                # The append of the trial itself may arrive later.
                self._ended_trials[uid] = None
                self._trials.pop(uid, None)
                if len(self._ended_trials) > _MAX_ENDED_TRIALS:
                    del self._ended_trials[next(iter(self._ended_trials))]

    def add_unlogged(
        self, crash: engine_crash.EngineCrash, time: float
    ) -> None:
        """Count a crash that the log does not hold yet."""
        key = crash.engine, crash.incarnation
        for fingerprint in crash.fingerprints:
            self._add(fingerprint, key, RecordedCrash(time, None))

    def is_free(self, fingerprint: str, engine: str, time: float) -> bool:
        """Whether a fingerprint may have a trial on an engine."""
        trials = self.trials(time)
        on_engine = sum(trial.engine == engine for trial in trials)
        return on_engine < self.trials_per_engine(time) and not any(
            trial.fingerprint == fingerprint for trial in trials
        )

    def trials_per_engine(self, time: float) -> int:
        """Return how many suspects may share an engine."""
        recent = {
            key
            for crashes in self._crashes.values()
            for key, crash in crashes.items()
            if crash.rank and time - _RECENT_S < crash.time
        }
        return 1 if len(recent) < _MANY_CRASHES else _SHARED_TRIALS

    def trials(self, time: float) -> list[Trial]:
        """Return the trials that have not ended."""
        return [t for t in self._trials.values() if t.deadline > time]

    def has_trial(self, uid: str) -> bool:
        """Whether a trial was accepted and has not been ended."""
        return uid in self._trials

    def count(self, fingerprint: str, time: float) -> int:
        """Return the crashes of a fingerprint that have not expired."""
        return len(self._unexpired(fingerprint, time))

    def quarantined_until(self, fingerprint: str, time: float) -> float | None:
        """Return the end of a fingerprint's quarantine, or None."""
        times = [crash.time for crash in self._unexpired(fingerprint, time)]
        if len(times) < CRASHES_TO_QUARANTINE:
            return None
        return times[-1] + self._quarantine_s()

    def rank(self, fingerprint: str, time: float) -> int:
        """Return the place of a suspect among all suspects of the log."""
        own_rank = self._first_rank(fingerprint, time)
        return sum(
            self._first_rank(other, time) < own_rank for other in self._crashes
        )

    def quarantined(self, time: float) -> dict[str, float]:
        """Return the quarantined fingerprints with the end of each."""
        ends = {f: self.quarantined_until(f, time) for f in self._crashes}
        return {f: end for f, end in ends.items() if end is not None}

    def suspects(self, time: float) -> list[str]:
        """Return the fingerprints with a crash that are not quarantined."""
        return [
            f
            for f in self._crashes
            if 0 < self.count(f, time) < CRASHES_TO_QUARANTINE
        ]

    def remove_expired(self, time: float) -> list[str]:
        """Forget what has expired.

        :returns: the fingerprints that are no longer counted
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
        """Return the crashes that count, oldest first.

        The last one keeps those before it alive for the whole quarantine.
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
