"""Idle engines of other pools."""

from collections.abc import Iterable

from fireflyspur.gateway.common import clock

# Nodes of other pools report their idle engines about once a second. One
# report may be lost.
_MAX_AGE_S = 2.5


class IdleEngines:
    """Holds the engines that other pools reported as idle."""

    def __init__(self) -> None:
        self._reported_at_s: dict[str, float] = {}

    def add(self, instances: Iterable[str]) -> None:
        """Add engines that were just reported as idle."""
        now = clock.now_s()
        self._reported_at_s = {
            instance: reported_at_s
            for instance, reported_at_s in self._reported_at_s.items()
            if now - reported_at_s < _MAX_AGE_S
        }
        self._reported_at_s.update(dict.fromkeys(instances, now))

    def instances(self) -> frozenset[str]:
        """Return the engines that were reported as idle lately."""
        oldest_s = clock.now_s() - _MAX_AGE_S
        return frozenset(
            instance
            for instance, reported_at_s in self._reported_at_s.items()
            if reported_at_s > oldest_s
        )
