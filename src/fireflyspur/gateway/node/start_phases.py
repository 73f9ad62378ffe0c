"""Time that each part of a node's start takes."""

import asyncio
from collections.abc import Callable
from collections.abc import Mapping
import os
import pathlib

from fireflyspur.gateway.common import clock
from fireflyspur.observability import logs

# Interval of the first looks; a start that waits for the store is looked at
# less and less often.
_FIRST_INTERVAL_S = 0.01
_INTERVAL_FACTOR = 1.2
_MAX_INTERVAL_S = 0.5
# Position of the start time among the fields that follow the program's name.
_START_FIELD = 19

_log = logs.log_for("node")


def process_started_at_s() -> float:
    """Return the clock time at which this process was started.

    The system counts it from the boot, as the clock does.
    """
    text = pathlib.Path("/proc/self/stat").read_text("utf-8")
    ticks = int(text.rpartition(")")[2].split()[_START_FIELD])
    return ticks / os.sysconf("SC_CLK_TCK")


class StartPhases:
    """Records when the parts of a start have ended, and logs them once.

    :param started_at_s: clock time of the start of the process
    """

    def __init__(self, started_at_s: float) -> None:
        self._started_at_s = started_at_s
        self._ended_ms: dict[str, int] = {}

    @classmethod
    def of_process(cls) -> "StartPhases":
        """Return the parts of this process, whose modules are loaded."""
        phases = cls(process_started_at_s())
        phases.record("loaded_ms")
        return phases

    @property
    def ended_ms(self) -> Mapping[str, int]:
        """Time from the start to the end of each part that has ended."""
        return self._ended_ms

    def record(self, phase: str) -> None:
        """Record that a part has ended, unless it had ended before."""
        if phase not in self._ended_ms:
            elapsed_s = clock.now_s() - self._started_at_s
            self._ended_ms[phase] = round(elapsed_s * 1000)

    async def watch(self, checks: Mapping[str, Callable[[], bool]]) -> None:
        """Record the parts as they end, and log all of them after the last.

        :param checks: return whether a part has ended, by its name
        """
        interval_s = _FIRST_INTERVAL_S
        while not checks.keys() <= self._ended_ms.keys():
            for phase, has_ended in checks.items():
                if has_ended():
                    self.record(phase)
            await asyncio.sleep(interval_s)
            interval_s = min(_MAX_INTERVAL_S, _INTERVAL_FACTOR * interval_s)
        _log.info("Start complete", **self._ended_ms)
