"""Reconciliation of one engine with the records."""

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

# Interval at which the observed state is compared with the desired one. It
# bounds how long an order of a previous lease holder stays in effect on an
# engine that ignores fencing tokens.
RECONCILE_INTERVAL_S = 1.0
# Above this number of engines, the interval grows in proportion: to 32 s with
# 800 engines, which takes 38 bytes per second of a node.
_ENGINES_AT_FULL_RATE = 25
# If a node was paused or cut off from the log, other nodes may have seen its
# slot expire, so a load starts only after a recent read of the tail.
_MAX_READ_AGE_S = 5.0
# Nodes learn of new weights with the next load report: they poll once a
# second, and reports lag by some tenths of a second.
_REPORT_DELAY_S = 3.0
# The only engine that serves a model keeps the old version for this long
# while another engine of the model is expected to return.
_MAX_POSTPONE_S = 60.0

_log = logs.log_for("orders")


@dataclasses.dataclass(frozen=True)
class ReconcilerContext:
    """Objects that the reconcilers of a node share.

    :param node: name of the node
    :param follower: applies the ``orders`` stream to ``state``
    :param writer: appends to the ``orders`` stream
    :param is_alive: whether a node is known to be alive
    :param is_served_elsewhere: whether, as far as the node knows, an engine
        other than the first argument serves the model
    :param points: points at which a test pauses the node
    """

    node: str
    catalog: catalogs.Catalog
    client: engine_client.EngineClient
    follower: stream_follower.StreamFollower
    writer: stream_writer.StreamWriter
    state: order_log.OrderLog
    trail: audit_trail.AuditTrail
    is_alive: Callable[[str], bool]
    is_served_elsewhere: Callable[[str, str], bool]
    points: pause_points.PausePoints


