"""Node of an experiment: real decisions, with updates in virtual time."""

from collections.abc import Callable

from fireflyspur.experiment import policies
from fireflyspur.experiment import virtual_time
from fireflyspur.gateway.endpoints import endpoint as endpoints
from fireflyspur.gateway.endpoints import endpoint_directory
from fireflyspur.gateway.endpoints import endpoint_notices
from fireflyspur.gateway.endpoints import rate_limits
from fireflyspur.gateway.scheduling import in_flight_reporter
from fireflyspur.gateway.scheduling import in_flight_table
from fireflyspur.generated import peer_updates_pb2 as peer_updates

# Time for which updates are collected, including the network latency.
_UPDATE_DELAY_S = 0.002
# The list of endpoints never counts as interrupted in an experiment.
_OUTAGE_S = 1e9


class _Outbox:
    """Collects updates and sends them after a delay."""

    def __init__(
        self,
        name: str,
        time: virtual_time.VirtualTime,
        send: Callable[[peer_updates.PeerUpdate], None],
    ) -> None:
        self._time = time
        self._send = send
        self._name = name
        self._draft = peer_updates.PeerUpdate(node=name)
        self._is_scheduled = False

    def drafts_for(
        self, endpoint: endpoints.Endpoint
    ) -> list[peer_updates.PeerUpdate]:
        """Return the next update to be sent; callers add entries to it."""
        if not self._is_scheduled:
            self._is_scheduled = True
            self._time.call_later(_UPDATE_DELAY_S, self._flush)
        return [self._draft]

    def _flush(self) -> None:
        self._is_scheduled = False
        update, self._draft = (
            self._draft,
            peer_updates.PeerUpdate(node=self._name),
        )
        self._send(update)


class NodeModel:
    """State and decisions of one node.

    :param policy: name of the policy
    :param send: sends an update to the other nodes
    """

    def __init__(
        self,
        name: str,
        policy: str,
        time: virtual_time.VirtualTime,
        send: Callable[["NodeModel", peer_updates.PeerUpdate], None],
    ) -> None:
        self.directory = endpoint_directory.EndpointDirectory(_OUTAGE_S, 0.0)
        self.table = in_flight_table.InFlightTable()
        outbox = _Outbox(name, time, lambda update: send(self, update))
        self.reporter = in_flight_reporter.InFlightReporter(
            name,
            self.table,
            outbox,
            endpoint_notices.EndpointNotices(
                rate_limits.RateLimits.unlimited()
            ),
        )
        self.policy = policies.build(policy, self.directory, self.table)

    def apply_update(self, update: peer_updates.PeerUpdate) -> None:
        """Apply an update that another node sent."""
        self.reporter.apply_update(update, is_restarted=False)
