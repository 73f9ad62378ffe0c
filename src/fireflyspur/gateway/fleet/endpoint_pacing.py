"""Pacing of endpoints, as the nodes of the fleet share it."""

from collections.abc import Iterable

from fireflyspur.gateway.configuration import config_holder
from fireflyspur.gateway.endpoints import cold_ceiling
from fireflyspur.gateway.endpoints import endpoint as endpoints
from fireflyspur.gateway.endpoints import endpoint_directory
from fireflyspur.gateway.endpoints import endpoint_pace
from fireflyspur.gateway.endpoints import slow_starts
from fireflyspur.gateway.fleet import peer_table
from fireflyspur.generated import peer_updates_pb2 as peer_updates


class EndpointPacing:
    """Holds the ceiling of cold endpoints and the paces of all.

    :param name: name of this node
    :param holder: current configuration of this node
    :param bounds: returns the bounds of requests to cold endpoints
    :param directory: endpoints that this node knows
    :param peers: the other nodes
    :param outbox: sends changes to the nodes that share an endpoint
    """

    def __init__(
        self,
        name: str,
        holder: config_holder.ConfigHolder,
        bounds: cold_ceiling.BoundsReader,
        directory: endpoint_directory.EndpointDirectory,
        peers: peer_table.PeerTable,
        outbox: endpoint_pace.UpdateOutbox,
    ) -> None:
        self._peers = peers
        self._ceiling = cold_ceiling.ColdCeiling(
            holder.find_service,
            bounds,
            directory.find_named,
            self._is_own,
            self._pool_size,
            name,
        )
        starts = slow_starts.SlowStarts(
            directory, self._ceiling, lambda: len(peers.live_names()) > 1
        )
        self._paces = endpoint_pace.EndpointPaces(
            outbox,
            directory.find_named,
            starts.find,
            self._is_own,
            directory.record_success,
        )

    @property
    def ceiling(self) -> cold_ceiling.ColdCeiling:
        """Limits of the requests to cold endpoints."""
        return self._ceiling

    @property
    def paces(self) -> endpoint_pace.EndpointPaces:
        """Paces of endpoints that start, recover, are cold or late."""
        return self._paces

    def keep_only(self, instances: Iterable[str]) -> None:
        """Forget endpoints that are gone, and what says little by now."""
        self._paces.keep_only(instances)

    def add_state(self, update: peer_updates.PeerUpdate) -> None:
        """Add the paces in force to a heartbeat."""
        if not update.paces:
            update.paces.extend(self._paces.describe())

    def apply_update(
        self, update: peer_updates.PeerUpdate, delay_s: float
    ) -> None:
        """Apply the paces that another node found."""
        for pace in update.paces:
            self._paces.update_from_peer(pace, delay_s)

    def _is_own(self, endpoint: endpoints.Endpoint) -> bool:
        pools = self._peers.pools
        return pools.pool_of_endpoint(endpoint) == pools.own

    def _pool_size(self) -> cold_ceiling.PoolSize:
        pools = 1 + len(self._peers.pools.others)
        return cold_ceiling.PoolSize(self._peers.possible_size(), pools)
