"""Endpoints in the regions that a request is allowed in."""

from collections.abc import Callable
from collections.abc import Sequence

from fireflyspur.gateway.configuration import regions as region_maps
from fireflyspur.gateway.endpoints import endpoint as endpoints
from fireflyspur.gateway.endpoints import endpoint_directory


class RegionFilter:
    """Finds the endpoints of a service that a request may reach.

    :param directory: the known endpoints
    :param regions: returns the current regions
    """

    def __init__(
        self,
        directory: endpoint_directory.EndpointDirectory,
        regions: Callable[[], region_maps.RegionMap],
    ) -> None:
        self._directory = directory
        self._regions = regions

    def ready(
        self, service: str, allowed: frozenset[str] | None
    ) -> Sequence[endpoints.Endpoint]:
        """Return the endpoints that accept requests and are allowed.

        :param allowed: regions of the request, or None for any
        """
        listed = self._directory.ready(service)
        if allowed is None:
            return listed
        regions = self._regions()
        return [e for e in listed if regions.allows(allowed, e.failure_domain)]

    def outside(
        self, service: str, allowed: frozenset[str] | None
    ) -> list[str]:
        """Return the instances that accept requests and are not allowed.

        :param allowed: regions of the request, or None for any
        """
        if allowed is None:
            return []
        regions = self._regions()
        return [
            endpoint.instance
            for endpoint in self._directory.ready(service)
            if not regions.allows(allowed, endpoint.failure_domain)
        ]
