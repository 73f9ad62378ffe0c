"""Registration of a node, by which the other nodes find it."""

import asyncio
from collections.abc import Callable
import dataclasses
import random

from fireflyspur.errors import exceptions as base_exceptions
from fireflyspur.gateway.common import registry as registries
from fireflyspur.gateway.configuration import read_schedule
from fireflyspur.gateway.fleet import peer_table
from fireflyspur.observability import logs

# Interval at which a wait after a failed registration is reconsidered, as the
# store may have answered other calls.
_REVIEW_S = 0.2
# Interval at which the epoch of the store is compared.
_CHECK_S = 1.0
# After a restore of the store, the nodes register again within this time, or
# a longer one in a large fleet, so that not all of them call at once.
_SPREAD_S = 1.0
_REGISTRATIONS_PER_S = 70.0
_TOPIC = "nodes"

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
    :param schedule: spreads the calls during outages
    :param store_epoch: returns the epoch of the store as far as it is known
    """

    def __init__(
        self,
        name: str,
        entry: registries.NodeEntry,
        registry: registries.Registry,
        peers: peer_table.PeerTable,
        schedule: read_schedule.ReadSchedule,
        store_epoch: Callable[[], int],
    ) -> None:
        self._name = name
        self._entry = entry
        self._registry = registry
        self._peers = peers
        self._schedule = schedule
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
                spread_s = self._peers.fleet_size() / _REGISTRATIONS_PER_S
                spread_s = max(_SPREAD_S, spread_s)
                await asyncio.sleep(random.uniform(0, spread_s))
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
                if not self._schedule.failures(_TOPIC):
                    _log.warning("Node not registered", reason=str(error))
                await self._wait_for_retry()
        self._schedule.record_success(_TOPIC)
        self._peers.add_nodes(nodes)
        _log.info(
            "Node registered",
            nodes=len(nodes),
            pool=dataclasses.astuple(self._peers.pools.own),
            epoch=epoch,
        )
        return epoch

    async def _wait_for_retry(self) -> None:
        """Wait after a failure, or until the store answers other calls."""
        self._schedule.record_failure(
            _TOPIC, self._peers.connected_nodes(), is_own=True
        )
        while (wait_s := self._schedule.retry_wait_s(_TOPIC)) > 0:
            await asyncio.sleep(min(wait_s, _REVIEW_S))
