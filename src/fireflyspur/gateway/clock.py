"""The clock by which the gateway measures ages."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import time


def _boot_time_s() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


_sources: list[Callable[[], float]] = [_boot_time_s]


def now_s() -> float:
    """Return seconds of a clock that never steps.

    It goes on while the VM is suspended, so that what was learnt before a
    suspension is seen to be old.
    """
    return _sources[-1]()


@contextlib.contextmanager
def read_from(source: Callable[[], float]) -> Iterator[None]:
    """Read another clock for a while, for runs in virtual time."""
    _sources.append(source)
    try:
        yield
    finally:
        _sources.remove(source)
