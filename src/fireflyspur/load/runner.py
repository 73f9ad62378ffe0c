"""Open-loop run of a plan."""

import asyncio
import contextlib
import dataclasses
import sys
import time
from typing import Any

from fireflyspur.generated import load_mix
from fireflyspur.load import client
from fireflyspur.load import plan
from fireflyspur.load import recorder

_PROGRESS_INTERVAL_S = 2.0
# Above this lateness the generator, not the fleet, shapes the arrivals.
LATE_LIMIT_S = 0.05


@dataclasses.dataclass(frozen=True)
class LoadTarget:
    """Where a load goes.

    :param base_urls: entry points, used in turn
    :param time_factor: how many times faster than real time the fleet runs
    :param shows_progress: write progress to standard error
    """

    base_urls: list[str]
    time_factor: float = 1.0
    shows_progress: bool = True


class LoadRunner:
    """Sends each request at its time, whatever became of the others.

    :param mix: the mix
    :param target: where the requests go
    :param seed: seed of the arrivals
    :param label: name of the run in progress lines and results
    """

    def __init__(
        self,
        mix: load_mix.LoadMix,
        target: LoadTarget,
        seed: int,
        label: str,
    ) -> None:
        self._mix = mix
        self._target = target
        self._seed = seed
        self._label = label
        self._arrivals = plan.make_plan(mix, seed)
        self.recorder = recorder.Recorder(mix, target.time_factor)
        self._sent = self._completed = self._failed = 0
        self._late_s = 0.0
        self._started = 0.0

    async def run(self) -> dict[str, Any]:
        """Run to the end of the last request and return the results."""
        cpu_s = time.process_time()
        run_name = f"{self._label}-{self._seed}-{time.time_ns()}"
        load_client = client.LoadClient(
            self._target.base_urls,
            self._mix,
            self._target.time_factor,
            run_name,
        )
        self._started = time.perf_counter()
        progress = asyncio.ensure_future(self._report_progress())
        try:
            async with asyncio.TaskGroup() as group:
                for arrival in self._arrivals:
                    await self._wait_for(arrival)
                    group.create_task(self._send(load_client, arrival))
        finally:
            progress.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await progress
        elapsed_s = time.perf_counter() - self._started
        return {
            "label": self._label,
            "seed": self._seed,
            "time_factor": self._target.time_factor,
            "elapsed_s": elapsed_s,
            "generator_cpu": (time.process_time() - cpu_s) / elapsed_s,
            **self.recorder.summary(),
        }

    async def _wait_for(self, arrival: plan.Arrival) -> None:
        due = self._started + arrival.at_s / self._target.time_factor
        await asyncio.sleep(max(0.0, due - time.perf_counter()))

    async def _send(
        self, load_client: client.LoadClient, arrival: plan.Arrival
    ) -> None:
        factor = self._target.time_factor
        due = self._started + arrival.at_s / factor
        self._late_s = max(0.0, time.perf_counter() - due)
        self.recorder.note_sent(arrival, self._late_s)
        self._sent += 1
        outcome = await load_client.send(arrival)
        ended_s = (time.perf_counter() - self._started) * factor
        self.recorder.note_end(arrival, outcome, ended_s)
        self._completed += outcome.is_ok
        self._failed += not outcome.is_ok

    async def _report_progress(self) -> None:
        while self._target.shows_progress:
            await asyncio.sleep(_PROGRESS_INTERVAL_S)
            elapsed_s = time.perf_counter() - self._started
            in_flight = self._sent - self._completed - self._failed
            print(
                f"{self._label}: {elapsed_s * self._target.time_factor:.0f} s,"
                f" {self._sent} of {len(self._arrivals)} sent,"
                f" {in_flight} in flight, {self._completed} completed,"
                f" {self._failed} failed,"
                f" {self._late_s * 1000:.1f} ms late",
                file=sys.stderr,
                flush=True,
            )
