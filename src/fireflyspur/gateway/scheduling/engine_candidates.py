"""Engines that are compared for a prompt."""

from collections.abc import Sequence
import dataclasses
import random
from typing import TypeVar

from fireflyspur.gateway.endpoints import endpoint as endpoints
from fireflyspur.gateway.endpoints import endpoint_directory
from fireflyspur.gateway.endpoints import endpoint_notices
from fireflyspur.gateway.endpoints import rate_limits
from fireflyspur.gateway.fleet import pool_map
from fireflyspur.gateway.scheduling import idle_engines
from fireflyspur.gateway.scheduling import in_flight_table

# Maximum number of engines to compare for one prompt. The best of a sample of
# this size is nearly as good as the best of all, and the time per selection
# stays bounded.
_MAX_COMPARED = 32

_T = TypeVar("_T")


@dataclasses.dataclass(frozen=True)
class _OwnEngines:
    """Engines of a service in the own pool.

    :param listed: all engines of the service, from which they were taken
    :param revision: revision of the pools at that time
    """

    engines: tuple[endpoints.Endpoint, ...]
    listed: tuple[endpoints.Endpoint, ...]
    revision: int

    def is_current(
        self, listed: tuple[endpoints.Endpoint, ...], revision: int
    ) -> bool:
        """Return whether the engines would be the same if found anew."""
        return self.listed is listed and self.revision == revision


class EngineCandidates:
    """Finds the engines that a node may choose from.

    :param directory: the known endpoints
    :param table: in-flight requests on the engines of the own pool
    :param pools: pools of the fleet
    :param idle: idle engines of other pools
    :param notices: what endpoints say of themselves
    """

    def __init__(
        self,
        directory: endpoint_directory.EndpointDirectory,
        table: in_flight_table.InFlightTable,
        pools: pool_map.PoolMap,
        idle: idle_engines.IdleEngines,
        notices: endpoint_notices.EndpointNotices,
    ) -> None:
        self._directory = directory
        self._table = table
        self._pools = pools
        self._idle = idle
        self._notices = notices
        self._own: dict[str, _OwnEngines] = {}

    @classmethod
    def for_one_pool(
        cls,
        directory: endpoint_directory.EndpointDirectory,
        table: in_flight_table.InFlightTable,
        limits: rate_limits.RateLimits | None = None,
    ) -> "EngineCandidates":
        """Return candidates for a fleet that is one pool.

        :param limits: rates that endpoints name; None if they name none
        """
        pools = pool_map.PoolMap("", "")
        return cls(
            directory,
            table,
            pools,
            idle_engines.IdleEngines(),
            endpoint_notices.EndpointNotices(
                limits or rate_limits.RateLimits.unlimited()
            ),
        )

    def in_pool(
        self, service: str, excluded: frozenset[str]
    ) -> list[endpoints.Endpoint]:
        """Return the engines of the own pool, or a sample of them."""
        available = self.available(self._own_engines(service), excluded)
        return _sample(available, _MAX_COMPARED)

    def idle_elsewhere(
        self, service: str, excluded: frozenset[str]
    ) -> list[endpoints.Endpoint]:
        """Return idle engines of other pools, or a sample of them."""
        if not self._pools.others:
            return []
        idle = self._idle.instances()
        found = [
            endpoint
            for endpoint in self._directory.ready(service)
            if endpoint.instance in idle
            and not self._table.count(endpoint.instance)
            and not self._directory.is_paused(endpoint.instance)
            and endpoint.instance not in excluded
        ]
        return _sample(self._notices.allowed(found), _MAX_COMPARED)

    def elsewhere(
        self, service: str, excluded: frozenset[str]
    ) -> list[endpoints.Endpoint]:
        """Return engines of other pools, or a sample of them."""
        if not self._pools.others:
            return []
        own = {e.instance for e in self._own_engines(service)}
        others = [
            endpoint
            for endpoint in self._directory.ready(service)
            if endpoint.instance not in own
        ]
        return _sample(self.available(others, excluded), _MAX_COMPARED)

    def available(
        self, listed: Sequence[endpoints.Endpoint], excluded: frozenset[str]
    ) -> list[endpoints.Endpoint]:
        """Return the endpoints of a list that may get a request.

        If all of them are paused, a paused one is better than none.
        """
        allowed = self._notices.allowed(
            [e for e in listed if e.instance not in excluded]
        )
        usable = [
            endpoint
            for endpoint in allowed
            if not self._directory.is_paused(endpoint.instance)
        ]
        return self._notices.preferred(usable or allowed)

    def find_idle(self, service: str, count: int) -> list[str]:
        """Return some idle engines of the own pool."""
        idle = [
            endpoint.instance
            for endpoint in self._own_engines(service)
            if not self._table.count(endpoint.instance)
            and not self._directory.is_paused(endpoint.instance)
            and not self._notices.is_restricted(endpoint)
        ]
        return _sample(idle, count)

    def _own_engines(self, service: str) -> tuple[endpoints.Endpoint, ...]:
        ready = self._directory.ready(service)
        if not self._pools.others:
            return ready
        revision = self._pools.revision
        cached = self._own.get(service)
        if cached is None or not cached.is_current(ready, revision):
            own = tuple(
                endpoint
                for endpoint in ready
                if self._pools.pool_of_endpoint(endpoint) == self._pools.own
            )
            cached = self._own[service] = _OwnEngines(own, ready, revision)
        return cached.engines


def _sample(items: list[_T], count: int) -> list[_T]:
    return items if len(items) <= count else random.sample(items, count)
