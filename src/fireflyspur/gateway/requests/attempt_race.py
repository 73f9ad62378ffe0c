"""Attempts of one request that run side by side."""

import asyncio
from collections.abc import Coroutine
import contextlib
import dataclasses
from typing import Any

from fireflyspur.gateway.common import clock
from fireflyspur.gateway.requests import attempt_result
from fireflyspur.gateway.scheduling import placement as placements


@dataclasses.dataclass(frozen=True, eq=False)
class Started:
    """An attempt that was started.

    :param started_at_s: clock time of its start
    """

    placement: placements.Placement
    started_at_s: float = dataclasses.field(default_factory=clock.now_s)


@dataclasses.dataclass(frozen=True)
class Ended:
    """An attempt that has ended, and how."""

    started: Started
    result: attempt_result.AttemptResult


@dataclasses.dataclass(frozen=True)
class Silent:
    """An attempt that is silent, and the only one that is running."""

    started: Started


_Task = asyncio.Task[attempt_result.AttemptResult]


class AttemptRace:
    """Runs an attempt, and another one beside it while it is silent.

    Silence does not show that a response is lost. A silent attempt is
    therefore ended only when the response of another one has started, and the
    other one as soon as the silent one goes on.
    """

    def __init__(self) -> None:
        self._running: dict[Started, _Task] = {}
        # How attempts ended that another one has ended.
        self._superseded: dict[Started, attempt_result.AttemptResult] = {}
        self._silent: Started | None = None
        self._changed = asyncio.Event()

    async def __aenter__(self) -> "AttemptRace":
        return self

    async def __aexit__(self, *error: object) -> None:
        tasks = list(self._running.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    @property
    def is_running(self) -> bool:
        """Whether an attempt is running."""
        return bool(self._running)

    def start(
        self,
        started: Started,
        attempt: Coroutine[Any, Any, attempt_result.AttemptResult],
        resources: contextlib.ExitStack,
    ) -> None:
        """Start an attempt.

        :param resources: closed when it ends, also if it was never run
        """
        task = asyncio.ensure_future(attempt)
        task.add_done_callback(lambda _: resources.close())
        task.add_done_callback(lambda _: self._changed.set())
        self._running[started] = task
        self._silent = None

    def report_silence(self, started: Started) -> None:
        """Report that an attempt is silent; another one may be started."""
        if len(self._running) == 1:
            self._silent = started
            self._changed.set()

    def report_progress(self, started: Started) -> None:
        """Report that a silent attempt goes on, which ends the others."""
        self._silent = None
        self._end_others(started, attempt_result.Overtaken())

    def report_response(self, started: Started, reason: str) -> None:
        """Report that the response of an attempt starts.

        :param reason: why the others are ended
        """
        self._end_others(
            started, attempt_result.Broken(reason, is_connection_lost=False)
        )

    async def wait(self) -> Ended | Silent:
        """Wait until an attempt ends, or the only one is silent."""
        while True:
            for started, task in self._running.items():
                if task.done():
                    del self._running[started]
                    return self._ended(started, task)
            if self._silent is not None:
                silent, self._silent = self._silent, None
                return Silent(silent)
            self._changed.clear()
            await self._changed.wait()

    def _end_others(
        self, started: Started, result: attempt_result.AttemptResult
    ) -> None:
        for other, task in self._running.items():
            if other is not started and not task.done():
                self._superseded[other] = result
                task.cancel()

    def _ended(self, started: Started, task: _Task) -> Ended:
        if task.cancelled() and started in self._superseded:
            return Ended(started, self._superseded[started])
        return Ended(started, task.result())
