"""Tests written as coroutines."""

import asyncio
import functools

_TIMEOUT_S = 20.0


def in_loop(test):
    """Run a coroutine test in an event loop of its own."""

    @functools.wraps(test)
    def run(self):
        async def bounded():
            async with asyncio.timeout(_TIMEOUT_S):
                await test(self)

        asyncio.run(bounded())

    return run
