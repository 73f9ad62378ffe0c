"""Reports of idle engines to other pools."""

import random

from fireflyspur.gateway.configuration import config_holder
from fireflyspur.gateway.configuration import reader_rank
from fireflyspur.gateway.fleet import peer_table
from fireflyspur.gateway.fleet import update_channel
from fireflyspur.gateway.scheduling import engine_candidates
from fireflyspur.generated import peer_updates_pb2 as peer_updates

# Kind of report for which one node of each pool is chosen.
_TOPIC = "idle"
# Engines in a report, which fit in a datagram.
_REPORTED_ENGINES = 32
# Other pools that get each report, so that the cost of a node doesn't grow
# with the number of pools.
_REPORTED_POOLS = 4


class IdleReporter:
    """Tells other pools which engines of the own pool are idle.

    :param name: name of this node
    :param holder: current configuration, which tells engines from others
    :param candidates: finds the idle engines
    """

    def __init__(
        self,
        name: str,
        holder: config_holder.ConfigHolder,
        candidates: engine_candidates.EngineCandidates,
        peers: peer_table.PeerTable,
        channel: update_channel.UpdateChannel,
    ) -> None:
        self._name = name
        self._holder = holder
        self._candidates = candidates
        self._peers = peers
        self._channel = channel

    def report(self) -> None:
        """Send a report, unless another node of the pool does."""
        pools = self._peers.pools.others
        if not pools or not self._is_reporter():
            return
        report = peer_updates.PeerUpdate(is_for_pool=True)
        report.idle.instances.extend(self._find_idle())
        for pool in random.sample(pools, min(_REPORTED_POOLS, len(pools))):
            for relay in self._peers.relays(pool)[:1]:
                self._channel.send_to(report, relay.address)

    def _is_reporter(self) -> bool:
        names = self._peers.live_names()
        return reader_rank.rank_of(self._name, names, _TOPIC) == 0

    def _find_idle(self) -> list[str]:
        table = self._holder.table
        if table is None:
            return []
        idle: list[str] = []
        for service in table.config.services.values():
            if service.engine is not None:
                idle += self._candidates.find_idle(
                    service.name, _REPORTED_ENGINES
                )
        return idle[:_REPORTED_ENGINES]
