"""Registration of a node, by which the other nodes find it."""

import asyncio
from collections.abc import Callable
import dataclasses
import random

from fireflyspur.errors import exceptions as base_exceptions
from fireflyspur.gateway.common import registry as registries
from fireflyspur.gateway.fleet import peer_table
from fireflyspur.observability import logs

# Pause after a failed registration, which limits the load on a failing store
# to two calls a second.
_RETRY_S = 0.5
# Interval at which the epoch of the store is compared.
_CHECK_S = 1.0
# After a restore of the store, the nodes register again within this time, so
# that not all of them call at once.
_SPREAD_S = 1.0

_log = logs.log_for("peers")


class NodeRegistration:
    """Keeps a node registered.

    A store that comes back from an older copy may have lost the entry. Nodes
    that register meanwhile find each other: of two nodes, the later one reads
    the entry of the other.

    :param name: name of the node
    :param entry: what it registers
    :param registry: registry in which nodes find one another
    :param peers: gets the entries of the other nodes
    :param store_epoch: returns the epoch of the store as far as it is known
    """

    def __init__(
        self,
        name: str,
        entry: registries.NodeEntry,
        registry: registries.Registry,
        peers: peer_table.PeerTable,
        store_epoch: Callable[[], int],
    ) -> None:
        self._name = name
        self._entry = entry
        self._registry = registry
        self._peers = peers
        self._store_epoch = store_epoch

    async def run(self, on_registered: Callable[[], None]) -> None:
        """Register the node, and again after each restore of the store.

        :param on_registered: called after the first registration
        """
        epoch = await self._register()
        on_registered()
        while True:
            await asyncio.sleep(_CHECK_S)
            if self._store_epoch() > epoch:
                await asyncio.sleep(random.uniform(0, _SPREAD_S))
                epoch = await self._register()

    async def _register(self) -> int:
        """Register the node and read the entries of all others.

        :returns: epoch of the store
        """
        while True:
            try:
                epoch = await self._registry.register_node(
                    self._name, self._entry
                )
                nodes = await self._registry.read_nodes()
                break
            except base_exceptions.FireflyspurError as error:
                _log.warning("Node not registered", reason=str(error))
                await asyncio.sleep(_RETRY_S)
        self._peers.add_nodes(nodes)
        _log.info(
            "Node registered",
            nodes=len(nodes),
            pool=dataclasses.astuple(self._peers.pools.own),
            epoch=epoch,
        )
        return epoch
