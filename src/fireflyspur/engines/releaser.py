"""Release of holdings on engines, with retries."""

import asyncio
import time

from fireflyspur.clients import engine_client
from fireflyspur.clients import exceptions

_FIRST_RETRY_S = 0.1
_MAX_RETRY_S = 2.0
_CLOSE_TIMEOUT_S = 10.0


class Releaser:
    """Retries each release until the engine acknowledges it.

    :param client: client of the engines
    """

    def __init__(self, client: engine_client.EngineClient) -> None:
        self._client = client
        self._tasks: set[asyncio.Task[bool]] = set()

    @property
    def pending(self) -> int:
        """Number of releases that are not acknowledged yet."""
        return len(self._tasks)

    def release(
        self,
        engine: engine_client.EngineAddress,
        holding: engine_client.Holding,
    ) -> "asyncio.Task[bool]":
        """Start the release of a holding.

        :returns: task that returns whether the engine acknowledged
        """
        task = asyncio.create_task(self._run(engine, holding))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def close(self) -> None:
        """Wait a bounded time until the releases are acknowledged.

        A sweeper frees the remaining holdings, because their owner has left.
        """
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=_CLOSE_TIMEOUT_S)
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run(
        self,
        engine: engine_client.EngineAddress,
        holding: engine_client.Holding,
    ) -> bool:
        # After the deadline of the holding, the engine or a sweeper frees it.
        # The release is tried at least once, in case the engine does not.
        delay_s = _FIRST_RETRY_S
        while True:
            try:
                await self._client.release(engine, holding)
                return True
            except (
                exceptions.EngineUnavailableError,
                exceptions.EngineRefusedError,
            ):
                if time.time() + delay_s >= holding.deadline:
                    return False
            await asyncio.sleep(delay_s)
            delay_s = min(2 * delay_s, _MAX_RETRY_S)
