"""Settings of the gateway."""

import dataclasses

from fireflyspur.gateway.common import address as addresses
from fireflyspur.gateway.requests import retry_budget
from fireflyspur.gateway.scheduling import memory_reserver


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
