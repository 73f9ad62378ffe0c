"""Virtual time for simulations, which skips idle periods."""

from collections.abc import Callable
import heapq
import itertools


class VirtualTime:
    """A clock that advances to the time of the next scheduled call."""

    def __init__(self) -> None:
        self._now_s = 0.0
        self._numbers = itertools.count()
        self._calls: list[tuple[float, int, Callable[[], None]]] = []

    def now_s(self) -> float:
        """Return the virtual time."""
        return self._now_s

    def call_later(self, delay_s: float, call: Callable[[], None]) -> None:
        """Schedule a call after a delay."""
        entry = (self._now_s + delay_s, next(self._numbers), call)
        heapq.heappush(self._calls, entry)

    def run(self, end_s: float) -> None:
        """Run the scheduled calls until a time."""
        while self._calls and self._calls[0][0] <= end_s:
            self._now_s, _, call = heapq.heappop(self._calls)
            call()
        self._now_s = end_s
