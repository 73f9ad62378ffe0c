"""Clock for the ages and deadlines of the gateway."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import time


def _boot_time_s() -> float:
    return time.clock_gettime(time.CLOCK_BOOTTIME)


_sources: list[Callable[[], float]] = [_boot_time_s]


def now_s() -> float:
    """Return the time of a monotonic clock in seconds.

    The clock also advances while the VM is suspended, so data from before
    a suspension has its true age.
    """
    return _sources[-1]()


@contextlib.contextmanager
def override(source: Callable[[], float]) -> Iterator[None]:
    """Replace the clock within a context, to run in virtual time."""
    _sources.append(source)
    try:
        yield
    finally:
        _sources.remove(source)
