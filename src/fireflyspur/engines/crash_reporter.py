"""Detection of engine crashes and reports of the affected requests."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import uuid

from fireflyspur.clients import engine_client
from fireflyspur.clients import exceptions
from fireflyspur.engines import attempt as attempts
from fireflyspur.engines import engine_crash

# Several probes, so that a short network interruption is not taken for a
# crash.
_PROBES = 3
_PROBE_INTERVAL_S = 0.1
_MAX_REPORTS = 1000
_CLOSE_TIMEOUT_S = 2.0


class ActiveAttempt:
    """An attempt in progress.

    :param incarnation: incarnation of the engine, or empty if not known
    :param is_trial: whether it runs in the trial of a suspect
    """

    def __init__(
        self,
        fingerprint: str,
        engine: engine_client.EngineAddress,
        incarnation: str,
        is_trial: bool,
    ) -> None:
        self.fingerprint = fingerprint
        self.engine = engine
        self.incarnation = incarnation
        self.is_trial = is_trial
        self.attempt: attempts.Attempt | None = None


class CrashReporter:
    """Tracks the attempts on each engine and reports them if it crashes.

    :param client: client of the engines
    :param report: records a crash
    """

    def __init__(
        self,
        client: engine_client.EngineClient,
        report: Callable[[engine_crash.EngineCrash], Awaitable[None]],
    ) -> None:
        self._client = client
        self._report = report
        self._active_attempts: list[ActiveAttempt] = []
        self._incarnations: dict[str, str] = {}
        self._probes: dict[tuple[str, str], asyncio.Task[bool]] = {}
        self._reported: dict[tuple[str, str], set[str]] = {}
        self._locks: dict[tuple[str, str], asyncio.Lock] = {}
        self._checking: list[ActiveAttempt] = []
        self._tasks: set[asyncio.Task[bool]] = set()

    @property
    def active_attempts(self) -> list[ActiveAttempt]:
        """The attempts in progress."""
        return list(self._active_attempts)

    @contextlib.contextmanager
    def track(
        self,
        fingerprint: str,
        engine: engine_client.EngineAddress,
        is_trial: bool,
    ) -> Iterator[ActiveAttempt]:
        """Track an attempt while the context is open."""
        incarnation = self._incarnations.get(engine.name, "")
        active = ActiveAttempt(fingerprint, engine, incarnation, is_trial)
        self._active_attempts.append(active)
        try:
            yield active
        finally:
            self._active_attempts.remove(active)

    def set_incarnation(self, active: ActiveAttempt, incarnation: str) -> None:
        """Set the incarnation of the engine that runs an attempt."""
        active.incarnation = incarnation
        self._incarnations[active.engine.name] = incarnation

    async def check(self, active: ActiveAttempt) -> bool:
        """Check whether the engine of a broken stream has crashed.

        A crash is reported even if the caller disconnects meanwhile.
        Otherwise a request whose caller always disconnects is never detected.

        :returns: whether it crashed; its requests are then reported
        """
        task = asyncio.create_task(self._check(active))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return await asyncio.shield(task)

    async def close(self) -> None:
        """Wait a bounded time for the checks in progress."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=_CLOSE_TIMEOUT_S)

    async def _check(self, active: ActiveAttempt) -> bool:
        key = active.engine.name, active.incarnation
        if key not in self._probes:
            if len(self._probes) > _MAX_REPORTS:
                self._drop_oldest()
            self._probes[key] = asyncio.create_task(
                self._probe(active.engine, *key)
            )
        task = self._probes[key]
        self._checking.append(active)
        try:
            if await asyncio.shield(task):
                await self._report_all(key)
                return True
        finally:
            self._checking.remove(active)
        # The next broken stream starts a new probe.
        if self._probes.get(key) is task:
            del self._probes[key]
        return False

    async def _probe(
        self, engine: engine_client.EngineAddress, name: str, incarnation: str
    ) -> bool:
        for number in range(_PROBES):
            if number:
                await asyncio.sleep(_PROBE_INTERVAL_S)
            try:
                current = await self._client.incarnation(engine)
            except exceptions.EngineUnavailableError:
                continue
            except (exceptions.EngineRefusedError, KeyError, TypeError):
                return False
            self._incarnations[name] = current
            return bool(incarnation) and current != incarnation
        return True

    async def _report_all(self, key: tuple[str, str]) -> None:
        reported = self._reported.setdefault(key, set())
        # Each caller waits until the crash is recorded, even if another broken
        # stream reports it.
        async with self._locks.setdefault(key, asyncio.Lock()):
            fingerprints = {
                active.fingerprint
                for active in [*self._active_attempts, *self._checking]
                if (active.engine.name, active.incarnation) == key
                and not (active.attempt and active.attempt.was_refused)
            }
            missing = sorted(fingerprints - reported)
            if not missing:
                return
            reported.update(missing)
            crash = engine_crash.EngineCrash(
                f"crash-{uuid.uuid4()}", *key, tuple(missing)
            )
            await self._report(crash)

    def _drop_oldest(self) -> None:
        oldest = next(iter(self._probes))
        del self._probes[oldest]
        self._reported.pop(oldest, None)
        self._locks.pop(oldest, None)
