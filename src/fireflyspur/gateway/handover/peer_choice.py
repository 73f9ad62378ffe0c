"""Choice of the nodes that a request may be handed over to."""

from collections.abc import Callable
import random

from fireflyspur.gateway.common import clock
from fireflyspur.gateway.configuration import regions as region_maps
from fireflyspur.gateway.fleet import peer_table
from fireflyspur.gateway.requests import http_exchange

# Nodes that one request is offered to at most.
_MAX_OFFERS = 3
# Time for which a node is avoided that did not take a request.
_AVOIDED_S = 1.0
# A reachable node accepts a connection within a few round trips.
_CONNECT_TIMEOUT_S = 0.25


class PeerChoice:
    """Spreads requests over the nodes that reach endpoints.

    :param peers: the other nodes
    :param regions: returns the current regions
    """

    def __init__(
        self,
        peers: peer_table.PeerTable,
        regions: Callable[[], region_maps.RegionMap],
    ) -> None:
        self._peers = peers
        self._regions = regions
        self._avoided_until_s: dict[str, float] = {}

    def choose(self, allowed: frozenset[str] | None) -> list[peer_table.Peer]:
        """Return the nodes to offer a request to, in order.

        :param allowed: regions of the request, or None for any
        """
        now = clock.now_s()
        self._avoided_until_s = {
            name: until_s
            for name, until_s in self._avoided_until_s.items()
            if until_s > now
        }
        regions = self._regions()
        carriers = self._peers.carriers(
            _MAX_OFFERS, lambda domain: regions.may_carry(allowed, domain)
        )
        random.shuffle(carriers)
        preferred = [
            peer for peer in carriers if peer.name not in self._avoided_until_s
        ]
        return preferred[:_MAX_OFFERS] or carriers[:1]

    def avoid(self, name: str) -> None:
        """Avoid a node for a while that did not take a request."""
        self._avoided_until_s[name] = clock.now_s() + _AVOIDED_S

    def is_lost(self, peer: peer_table.Peer) -> bool:
        """Return whether a node was heard of, but not lately."""
        return self._peers.is_lost(peer.name)

    async def connect(
        self, peer: peer_table.Peer, on_silence: http_exchange.SilenceCallback
    ) -> http_exchange.HttpExchange:
        """Connect to a node.

        :raises EndpointUnreachableError: if it cannot connect in time
        """
        return await http_exchange.HttpExchange.connect(
            peer.address, _CONNECT_TIMEOUT_S, on_silence
        )
