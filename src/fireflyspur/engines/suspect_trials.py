"""Exclusive rights to run the suspects of a crash."""

import asyncio
import collections
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import dataclasses
import time
import uuid

from fireflyspur.engines import crash_counts
from fireflyspur.engines import exceptions
from fireflyspur.engines import faults_stream

# After a crash, other nodes find out about their own engines and end their
# attempts at the same request before anyone runs it again.
_SETTLE_S = 1.5
_POLL_S = 0.25
_MAX_WAIT_S = 30.0
_RETRY_AFTER_S = 5.0


@dataclasses.dataclass(frozen=True)
class TrialPlace:
    """Where a suspect runs.

    :param is_recorded: whether the log holds the exclusive right
    """

    engine: str
    is_recorded: bool


class SuspectTrials:
    """Runs each suspect once at a time and alone among suspects.

    A trial is accepted by its offset on the ``faults`` stream, when neither
    the fingerprint nor the engine has an earlier one that is live.

    :param counts: crashes and trials
    :param stream: the ``faults`` stream
    :param owner: name and incarnation of this node
    """

    def __init__(
        self,
        counts: crash_counts.CrashCounts,
        stream: faults_stream.FaultsStream,
        owner: str,
    ) -> None:
        self._counts = counts
        self._stream = stream
        self._owner = owner
        self._changed = asyncio.Event()
        self._settled_at: dict[str, float] = {}
        self._local_engines: collections.Counter[str] = collections.Counter()
        self._local_fingerprints: set[str] = set()

    def engines(self) -> set[str]:
        """Return the engines that run a suspect."""
        trials = self._counts.trials(time.time())
        return {t.engine for t in trials} | set(+self._local_engines)

    def note_crash(self, fingerprint: str) -> None:
        """Wait before the next trial of a fingerprint."""
        now = time.monotonic()
        self._settled_at = {
            f: at for f, at in self._settled_at.items() if at > now
        }
        self._settled_at[fingerprint] = now + _SETTLE_S

    def notify(self) -> None:
        """Wake those that wait for a trial."""
        former, self._changed = self._changed, asyncio.Event()
        former.set()

    @contextlib.asynccontextmanager
    async def acquire(
        self,
        fingerprint: str,
        candidates: Callable[[], list[str]],
        deadline: float,
        check: Callable[[], None],
    ) -> AsyncIterator[TrialPlace]:
        """Hold the right to run a suspect.

        :param candidates: returns the engines that may run it
        :param deadline: monotonic time at which the request fails
        :param check: raises when the request is not to run any more
        :raises EnginesBusyError: if the right was not free in time
        """
        place, uid = None, ""
        given_up_at = min(deadline, time.monotonic() + _MAX_WAIT_S)
        while place is None:
            check()
            if time.monotonic() >= given_up_at:
                raise exceptions.EnginesBusyError(
                    "no engine was free for a request that is suspected of"
                    " a crash",
                    retry_after_s=_RETRY_AFTER_S,
                )
            changed = self._changed
            uid = f"trial-{uuid.uuid4()}"
            place = await self._try(uid, fingerprint, candidates(), deadline)
            if place is None:
                wait_s = min(_POLL_S, max(0, deadline - time.monotonic()))
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(changed.wait(), wait_s)
        try:
            check()
            yield place
        finally:
            self._local_engines[place.engine] -= 1
            self._local_fingerprints.discard(fingerprint)
            self._end(uid)
            self.notify()

    async def _try(
        self,
        uid: str,
        fingerprint: str,
        candidates: list[str],
        deadline: float,
    ) -> TrialPlace | None:
        now = time.time()
        if self._settled_at.get(fingerprint, 0.0) > time.monotonic():
            return None
        free = [
            name
            for name in candidates
            if self._counts.is_free(fingerprint, name, now)
            and self._local_engines[name] < self._counts.trials_per_engine(now)
        ]
        if not free or fingerprint in self._local_fingerprints:
            return None
        # The rank in the log spreads the suspects of all nodes.
        engine = free[self._counts.rank(fingerprint, now) % len(free)]
        self._local_engines[engine] += 1
        self._local_fingerprints.add(fingerprint)
        place = None
        try:
            place = await self._record(uid, fingerprint, engine, deadline)
        finally:
            if place is None:
                self._local_engines[engine] -= 1
                self._local_fingerprints.discard(fingerprint)
                self._end(uid)
        return place

    async def _record(
        self, uid: str, fingerprint: str, engine: str, deadline: float
    ) -> TrialPlace | None:
        value = {
            "kind": "trial",
            "uid": uid,
            "node": self._owner,
            "fingerprint": fingerprint,
            "engine": engine,
            "deadline": time.time() + max(0, deadline - time.monotonic()),
        }
        if await self._stream.append(value):
            return (
                TrialPlace(engine, True)
                if self._counts.has_trial(uid)
                else None
            )
        # Without the log, the node can keep only its own suspects apart.
        if not self._stream.is_reachable:
            return TrialPlace(engine, False)
        return None

    def _end(self, uid: str) -> None:
        self._stream.append_later(
            {
                "kind": "trial_end",
                "uid": f"end-{uuid.uuid4()}",
                "node": self._owner,
                "trial": uid,
            }
        )
