"""Measurement of how late an event loop runs its tasks."""

import asyncio
import contextlib

_INTERVAL_S = 0.01


class LoopWatch:
    """Records the longest time for which the event loop ran nothing else."""

    def __init__(self):
        self.longest_s = 0.0

    async def _run(self):
        loop = asyncio.get_running_loop()
        while True:
            due_s = loop.time() + _INTERVAL_S
            await asyncio.sleep(_INTERVAL_S)
            self.longest_s = max(self.longest_s, loop.time() - due_s)


@contextlib.asynccontextmanager
async def watch_loop():
    """Yield a ``LoopWatch`` that measures until the end of the context."""
    watch = LoopWatch()
    task = asyncio.ensure_future(watch._run())
    await asyncio.sleep(0)
    try:
        yield watch
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
