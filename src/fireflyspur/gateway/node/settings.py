"""Settings of the gateway."""

import dataclasses

from fireflyspur.gateway.common import address as addresses
from fireflyspur.gateway.configuration import regions as region_maps
from fireflyspur.gateway.endpoints import cold_ceiling
from fireflyspur.gateway.requests import retry_budget
from fireflyspur.gateway.scheduling import memory_reserver

# What is held is copied on its way, and the program itself needs the rest.
_HELD_SHARE = 0.2


@dataclasses.dataclass(frozen=True)
class GatewaySettings:
    """Settings of one node.

    :param callers: address on which callers are served
    :param health: address of the health check, which the balancer uses
    :param peers: address on which updates from other nodes are received
    :param metrics: address on which metrics are served, or None to disable
        them
    :param grace_s: time from the stop signal until the process is killed
    :param drain_s: time for which a leaving endpoint still accepts requests
        after it has announced that it leaves
    :param heartbeat_s: interval at which endpoints report
    :param memory_bytes: memory that the process may use, or None if it is
        not limited
    :param evacuate_s: time within which the evacuation of a failure domain
        is in force, or None if evacuations are not used
    :param outer_s: additional time for nodes that the store refuses
    :param cold: bounds of the requests to cold endpoints
    :param regions: regions of this node and of the failure domains
    """

    node_name: str
    failure_domain: str
    callers: addresses.Address
    health: addresses.Address
    peers: addresses.Address
    metrics: addresses.Address | None
    store: addresses.Address
    grace_s: float
    drain_s: float
    config_apply_s: float
    heartbeat_s: float
    retries: retry_budget.RetryLimits
    memory: memory_reserver.MemoryLimits
    memory_bytes: int | None = None
    evacuate_s: float | None = None
    outer_s: float = 6.0
    cold: cold_ceiling.ColdBounds = cold_ceiling.ColdBounds()
    regions: region_maps.RegionMap = region_maps.RegionMap()

    @property
    def max_held_bytes(self) -> float:
        """Bytes that may be held for requests and responses."""
        if self.memory_bytes is None:
            return float("inf")
        return _HELD_SHARE * self.memory_bytes
