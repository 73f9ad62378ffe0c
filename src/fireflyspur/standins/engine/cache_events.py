"""Events about the prefix cache, shown late and with gaps."""

import collections
import random
import time
from typing import Any

_MAX_EVENTS = 4000


class CacheEvents:
    """Numbered events; some numbers never appear.

    :param lag_s: seconds before an event is shown
    :param loss: share of the events that is dropped
    :param seed: seed of the choice
    """

    def __init__(self, lag_s: float, loss: float, seed: int) -> None:
        self._lag_s = lag_s
        self._loss = loss
        self._random = random.Random(seed)
        self._sequence = 0
        self._events: collections.deque[tuple[float, dict[str, Any]]] = (
            collections.deque(maxlen=_MAX_EVENTS)
        )

    def add(self, kind: str, hashes: list[str]) -> None:
        """Add an event of kind ``stored``, ``evicted`` or ``cleared``."""
        self._sequence += 1
        if self._random.random() < self._loss:
            return
        event = {"seq": self._sequence, "type": kind, "hashes": hashes}
        self._events.append((time.monotonic(), event))

    def after(self, sequence: int) -> list[dict[str, Any]]:
        """Return the events with higher numbers that are shown by now."""
        limit = time.monotonic() - self._lag_s
        return [
            event
            for at, event in self._events
            if at <= limit and event["seq"] > sequence
        ]
