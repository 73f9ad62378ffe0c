"""Communication of a node with other nodes."""

import asyncio
from collections.abc import Coroutine
import contextlib
import dataclasses
import time
from typing import Any

from tornado import httpclient

from fireflyspur.audit import audit_trail
from fireflyspur.clients import log_client
from fireflyspur.clients import vm_list_client
from fireflyspur.generated import settings
from fireflyspur.membership import catalog_exchange
from fireflyspur.membership import freshness_monitor
from fireflyspur.membership import gossiper as gossipers
from fireflyspur.membership import member
from fireflyspur.membership import member_table
from fireflyspur.membership import peer_client
from fireflyspur.membership import peer_server
from fireflyspur.membership import update_bus
from fireflyspur.membership import urgent_update as urgent
from fireflyspur.membership import vm_list_watcher
from fireflyspur.records import catalog_follower
from fireflyspur.records import snapshot_writer
from fireflyspur.routing import engine_view
from fireflyspur.routing import leaving_endpoints

_FRESHNESS_CHECK_S = 0.5


class MembershipParts:
    """Builds and runs membership, updates, freshness and snapshots.

    :param config: the node's settings
    :param incarnation: start time of the process in milliseconds
    :param follower: keeps the catalog up to date
    :param log: client of the log
    :param http: the shared HTTP client
    :param view: tracks the endpoints that are leaving
    :param trail: records the node's actions
    """

    def __init__(
        self,
        config: settings.NodeSettings,
        incarnation: int,
        follower: catalog_follower.CatalogFollower,
        log: log_client.LogClient,
        http: httpclient.AsyncHTTPClient,
        view: engine_view.EngineView,
        trail: audit_trail.AuditTrail,
    ) -> None:
        self._config = config
        self._trail = trail
        self._view = view
        self._table = member_table.MemberTable(
            member.Member(
                config.node.name,
                config.node.address,
                config.node.peer_port,
                config.node.failure_domain,
                incarnation,
            )
        )
        self._client = peer_client.PeerClient()
        self._bus = update_bus.UpdateBus(self._table, self._client)
        self._gossiper = gossipers.Gossiper(
            self._table,
            self._client,
            lambda: self._freshness.heartbeat(),
            config.membership.period_s,
        )
        self._freshness = freshness_monitor.FreshnessMonitor(
            follower,
            self._table,
            self._gossiper,
            trail,
            config.membership.staleness_bound_s,
        )
        self._exchange = catalog_exchange.CatalogExchange(
            follower,
            self._client,
            trail,
            lambda: self._freshness.age_s,
            self._freshness.confirm,
        )
        self._server = peer_server.PeerServer(
            self._gossiper, self._bus, self._exchange.read
        )
        self._watcher = vm_list_watcher.VmListWatcher(
            vm_list_client.VmListClient(http, config.vm_list.url),
            self._table,
            view,
            self._bus,
            trail,
            self._freshness.remove_unlisted,
            config.vm_list.poll_interval_s,
        )
        self._snapshots = snapshot_writer.SnapshotWriter(
            log, follower, self._table.live_names, config.node.name, trail
        )
        self._subscribe()

    @property
    def table(self) -> member_table.MemberTable:
        """Known members."""
        return self._table

    @property
    def bus(self) -> update_bus.UpdateBus:
        """Broadcasts urgent updates."""
        return self._bus

    @property
    def gossiper(self) -> gossipers.Gossiper:
        """Exchanges gossip with other nodes."""
        return self._gossiper

    @property
    def freshness(self) -> freshness_monitor.FreshnessMonitor:
        """Checks whether the configuration may be stale."""
        return self._freshness

    @property
    def client(self) -> peer_client.PeerClient:
        """Calls other nodes."""
        return self._client

    @property
    def server(self) -> peer_server.PeerServer:
        """Serves calls of other nodes."""
        return self._server

    async def start(self, stack: contextlib.AsyncExitStack) -> int:
        """Listen and run all parts; closing the stack stops them.

        :returns: the peer port
        """
        node = self._config.node
        port = await self._server.start(node.address, node.peer_port)
        self._table.set_own_port(port)
        stack.push_async_callback(self._client.close)
        stack.push_async_callback(self._server.close)
        stack.push_async_callback(self._bus.close)
        # The first exchange needs members from the VM list.
        await self._watcher.read_once()
        for coroutine in (
            self._gossiper.run(),
            self._watcher.run(),
            self._exchange.run(),
            self._snapshots.run(),
            self._watch_freshness(),
        ):
            _start_task(stack, coroutine)
        return port

    def announce_leaving(self) -> None:
        """Announce to the members that this node is about to stop."""
        self._change_own_state(member.MemberState.LEAVING)

    async def announce_stopped(self) -> None:
        """Announce to the members that this node serves no more requests."""
        # Without this flush, the update DEAD may overtake the update LEAVING
        # when the node drains immediately.
        await self._bus.flush()
        self._change_own_state(member.MemberState.DEAD)
        await self._bus.flush()

    def _change_own_state(self, state: member.MemberState) -> None:
        self._table.set_own_state(state)
        self._bus.publish(urgent.MemberUpdate(self._table.own))
        self._trail.add(
            "members",
            "announced",
            f"{self._table.own.name} {state.name}",
            "the node was asked to stop",
        )

    def report_service_leaving(
        self, service: str, address: str, port: int
    ) -> None:
        """Mark a service's endpoint as leaving and broadcast it.

        The endpoint refused a request because it is leaving.
        """
        if self._view.is_leaving(address, port):
            return
        self._view.mark_leaving(
            address, port, leaving_endpoints.Source.ENDPOINT
        )
        self._trail.add(
            "services",
            "marked_leaving",
            service,
            "the endpoint reported that it is leaving",
        )
        self._bus.publish(
            urgent.EndpointLeaving("service", service, address, port)
        )

    def _subscribe(self) -> None:
        self._gossiper.add_report_listener(self._freshness.handle_report)
        self._gossiper.add_report_listener(self._exchange.handle_report)
        self._table.add_listener(self._audit_change)
        self._bus.subscribe(
            urgent.MemberUpdate,
            lambda update: self._table.apply(update.member),
        )
        self._bus.subscribe(urgent.EndpointLeaving, self._mark_leaving)
        self._view.add_leaving_listener(self._broadcast_leaving)
        self._view.add_return_listener(
            lambda name, reason: self._trail.add(
                "routing", "returned", name, reason
            )
        )

    def _broadcast_leaving(self, name: str) -> None:
        address = self._view.address(name)
        self._bus.publish(
            urgent.EndpointLeaving(
                "engine", name, address.address, address.port
            )
        )
        self._trail.add(
            "routing",
            "marked_leaving",
            f"engine/{name}",
            "the engine reported that it is leaving",
        )

    def _mark_leaving(self, update: urgent.EndpointLeaving) -> None:
        was_leaving = self._view.is_leaving(update.address, update.port)
        self._view.mark_leaving(update.address, update.port)
        if was_leaving:
            return
        self._trail.add(
            "news", "marked_leaving", update.name, "another node reported it"
        )

    def _audit_change(
        self, former: member.Member | None, current: member.Member
    ) -> None:
        if former is not None and (
            former.state is current.state
            and former.incarnation == current.incarnation
        ):
            return
        former_state = former.state.name if former else "not known"
        if current.name == self._table.own.name:
            reason = (
                f"own state was {former_state}, "
                f"now at incarnation {current.incarnation}"
            )
        else:
            reason = (
                f"was {former_state}, now at incarnation {current.incarnation}"
            )
        self._trail.add(
            "members", current.state.name.lower(), current.name, reason
        )

    async def _watch_freshness(self) -> None:
        # Reading the reason records a change in the audit trail, also when no
        # request reads it.
        while True:
            _ = self._freshness.reason
            await asyncio.sleep(_FRESHNESS_CHECK_S)

    def describe(self) -> dict[str, Any]:
        """Return the members' part of ``/admin/view``."""
        freshness, table = self._freshness, self._table
        return {
            "incarnation": table.own.incarnation,
            "members": [
                {**dataclasses.asdict(m), "state": m.state.name.lower()}
                for m in sorted(table.members(), key=lambda m: m.name)
            ],
            "candidates": sorted(c.name for c in table.candidates()),
            "vm_list_reachable": self._watcher.is_reachable,
            "freshness": {
                "age_s": round(min(freshness.age_s, 1e9), 3),
                "reason": freshness.reason,
                "explanation": freshness.explanation,
                "heard": freshness.reachable_voters,
                "electorate": freshness.voters,
            },
        }


def new_incarnation() -> int:
    """Return the current time in milliseconds as an incarnation."""
    return int(time.time() * 1000)


def _start_task(
    stack: contextlib.AsyncExitStack, coroutine: Coroutine[Any, Any, None]
) -> None:
    task = asyncio.ensure_future(coroutine)
    stack.push_async_callback(_cancel, task)


async def _cancel(task: "asyncio.Task[None]") -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
