"""Virtual time: what is due next happens at once."""

from collections.abc import Callable
import heapq
import itertools


class VirtualTime:
    """A clock that jumps from one call to the next."""

    def __init__(self) -> None:
        self._now_s = 0.0
        self._numbers = itertools.count()
        self._due: list[tuple[float, int, Callable[[], None]]] = []

    def now_s(self) -> float:
        """Return the virtual time."""
        return self._now_s

    def call_later(self, delay_s: float, call: Callable[[], None]) -> None:
        """Do something after a delay."""
        entry = (self._now_s + delay_s, next(self._numbers), call)
        heapq.heappush(self._due, entry)

    def run(self, until_s: float) -> None:
        """Do what is due until a time."""
        while self._due and self._due[0][0] <= until_s:
            self._now_s, _, call = heapq.heappop(self._due)
            call()
        self._now_s = until_s
