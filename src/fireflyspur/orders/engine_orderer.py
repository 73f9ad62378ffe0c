"""Orders to one engine."""

import asyncio
import time
from typing import Any
import uuid

from fireflyspur.audit import audit_trail
from fireflyspur.clients import engine_client
from fireflyspur.clients import exceptions
from fireflyspur.clients import log_client
from fireflyspur.clients import stream_follower
from fireflyspur.generated import records
from fireflyspur.observability import logs
from fireflyspur.orders import engine_state
from fireflyspur.orders import order_log
from fireflyspur.records import catalog as catalogs

# The state seen is compared with the state wanted this often, which bounds
# how long an order of a former orderer stays in effect on an engine that
# ignores fencing numbers.
COMPARE_PERIOD_S = 1.0
_READ_BACK_S = 5.0

_log = logs.log_for("orders")


class EngineOrderer:
    """Brings one engine to the state that the records want.

    One order is under way at a time. The orderer needs no certainty that it
    is the only one: engines that check fencing numbers refuse the older of
    two, and on the others the next comparison corrects what a former orderer
    did.

    :param name: name of the engine
    :param node: name of this node
    :param follower: follows the ``orders`` stream into ``state``
    """

    def __init__(
        self,
        name: str,
        node: str,
        catalog: catalogs.Catalog,
        client: engine_client.EngineClient,
        log: log_client.LogClient,
        follower: stream_follower.StreamFollower,
        state: order_log.OrderLog,
        trail: audit_trail.AuditTrail,
    ) -> None:
        self._name = name
        self._node = node
        self._catalog = catalog
        self._client = client
        self._log = log
        self._follower = follower
        self._state = state
        self._trail = trail
        self._lease: order_log.Lease | None = None
        self._slot = ""

    async def run(self) -> None:
        """Compare and order until cancelled."""
        try:
            while True:
                try:
                    await self.step()
                except exceptions.LogUnavailableError as error:
                    _log.info("No orders to {}: {}", self._name, error)
                except exceptions.EngineUnavailableError:
                    _log.debug("Engine {} does not answer", self._name)
                await asyncio.sleep(COMPARE_PERIOD_S)
        finally:
            if self._slot:
                await self._end_slot()

    async def step(self) -> None:
        """Compare once and send at most one order.

        :raises LogUnavailableError: if a lease or slot is needed and the log
            does not answer
        :raises EngineUnavailableError: if the engine does not answer
        """
        spec = self._catalog.specs(records.EngineSpec).get(self._name)
        if spec is None:
            return
        engine = engine_client.EngineAddress(
            self._name, spec.address, spec.port
        )
        seen = engine_state.observed(
            await self._client.fetch(engine, "/state")
        )
        wanted = engine_state.desired(self._catalog, spec)
        order = engine_state.next_order(wanted, seen)
        if order is None:
            if self._slot and seen.loading is None:
                await self._end_slot()
            return
        if engine_state.needs_weights(order, seen):
            if not await self._has_slot():
                return
        lease = await self._take_lease()
        if lease is not None:
            await self._send(engine, order, lease)

    async def _send(
        self,
        engine: engine_client.EngineAddress,
        order: engine_state.Order,
        lease: order_log.Lease,
    ) -> None:
        body = {"fencing": lease.offset, "order": engine_state.to_wire(order)}
        try:
            await self._client.fetch(
                engine, "/orders", method="POST", body=body
            )
        except exceptions.EngineRefusedError as error:
            self._note("order_refused", order, error.reason, lease)
            if error.reason == "stale_fencing":
                self._lease = None
            return
        self._note("ordered", order, "state seen differs", lease)

    async def _take_lease(self) -> order_log.Lease | None:
        """Return this node's lease when no later one is known.

        A later lease of another node means that it took itself for the
        orderer; this node takes a new one while it still is the owner.
        """
        current = self._state.lease(self._name)
        if self._lease is not None and current == self._lease:
            return self._lease
        uid = str(uuid.uuid4())
        await self._append(
            {
                "type": "lease",
                "uid": uid,
                "engine": self._name,
                "node": self._node,
            }
        )

        def is_read() -> bool:
            latest = self._state.lease(self._name)
            return latest is not None and latest.uid == uid

        if not await self._follower.read_until(is_read, _READ_BACK_S):
            return None
        self._lease = self._state.lease(self._name)
        return self._lease

    async def _has_slot(self) -> bool:
        if not self._slot:
            uid = str(uuid.uuid4())
            self._slot = uid
            await self._append(
                {"type": "load_intent", "uid": uid, "engine": self._name}
            )
            await self._follower.read_until(
                lambda: self._state.has_intent(uid), _READ_BACK_S
            )
        elif not self._state.has_intent(self._slot):
            # The intent expired, or never reached the log.
            self._slot = ""
            return False
        slots = self._catalog.fleet().concurrent_weight_loads
        return self._state.holds_slot(self._slot, slots, time.time())

    async def _end_slot(self) -> None:
        slot, self._slot = self._slot, ""
        try:
            await self._append(
                {"type": "load_end", "uid": str(uuid.uuid4()), "intent": slot}
            )
        except exceptions.LogUnavailableError:
            _log.info("Slot of {} runs out by itself", self._name)

    async def _append(self, value: dict[str, Any]) -> None:
        await self._log.append(order_log.ORDERS_STREAM, [value])

    def _note(
        self,
        action: str,
        order: engine_state.Order,
        reason: str,
        lease: order_log.Lease,
    ) -> None:
        _log.info("Engine {}: {} {}: {}", self._name, action, order, reason)
        self._trail.add(
            "orders",
            action,
            f"engine/{self._name}",
            f"{order}: {reason}",
            lease.offset,
        )
