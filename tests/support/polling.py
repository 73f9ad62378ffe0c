"""Waiting for a condition, with a bound that only a hang reaches."""

from collections.abc import Callable
import time
from typing import Any
import urllib.error

_HANG_S = 60.0


def wait_until(condition: Callable[[], Any], what: str) -> Any:
    """Return the condition's first true value."""
    deadline = time.monotonic() + _HANG_S
    while time.monotonic() < deadline:
        try:
            value = condition()
        except (urllib.error.URLError, ConnectionError):
            value = None
        if value:
            return value
        time.sleep(0.02)
    raise AssertionError(f"gave up waiting until {what}")
