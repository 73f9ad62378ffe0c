"""The clock by which the gateway measures ages."""

import time


def now_s() -> float:
    """Return seconds of a clock that never steps.

    It goes on while the VM is suspended, so that what was learnt before a
    suspension is seen to be old.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
