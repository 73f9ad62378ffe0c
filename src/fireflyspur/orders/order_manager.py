"""Reconcilers of the engines that this node owns."""

import asyncio
from collections.abc import Callable

from fireflyspur.audit import audit_trail
from fireflyspur.claims import pause_points
from fireflyspur.clients import engine_client
from fireflyspur.clients import log_client
from fireflyspur.clients import stream_follower
from fireflyspur.clients import stream_writer
from fireflyspur.generated import records
from fireflyspur.membership import owner_cache
from fireflyspur.observability import logs
from fireflyspur.orders import engine_reconciler
from fireflyspur.orders import order_log
from fireflyspur.records import catalog as catalogs

_log = logs.log_for("orders")


class OrderManager:
    """Runs a reconciler for each engine that this node owns.

    :param node: name of this node
    :param live_names: returns the names of the live members
    :param poll_wait_s: seconds for which a read of the log waits
    :param is_served_elsewhere: as in
        :class:`~fireflyspur.orders.engine_reconciler.ReconcilerContext`
    :param points: points at which a test pauses the node
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
        is_served_elsewhere: Callable[[str, str], bool],
        points: pause_points.PausePoints,
    ) -> None:
        self._node = node
        self._catalog = catalog
        self._live_names = live_names
        self._state = order_log.OrderLog()
        self._writer = stream_writer.StreamWriter(log, order_log.ORDERS_STREAM)
        self._follower = stream_follower.StreamFollower(
            log, order_log.ORDERS_STREAM, self._apply, poll_wait_s, "orders"
        )
        self._context = engine_reconciler.ReconcilerContext(
            node,
            catalog,
            client,
            self._follower,
            self._writer,
            self._state,
            trail,
            lambda name: name in live_names(),
            is_served_elsewhere,
            points,
        )
        self._owners = owner_cache.OwnerCache()
        self._tasks: dict[str, asyncio.Task[None]] = {}

    @property
    def owned_engines(self) -> list[str]:
        """Names of the engines that this node currently owns."""
        return sorted(self._tasks)

    async def run(self) -> None:
        """Follow the stream and run the reconcilers until cancelled."""
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._follower.run())
                group.create_task(self._writer.run())
                while True:
                    # The leases and slots of other nodes must be known first.
                    if self._follower.is_caught_up:
                        await self._assign()
                    await asyncio.sleep(engine_reconciler.RECONCILE_INTERVAL_S)
        finally:
            await self._stop(list(self._tasks))
            await self._writer.close()

    async def _assign(self) -> None:
        self._owners.set_members(self._live_names())
        owned = {
            engine
            for engine in self._catalog.specs(records.EngineSpec)
            if self._owners.owner(f"orders/{engine}") == self._node
        }
        await self._stop([e for e in self._tasks if e not in owned])
        for engine in owned:
            task = self._tasks.get(engine)
            if task is None or task.done():
                if task and not task.cancelled() and task.exception():
                    _log.error(
                        "Reconciler of engine {} failed: {}",
                        engine,
                        task.exception(),
                    )
                self._tasks[engine] = asyncio.ensure_future(
                    engine_reconciler.EngineReconciler(
                        engine, self._context
                    ).run()
                )

    def _apply(self, record: log_client.LogRecord) -> None:
        self._state.apply(record)
        if isinstance(record.value, dict):
            self._writer.confirm(str(record.value.get("uid")))

    async def _stop(self, engines: list[str]) -> None:
        tasks = [self._tasks.pop(engine) for engine in engines]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
