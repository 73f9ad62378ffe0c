"""Exclusive trials of requests that are suspected of a crash."""

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

# Delay of a trial after a crash. In this time the other nodes check their own
# engines and interrupt their attempts of the same request.
_TRIAL_DELAY_S = 1.5
_POLL_S = 0.25
_MAX_WAIT_S = 30.0
_RETRY_AFTER_S = 5.0


@dataclasses.dataclass(frozen=True)
class AcquiredTrial:
    """Right to run a suspect on an engine.

    :param is_recorded: whether the trial is recorded in the log
    """

    engine: str
    is_recorded: bool


class SuspectTrials:
    """Runs a suspect once at a time, on an engine without other suspects.

    Trials are accepted in the order of the ``faults`` stream. One is accepted
    if the fingerprint has no earlier active trial and the engine does not have
    the maximum number of them.

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
        self._not_before: dict[str, float] = {}
        self._local_engines: collections.Counter[str] = collections.Counter()
        self._local_fingerprints: set[str] = set()

    def engines(self) -> set[str]:
        """Return the engines that run a suspect."""
        trials = self._counts.trials(time.time())
        return {t.engine for t in trials} | set(+self._local_engines)

    def delay_next_trial(self, fingerprint: str) -> None:
        """Delay the next trial of a fingerprint after a crash."""
        now = time.monotonic()
        self._not_before = {
            f: time_s for f, time_s in self._not_before.items() if time_s > now
        }
        self._not_before[fingerprint] = now + _TRIAL_DELAY_S

    def notify(self) -> None:
        """Wake the tasks that wait for a trial."""
        previous, self._changed = self._changed, asyncio.Event()
        previous.set()

    @contextlib.asynccontextmanager
    async def acquire(
        self,
        fingerprint: str,
        candidates: Callable[[], list[str]],
        deadline: float,
        check: Callable[[], None],
    ) -> AsyncIterator[AcquiredTrial]:
        """Hold a trial of a suspect while the context is open.

        :param candidates: returns the engines that may run it
        :param deadline: monotonic time in seconds at which the request fails
        :param check: raises an error if the request must not run any more
        :raises EnginesBusyError: if no trial was available in time
        """
        trial, uid = None, ""
        wait_deadline = min(deadline, time.monotonic() + _MAX_WAIT_S)
        while trial is None:
            check()
            if time.monotonic() >= wait_deadline:
                raise exceptions.EnginesBusyError(
                    "no engine was free for a request that is suspected of"
                    " a crash",
                    retry_after_s=_RETRY_AFTER_S,
                )
            changed = self._changed
            uid = f"trial-{uuid.uuid4()}"
            trial = await self._try_acquire(
                uid, fingerprint, candidates(), deadline
            )
            if trial is None:
                wait_s = min(_POLL_S, max(0, deadline - time.monotonic()))
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(changed.wait(), wait_s)
        try:
            check()
            yield trial
        finally:
            self._local_engines[trial.engine] -= 1
            self._local_fingerprints.discard(fingerprint)
            self._append_trial_end(uid)
            self.notify()

    async def _try_acquire(
        self,
        uid: str,
        fingerprint: str,
        candidates: list[str],
        deadline: float,
    ) -> AcquiredTrial | None:
        now = time.time()
        if self._not_before.get(fingerprint, 0.0) > time.monotonic():
            return None
        free = [
            name
            for name in candidates
            if self._counts.is_free(fingerprint, name, now)
            and self._local_engines[name] < self._counts.trials_per_engine(now)
        ]
        if not free or fingerprint in self._local_fingerprints:
            return None
        # The rank in the log distributes the suspects of all nodes.
        engine = free[self._counts.rank(fingerprint, now) % len(free)]
        self._local_engines[engine] += 1
        self._local_fingerprints.add(fingerprint)
        trial = None
        try:
            trial = await self._append_trial(
                uid, fingerprint, engine, deadline
            )
        finally:
            if trial is None:
                self._local_engines[engine] -= 1
                self._local_fingerprints.discard(fingerprint)
                self._append_trial_end(uid)
        return trial

    async def _append_trial(
        self, uid: str, fingerprint: str, engine: str, deadline: float
    ) -> AcquiredTrial | None:
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
                AcquiredTrial(engine, True)
                if self._counts.has_trial(uid)
                else None
            )
        # Without the log, a node can separate only its own suspects.
        if not self._stream.is_reachable:
            return AcquiredTrial(engine, False)
        return None

    def _append_trial_end(self, uid: str) -> None:
        self._stream.submit(
            {
                "kind": "trial_end",
                "uid": f"end-{uuid.uuid4()}",
                "node": self._owner,
                "trial": uid,
            }
        )
