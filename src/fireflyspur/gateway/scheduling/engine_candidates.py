"""Engines that are compared for a prompt."""

from collections.abc import Sequence
import dataclasses
import heapq
import random
from typing import TypeVar

from fireflyspur.gateway.common import clock
from fireflyspur.gateway.configuration import routing_config
from fireflyspur.gateway.endpoints import endpoint as endpoints
from fireflyspur.gateway.endpoints import endpoint_directory
from fireflyspur.gateway.endpoints import endpoint_notices
from fireflyspur.gateway.endpoints import rate_limits
from fireflyspur.gateway.fleet import pool_map
from fireflyspur.gateway.scheduling import in_flight_table
from fireflyspur.gateway.scheduling import pool_loads

# Maximum number of engines to compare for one prompt. The best of a sample of
# this size is nearly as good as the best of all, and the time per selection
# stays bounded.
MAX_COMPARED = 32
# Share of them that is left for engines of other pools.
_COMPARED_ELSEWHERE = 8
# Reports that are examined for each engine of another pool to compare, as some
# engines have no room.
_EXAMINED_PER_CHOICE = 3

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
    :param loads: load of engines of other pools
    :param notices: what endpoints say of themselves
    """

    def __init__(
        self,
        directory: endpoint_directory.EndpointDirectory,
        table: in_flight_table.InFlightTable,
        pools: pool_map.PoolMap,
        loads: pool_loads.PoolLoads,
        notices: endpoint_notices.EndpointNotices,
    ) -> None:
        self._directory = directory
        self._table = table
        self._pools = pools
        self._loads = loads
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
            pool_loads.PoolLoads(table),
            endpoint_notices.EndpointNotices(
                limits or rate_limits.RateLimits.unlimited()
            ),
        )

    def own_engines(self, service: str) -> tuple[endpoints.Endpoint, ...]:
        """Return all engines of the own pool that accept requests."""
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

    def in_pool(
        self, service: str, excluded: frozenset[str]
    ) -> list[endpoints.Endpoint]:
        """Return the engines of the own pool, or a sample of them.

        Paused ones are left out if there are other pools.
        """
        own = self.own_engines(service)
        if self._pools.others:
            own = self._not_paused(own)
        available = self.available(own, excluded)
        if not self._loads.has_any:
            return _sample(available, MAX_COMPARED)
        return _sample(available, MAX_COMPARED - _COMPARED_ELSEWHERE)

    def reported(
        self,
        service: str,
        engine: routing_config.EngineSpec,
        excluded: frozenset[str],
        count: int,
    ) -> list[tuple[endpoints.Endpoint, pool_loads.RemoteLoad]]:
        """Return engines of other pools that are likely to have room.

        They are chosen at random, in proportion to their room: nodes that
        know the same reports would all choose the best of them.

        :param count: maximum number of engines
        """
        found = [
            (endpoint, load)
            for endpoint, load in self._with_room(
                service,
                engine,
                excluded,
                min(2 * MAX_COMPARED, _EXAMINED_PER_CHOICE * count),
            )
            if load.likely_room > 0
        ]
        return heapq.nlargest(
            count,
            found,
            key=lambda i: random.random() ** (1 / i[1].likely_room),
        )

    def possibly_full(
        self,
        service: str,
        engine: routing_config.EngineSpec,
        excluded: frozenset[str],
        count: int,
    ) -> list[tuple[endpoints.Endpoint, pool_loads.RemoteLoad]]:
        """Return engines of other pools that had room, the likeliest first.

        Requests that others sent since the reports may have filled them.
        """
        found = self._with_room(service, engine, excluded, 2 * MAX_COMPARED)
        return heapq.nlargest(
            count, found, key=lambda i: i[1].likely_room + random.random()
        )

    def unreported(
        self,
        service: str,
        engine: routing_config.EngineSpec,
        excluded: frozenset[str],
    ) -> list[endpoints.Endpoint]:
        """Return engines of other pools that may have room, or a sample.

        Paused ones and those that were just reported as full are left out.
        """
        if not self._pools.others:
            return []
        own = {e.instance for e in self.own_engines(service)}
        others = [
            endpoint
            for endpoint in self._directory.ready(service)
            if endpoint.instance not in own
            and not self._loads.is_full(endpoint.instance, engine)
        ]
        available = self.available(self._not_paused(others), excluded)
        return _sample(available, MAX_COMPARED)

    def paused(
        self, service: str, excluded: frozenset[str]
    ) -> list[endpoints.Endpoint]:
        """Return engines of any pool, or a sample, if all are paused."""
        if not self._pools.others:
            return []
        listed = self._directory.ready(service)
        if self._not_paused(listed):
            return []
        return _sample(self.available(listed, excluded), MAX_COMPARED)

    def record_full(
        self, instance: str, engine: routing_config.EngineSpec
    ) -> None:
        """Record that an engine of another pool refused for want of room."""
        endpoint = self._directory.find_named(instance)
        if endpoint is not None and not self.is_own(endpoint):
            self._loads.record_full(instance, engine)

    def is_own(self, endpoint: endpoints.Endpoint) -> bool:
        """Return whether an endpoint belongs to the own pool."""
        if not self._pools.others:
            return True
        return self._pools.pool_of_endpoint(endpoint) == self._pools.own

    def own_loads(
        self, service: str, engine: routing_config.EngineSpec
    ) -> list[pool_loads.EngineLoad]:
        """Return the load of the engines of the own pool, for a report.

        An engine that takes no requests, or fewer than it could, is left out.
        """
        now = clock.now_s()
        return [
            pool_loads.describe(
                endpoint.instance,
                engine,
                self._table.predict_load(endpoint.instance, engine, now),
            )
            for endpoint in self.own_engines(service)
            if not self._directory.is_paused(endpoint.instance)
            and not self._notices.is_restricted(endpoint)
        ]

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

    def _with_room(
        self,
        service: str,
        engine: routing_config.EngineSpec,
        excluded: frozenset[str],
        examined: int,
    ) -> list[tuple[endpoints.Endpoint, pool_loads.RemoteLoad]]:
        """Return engines of other pools that were reported to have room.

        :param examined: number of reports to examine, drawn at random
        """
        if not self._pools.others:
            return []
        listed = (
            self._directory.find_named(instance)
            for instance in _sample(self._loads.instances, examined)
        )
        usable = [
            endpoint
            for endpoint in listed
            if endpoint is not None
            and endpoint.service == service
            and endpoint.instance not in excluded
            and self._directory.is_available(endpoint.instance)
            and not self.is_own(endpoint)
        ]
        found = []
        for endpoint in self._notices.allowed(usable):
            load = self._loads.predict(endpoint.instance, engine)
            if load is not None and load.room > 0:
                found.append((endpoint, load))
        return found

    def _not_paused(
        self, listed: Sequence[endpoints.Endpoint]
    ) -> list[endpoints.Endpoint]:
        is_paused = self._directory.is_paused
        return [e for e in listed if not is_paused(e.instance)]


def _sample(items: list[_T], count: int) -> list[_T]:
    return items if len(items) <= count else random.sample(items, count)
