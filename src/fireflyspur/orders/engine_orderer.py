"""Orders to one engine."""

import asyncio
from collections.abc import Callable
import dataclasses
import time

import msgspec

from fireflyspur.audit import audit_trail
from fireflyspur.claims import pause_points
from fireflyspur.clients import engine_client
from fireflyspur.clients import exceptions
from fireflyspur.clients import stream_follower
from fireflyspur.clients import stream_writer
from fireflyspur.generated import records
from fireflyspur.observability import logs
from fireflyspur.orders import engine_lease
from fireflyspur.orders import engine_state
from fireflyspur.orders import load_slot
from fireflyspur.orders import order_log
from fireflyspur.records import catalog as catalogs

# The state seen is compared with the state wanted this often, which bounds
# how long an order of a former orderer stays in effect on an engine that
# ignores fencing numbers.
COMPARE_PERIOD_S = 1.0
# In a fleet with more engines than this, comparisons are rarer in proportion:
# 32 s apart with 800 engines, which takes 38 bytes a second of a node.
_ENGINES_AT_FULL_RATE = 25
# A node that was cut off from the log or paused may hold a slot that others
# have seen expire, so a load starts only after a recent read of the tail.
_FRESH_S = 5.0
# The nodes know of new weights once they have a new load report: they ask
# once a second, and reports lag by some tenths of a second.
_SETTLE_S = 3.0
# The only engine that serves a model keeps the old version for this long
# while another engine of the model is expected back.
_WAIT_FOR_OTHER_S = 60.0

_log = logs.log_for("orders")


@dataclasses.dataclass(frozen=True)
class OrderParts:
    """What the orderers of a node share.

    :param node: name of the node
    :param follower: follows the ``orders`` stream into ``state``
    :param writer: appends to the ``orders`` stream
    :param is_live: whether a node is known to be alive
    :param is_served_elsewhere: whether, as far as the node knows, an engine
        other than the first argument serves the model
    :param points: points at which a test stops the node
    """

    node: str
    catalog: catalogs.Catalog
    client: engine_client.EngineClient
    follower: stream_follower.StreamFollower
    writer: stream_writer.StreamWriter
    state: order_log.OrderLog
    trail: audit_trail.AuditTrail
    is_live: Callable[[str], bool]
    is_served_elsewhere: Callable[[str, str], bool]
    points: pause_points.PausePoints


