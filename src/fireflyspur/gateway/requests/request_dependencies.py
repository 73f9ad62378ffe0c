"""Objects that all requests of a node share."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

from fireflyspur.gateway.common import byte_budget
from fireflyspur.gateway.common import messages
from fireflyspur.gateway.configuration import evacuation_check
from fireflyspur.gateway.endpoints import endpoint_directory
from fireflyspur.gateway.endpoints import endpoint_monitor
from fireflyspur.gateway.endpoints import endpoint_notices
from fireflyspur.gateway.endpoints import endpoint_pace
from fireflyspur.gateway.endpoints import part_quarantine
from fireflyspur.gateway.endpoints import quarantine
from fireflyspur.gateway.endpoints import reachability
from fireflyspur.gateway.handover import peer_choice
from fireflyspur.gateway.node import gateway_metrics
from fireflyspur.gateway.requests import admission as admissions
from fireflyspur.gateway.requests import request_plan
from fireflyspur.gateway.requests import request_timeouts
from fireflyspur.gateway.requests import retry_budget
from fireflyspur.gateway.scheduling import in_flight_reporter
from fireflyspur.gateway.scheduling import memory_reserver
from fireflyspur.gateway.scheduling import placement as placements
from fireflyspur.gateway.scheduling import region_filter


@dataclasses.dataclass(frozen=True)
class RequestDependencies:
    """Shared objects that requests are served with.

    :param node_name: name of this node
    :param peers: chooses nodes that requests are handed over to
    :param admission: lets requests wait for room on an engine
    :param is_draining: returns whether the node is stopping
    :param reachable: tells whether this node reaches endpoints
    :param bytes_held: limits the bytes that are held for responses
    :param timeouts: limits the time of each request
    :param is_removed: returns whether the node is stopping and callers
        should reach others
    :param exits_at_s: returns the clock time at which the process ends, or
        None until a stop begins
    :param wait_until_current: waits until the configuration and the endpoints
        are current again after this process was suspended
    :param evacuation_check: finds endpoints to which nothing may be sent
    """

    node_name: str
    peers: peer_choice.PeerChoice
    planner: request_plan.RequestPlanner
    codec: messages.Codec
    directory: endpoint_directory.EndpointDirectory
    in_flight: in_flight_reporter.InFlightReporter
    placer: placements.EndpointSelector
    admission: admissions.Admission
    region_filter: region_filter.RegionFilter
    retries: retry_budget.RetryBudget
    crashes: quarantine.Quarantine
    parts: part_quarantine.PartQuarantine
    notices: endpoint_notices.EndpointNotices
    paces: endpoint_pace.EndpointPaces
    memory: memory_reserver.MemoryReserver
    bytes_held: byte_budget.ByteBudget
    reachable: reachability.Reachability
    is_draining: Callable[[], bool]
    is_removed: Callable[[], bool]
    exits_at_s: Callable[[], float | None]
    timeouts: request_timeouts.RequestTimeouts
    wait_until_current: Callable[[], Awaitable[None]]
    evacuation_check: evacuation_check.EvacuationCheck
    monitor: endpoint_monitor.EndpointMonitor
    metrics: gateway_metrics.GatewayMetrics
