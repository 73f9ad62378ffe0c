"""Waiting for input with a time limit in a process that may be held up."""

import asyncio

# A turn of the event loop handles input that has arrived, the next one runs
# the tasks that wait for it.
_EXTRA_TURNS = 3


async def wait_for_input(
    future: "asyncio.Future[object]", timeout_s: float
) -> None:
    """Wait until a future that input completes is done, or for a time.

    A process that was suspended or busy finds its time limits expired before
    it has looked at input that arrived meanwhile. The peer was not late, so
    that input still counts. The caller checks whether the future is done.

    :param timeout_s: seconds to wait; at once if it is not positive
    """
    await asyncio.wait((future,), timeout=max(0.0, timeout_s))
    for _ in range(_EXTRA_TURNS):
        if future.done():
            return
        await asyncio.sleep(0)