class EngineOrderer:
    """Brings one engine to the state that the records want.

    One order is under way at a time. The orderer needs no certainty that it
    is the only one: engines that check fencing numbers refuse the older of
    two, and on the others the next comparison corrects what a former orderer
    did.

    :param name: name of the engine
    :param parts: what the orderers share
    """

    def __init__(self, name: str, parts: OrderParts) -> None:
        self._name = name
        self._parts = parts
        self._slot = load_slot.LoadSlot(
            name, parts.state, parts.writer, lambda: parts.catalog.offset
        )
        self._lease = engine_lease.EngineLease(
            name,
            parts.node,
            parts.state,
            parts.follower,
            parts.writer,
            lambda: parts.catalog.offset,
            parts.is_live,
        )
        self._may_load = True
        self._loaded_at: float | None = None
        self._waits_since: float | None = None
        self._noted: tuple[str, ...] = ()

    async def run(self) -> None:
        """Compare and order until cancelled."""
        try:
            while True:
                try:
                    await self.step()
                except exceptions.EngineUnavailableError:
                    _log.debug("Engine {} does not answer", self._name)
                except (
                    exceptions.EngineRefusedError,
                    msgspec.MsgspecError,
                    TypeError,
                    ValueError,
                ) as error:
                    _log.warning(
                        "State of engine {} cannot be read: {}",
                        self._name,
                        error,
                    )
                await asyncio.sleep(self._compare_period_s())
        finally:
            self.close()

    def close(self) -> None:
        """Give up the place in the queue; the next orderer gets the slot."""
        if self._spec() is None:
            self._slot.release()
        else:
            self._slot.withdraw()

    def _give_up_slot(self) -> None:
        """Free the slot, unless the engine may be loading under it."""
        if self._may_load:
            self._slot.withdraw()
        else:
            self._slot.give_up()

    async def step(self) -> None:
        """Compare once and send at most one order.

        :raises EngineUnavailableError: if the engine does not answer
        :raises EngineRefusedError: if it does not tell its state
        """
        spec = self._spec()
        if spec is None:
            return
        engine = engine_client.EngineAddress(
            self._name, spec.address, spec.port
        )
        seen = await self._observe(engine)
        order = self._next_order(spec, seen)
        if order is None:
            self._end_load(seen)
            return
        self._loaded_at = None
        names = engine_state.missing(order, seen)
        if names and not self._may_fetch(names):
            return
        lease = await self._lease.acquire()
        # The operators may have changed their mind meanwhile.
        if lease is None or order != self._next_order(spec, seen):
            return
        self._parts.points.reach("before_order")
        self._may_load = self._may_load or bool(names)
        await self._send(engine, order, lease)

    def _compare_period_s(self) -> float:
        engines = self._parts.catalog.specs(records.EngineSpec)
        scale = max(1.0, len(engines) / _ENGINES_AT_FULL_RATE)
        # A load in progress is watched closely, since it holds a slot.
        return COMPARE_PERIOD_S * (1.0 if self._slot.intent else scale)

    def _spec(self) -> records.EngineSpec | None:
        return self._parts.catalog.specs(records.EngineSpec).get(self._name)

    async def _observe(
        self, engine: engine_client.EngineAddress
    ) -> engine_state.ObservedState:
        try:
            answer = await self._parts.client.fetch(engine, "/state")
        except exceptions.EngineUnavailableError:
            # An engine that may be loading keeps its slot until it expires;
            # its connection may be cut while it goes on.
            self._give_up_slot()
            raise
        seen = engine_state.observed(answer)
        self._may_load = seen.loading is not None
        return seen

    def _next_order(
        self, spec: records.EngineSpec, seen: engine_state.ObservedState
    ) -> engine_state.Order | None:
        wanted = engine_state.desired(self._parts.catalog, spec)
        order = engine_state.next_order(wanted, seen)
        if seen.is_leaving and isinstance(order, engine_state.SetModels):
            # It is about to stop, so a load would waste a slot.
            return None
        return order

    def _end_load(self, seen: engine_state.ObservedState) -> None:
        if seen.loading is not None:
            self._loaded_at = None
            self._slot.keep()
            return
        intent = self._slot.intent
        if intent is None or not intent.is_granted or seen.is_leaving:
            self._slot.release()
            return
        now = time.monotonic()
        self._loaded_at = self._loaded_at or now
        if now - self._loaded_at >= _SETTLE_S:
            self._slot.release()
            self._loaded_at = None

    def _may_fetch(self, names: dict[str, bool]) -> bool:
        """Whether a load of weights may start now."""
        if not self._parts.follower.is_fresh(_FRESH_S):
            return False
        specs = self._parts.catalog.specs(records.EngineSpec)
        if not self._is_spared(names, specs):
            return False
        return self._slot.request(
            engine_state.displacement_bounds(names, specs),
            self._parts.catalog.fleet().concurrent_weight_loads,
        )

    def _is_spared(
        self, names: dict[str, bool], specs: dict[str, records.EngineSpec]
    ) -> bool:
        """Whether the models that the load drops have another engine."""
        alone = [
            name
            for name, drops in names.items()
            if drops
            and name.startswith("model/")
            and engine_state.engines_with(name, specs) > 1
            and not self._parts.is_served_elsewhere(
                self._name, name.partition("/")[2]
            )
        ]
        now = time.monotonic()
        if not alone:
            self._waits_since = None
            return True
        self._waits_since = self._waits_since or now
        if now - self._waits_since < _WAIT_FOR_OTHER_S:
            self._give_up_slot()
            self._note(
                "load_postponed", f"no other engine serves {', '.join(alone)}"
            )
            return False
        return True

    async def _send(
        self,
        engine: engine_client.EngineAddress,
        order: engine_state.Order,
        lease: order_log.Lease,
    ) -> None:
        body = {"fencing": lease.offset, "order": engine_state.to_wire(order)}
        try:
            await self._parts.client.fetch(
                engine, "/orders", method="POST", body=body
            )
        except exceptions.EngineRefusedError as error:
            self._note("order_refused", f"{order}: {error.reason}", lease)
            if error.reason == "stale_fencing":
                self._lease.give_up()
            return
        self._note("ordered", f"{order}: state seen differs", lease)

    def _note(
        self, action: str, reason: str, lease: order_log.Lease | None = None
    ) -> None:
        # An order that is refused again each second is noted once.
        offset = lease.offset if lease else None
        noted = (action, reason, str(offset))
        if action != "ordered" and noted == self._noted:
            return
        self._noted = noted
        _log.info("Engine {}: {} {}", self._name, action, reason)
        self._parts.trail.add(
            "orders", action, f"engine/{self._name}", reason, offset
        )