class EngineReconciler:
    """Brings one engine to the state that the records define.

    One order is in progress at a time. The reconciler need not be the only
    one: engines that check fencing tokens reject the older of two, and on
    the others the next comparison corrects the orders of the previous one.

    :param name: name of the engine
    :param context: objects that the reconcilers share
    """

    def __init__(self, name: str, context: ReconcilerContext) -> None:
        self._name = name
        self._context = context
        self._slot = load_slot.LoadSlot(
            name, context.state, context.writer, lambda: context.catalog.offset
        )
        self._lease = engine_lease.EngineLease(
            name,
            context.node,
            context.state,
            context.follower,
            context.writer,
            lambda: context.catalog.offset,
            context.is_alive,
        )
        self._may_be_loading = True
        self._loaded_at: float | None = None
        self._postponed_since: float | None = None
        self._last_event: tuple[str, ...] = ()

    async def run(self) -> None:
        """Reconcile the engine until cancelled."""
        try:
            while True:
                try:
                    await self.step()
                except exceptions.EngineUnavailableError:
                    _log.debug("Engine {} does not respond", self._name)
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
                await asyncio.sleep(self._reconcile_interval_s())
        finally:
            self.close()

    def close(self) -> None:
        """Withdraw a waiting intent; the next reconciler takes over a slot.

        The slot is released if the records no longer define the engine.
        """
        if self._spec() is None:
            self._slot.release()
        else:
            self._slot.withdraw()

    def _cancel_intent(self) -> None:
        """End this node's intent unless the engine may be loading under it."""
        if self._may_be_loading:
            self._slot.withdraw()
        else:
            self._slot.cancel()

    async def step(self) -> None:
        """Compare once and send at most one order.

        :raises EngineUnavailableError: if the engine does not respond
        :raises EngineRefusedError: if it refuses to report its state
        """
        spec = self._spec()
        if spec is None:
            return
        engine = engine_client.EngineAddress(
            self._name, spec.address, spec.port
        )
        observed = await self._observe(engine)
        order = self._next_order(spec, observed)
        if order is None:
            self._end_load(observed)
            return
        self._loaded_at = None
        names = engine_state.weights_to_fetch(order, observed)
        if names and not self._may_fetch(names):
            return
        lease = await self._lease.acquire()
        # The records may have changed in the meantime.
        if lease is None or order != self._next_order(spec, observed):
            return
        self._context.points.reach("before_order")
        self._may_be_loading = self._may_be_loading or bool(names)
        await self._send(engine, order, lease)

    def _reconcile_interval_s(self) -> float:
        engines = self._context.catalog.specs(records.EngineSpec)
        scale = max(1.0, len(engines) / _ENGINES_AT_FULL_RATE)
        # A load in progress is checked often, since it holds a slot.
        return RECONCILE_INTERVAL_S * (1.0 if self._slot.intent else scale)

    def _spec(self) -> records.EngineSpec | None:
        return self._context.catalog.specs(records.EngineSpec).get(self._name)

    async def _observe(
        self, engine: engine_client.EngineAddress
    ) -> engine_state.ObservedState:
        try:
            response = await self._context.client.fetch(engine, "/state")
        except exceptions.EngineUnavailableError:
            # An engine that may be loading keeps its slot until it expires: it
            # may continue to load while its connection is cut.
            self._cancel_intent()
            raise
        observed = engine_state.parse_state(response)
        self._may_be_loading = observed.loading is not None
        return observed

    def _next_order(
        self, spec: records.EngineSpec, observed: engine_state.ObservedState
    ) -> engine_state.Order | None:
        desired = engine_state.desired_state(self._context.catalog, spec)
        order = engine_state.next_order(desired, observed)
        if observed.is_leaving and isinstance(order, engine_state.SetModels):
            # The engine is about to stop, so a load would waste a slot.
            return None
        return order

    def _end_load(self, observed: engine_state.ObservedState) -> None:
        if observed.loading is not None:
            self._loaded_at = None
            self._slot.renew_if_due()
            return
        intent = self._slot.intent
        if intent is None or not intent.is_granted or observed.is_leaving:
            self._slot.release()
            return
        now = time.monotonic()
        self._loaded_at = self._loaded_at or now
        if now - self._loaded_at >= _REPORT_DELAY_S:
            self._slot.release()
            self._loaded_at = None

    def _may_fetch(self, names: dict[str, bool]) -> bool:
        """Whether a load of weights may start now."""
        if not self._context.follower.is_fresh(_MAX_READ_AGE_S):
            return False
        specs = self._context.catalog.specs(records.EngineSpec)
        if not self._may_displace(names, specs):
            return False
        return self._slot.request(
            engine_state.displacement_bounds(names, specs),
            self._context.catalog.fleet().concurrent_weight_loads,
        )

    def _may_displace(
        self, names: dict[str, bool], specs: dict[str, records.EngineSpec]
    ) -> bool:
        """Whether other engines serve the models that the load drops."""
        unserved = [
            name
            for name, is_displaced in names.items()
            if is_displaced
            and name.startswith("model/")
            and engine_state.count_engines(name, specs) > 1
            and not self._context.is_served_elsewhere(
                self._name, name.partition("/")[2]
            )
        ]
        now = time.monotonic()
        if not unserved:
            self._postponed_since = None
            return True
        self._postponed_since = self._postponed_since or now
        if now - self._postponed_since < _MAX_POSTPONE_S:
            self._cancel_intent()
            self._record_event(
                "load_postponed",
                f"no other engine serves {', '.join(unserved)}",
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
            await self._context.client.fetch(
                engine, "/orders", method="POST", body=body
            )
        except exceptions.EngineRefusedError as error:
            self._record_event(
                "order_refused", f"{order}: {error.reason}", lease
            )
            if error.reason == "stale_fencing":
                self._lease.back_off()
            return
        self._record_event(
            "ordered", f"{order}: observed state differs", lease
        )

    def _record_event(
        self, action: str, reason: str, lease: order_log.Lease | None = None
    ) -> None:
        # An order that is refused each second is recorded only once.
        offset = lease.offset if lease else None
        event = (action, reason, str(offset))
        if action != "ordered" and event == self._last_event:
            return
        self._last_event = event
        _log.info("Engine {}: {} {}", self._name, action, reason)
        self._context.trail.add(
            "orders", action, f"engine/{self._name}", reason, offset
        )
