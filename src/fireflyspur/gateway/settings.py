"""Settings of the gateway."""

import dataclasses

from fireflyspur.gateway import address as addresses
from fireflyspur.gateway import memory_reserver
from fireflyspur.gateway import retry_budget


@dataclasses.dataclass(frozen=True)
class GatewaySettings:
    """Settings of one node.

    :param callers: address on which callers are served
    :param health: address on which the balancer asks whether the node is
        ready
    :param peers: address on which other nodes send their news
    :param metrics: address on which metrics are served; None for nowhere
    :param grace_s: time from the signal to stop until the process is killed
    :param drain_s: time after its notice in which a leaving endpoint still
        takes requests
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
