"""Reports of the load of the own pool's engines to other pools."""

import asyncio
import random

from fireflyspur.gateway.configuration import config_holder
from fireflyspur.gateway.configuration import reader_rank
from fireflyspur.gateway.fleet import peer_table
from fireflyspur.gateway.fleet import update_channel
from fireflyspur.gateway.scheduling import engine_candidates
from fireflyspur.gateway.scheduling import pool_load_report

# Kind of report for which one node of each pool is chosen.
_TOPIC = "idle"
# Interval of checks whether the pool has run short of room.
_CHECK_S = 0.2


class PoolLoadReporter:
    """Tells other pools which engines of the own pool have room.

    One node of a pool reports for all of them. Each report goes to one node
    of another pool, which forwards it to its own.

    :param name: name of this node
    :param holder: current configuration, which tells engines from others
    :param candidates: finds the engines of the own pool
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
        self._report = pool_load_report.PoolLoadReport()

    async def run(self) -> None:
        """Send reports until cancelled."""
        while True:
            await asyncio.sleep(_CHECK_S)
            self.report()

    def report(self) -> None:
        """Send the reports that are due, unless another node does."""
        pools = self._peers.pools.others
        if not pools or not self._is_reporter():
            return
        engines = self._own_engines()
        count = self._report.count_due(engines, len(pools))
        for pool in random.sample(pools, count):
            for relay in self._peers.relays(pool)[:1]:
                report = self._report.compose(engines)
                self._channel.send_to(report, relay.address)

    def _is_reporter(self) -> bool:
        names = self._peers.live_names()
        return reader_rank.rank_of(self._name, names, _TOPIC) == 0

    def _own_engines(self) -> list[pool_load_report.ReportedEngine]:
        table = self._holder.table
        if table is None:
            return []
        return [
            pool_load_report.ReportedEngine(
                load, service.engine.slots - load.in_flight
            )
            for service in table.config.services.values()
            if service.engine is not None
            for load in self._candidates.own_loads(
                service.name, service.engine
            )
        ]
