"""Choice of the engines that this node orders."""

import asyncio
from collections.abc import Callable

from fireflyspur.audit import audit_trail
from fireflyspur.clients import engine_client
from fireflyspur.clients import log_client
from fireflyspur.clients import stream_follower
from fireflyspur.generated import records
from fireflyspur.membership import rendezvous
from fireflyspur.orders import engine_orderer
from fireflyspur.orders import order_log
from fireflyspur.records import catalog as catalogs


class OrderManager:
    """Runs an orderer for each engine that this node owns.

    :param node: name of this node
    :param live_names: returns the names of the live members
    :param poll_wait_s: seconds for which a read of the log waits
    """

    def __init__(
        self,
        node: str,
        catalog: catalogs.Catalog,
        client: engine_client.EngineClient,
        log: log_client.LogClient,
        trail: audit_trail.AuditTrail,
        live_names: Callable[[], list[str]],
        poll_wait_s: float,
    ) -> None:
        self._node = node
        self._catalog = catalog
        self._client = client
        self._log = log
        self._trail = trail
        self._live_names = live_names
        self._state = order_log.OrderLog()
        self._follower = stream_follower.StreamFollower(
            log, order_log.ORDERS_STREAM, self._state.apply, poll_wait_s
        )
        self._orderers: dict[str, asyncio.Task[None]] = {}

    @property
    def owned(self) -> list[str]:
        """Engines that this node orders now."""
        return sorted(self._orderers)

    async def run(self) -> None:
        """Follow the stream and keep the orderers until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._follower.run())
                while True:
                    self._assign()
                    await asyncio.sleep(engine_orderer.COMPARE_PERIOD_S)
        finally:
            await self._stop(list(self._orderers))

    def _assign(self) -> None:
        names = self._live_names()
        owned = {
            engine
            for engine in self._catalog.specs(records.EngineSpec)
            if rendezvous.owner(f"orders/{engine}", names) == self._node
        }
        for engine in list(self._orderers):
            if engine not in owned:
                self._orderers.pop(engine).cancel()
        for engine in owned:
            task = self._orderers.get(engine)
            if task is None or task.done():
                self._orderers[engine] = asyncio.ensure_future(
                    self._orderer(engine).run()
                )

    def _orderer(self, engine: str) -> engine_orderer.EngineOrderer:
        return engine_orderer.EngineOrderer(
            engine,
            self._node,
            self._catalog,
            self._client,
            self._log,
            self._follower,
            self._state,
            self._trail,
        )

    async def _stop(self, engines: list[str]) -> None:
        tasks = [self._orderers.pop(engine) for engine in engines]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
