"""Polling of the VM list."""

import asyncio
from collections.abc import Callable

from fireflyspur.audit import audit_trail
from fireflyspur.clients import exceptions
from fireflyspur.clients import vm_list_client
from fireflyspur.membership import member
from fireflyspur.membership import member_table
from fireflyspur.membership import update_bus
from fireflyspur.membership import urgent_update as urgent
from fireflyspur.observability import logs
from fireflyspur.routing import engine_view
from fireflyspur.routing import leaving_endpoints

_log = logs.log_for("vm-list")


class VmListWatcher:
    """Reads candidate nodes and leaving endpoints from the VM list.

    The list lags, so an endpoint that it still shows as live may no longer
    accept requests. While the list is unavailable, the last one is used.

    :param client: reads the list
    :param table: gets the nodes as candidates
    :param view: gets the endpoints that are leaving
    :param bus: broadcasts endpoints that are leaving
    :param trail: records each endpoint that is leaving or has returned
    :param remove_unlisted: called with the names of the nodes listed as live
    :param interval_s: seconds between two reads
    """

    def __init__(
        self,
        client: vm_list_client.VmListClient,
        table: member_table.MemberTable,
        view: engine_view.EngineView,
        bus: update_bus.UpdateBus,
        trail: audit_trail.AuditTrail,
        remove_unlisted: Callable[[set[str]], None],
        interval_s: float,
    ) -> None:
        self._client = client
        self._table = table
        self._view = view
        self._bus = bus
        self._trail = trail
        self._remove_unlisted = remove_unlisted
        self._interval_s = interval_s
        self._endpoints: dict[str, vm_list_client.Vm] = {}
        self._leaving: set[tuple[str, int]] = set()
        self._reachable = True

    @property
    def is_reachable(self) -> bool:
        """Whether the last read succeeded."""
        return self._reachable

    async def run(self) -> None:
        """Read the list at each interval until cancelled."""
        while True:
            await self.read_once()
            await asyncio.sleep(self._interval_s)

    async def read_once(self) -> None:
        """Read the list once, or keep the last one if that fails."""
        self._view.expire_leaving()
        try:
            vms = await self._client.read()
        except exceptions.VmListUnavailableError as error:
            if self._reachable:
                _log.warning("{}; using the last list", error)
            self._reachable = False
            return
        self._reachable = True
        self._update_nodes(vms)
        self._update_endpoints(vms)

    def _update_nodes(self, vms: list[vm_list_client.Vm]) -> None:
        nodes = [
            vm
            for vm in vms
            if vm.role == vm_list_client.NODE_ROLE and not vm.is_leaving
        ]
        self._table.set_candidates(
            [
                member.Member(vm.name, vm.address, vm.port, vm.failure_domain)
                for vm in nodes
            ]
        )
        self._remove_unlisted({vm.name for vm in nodes})

    def _update_endpoints(self, vms: list[vm_list_client.Vm]) -> None:
        listed = {
            vm.name: vm for vm in vms if vm.role != vm_list_client.NODE_ROLE
        }
        live = {
            (vm.address, vm.port)
            for vm in listed.values()
            if not vm.is_leaving
        }
        for name, vm in self._endpoints.items():
            if name not in listed and (vm.address, vm.port) not in live:
                self._mark_leaving(vm, "the VM list no longer shows it")
        for name, vm in listed.items():
            address = (vm.address, vm.port)
            previous = self._endpoints.get(name)
            if vm.is_leaving:
                if address not in live:
                    self._mark_leaving(vm, "the VM list shows it as leaving")
            elif address in self._leaving:
                # An endpoint has only returned if its entry changed, since the
                # list may still show one as live that reported as leaving.
                if previous is None or previous.is_leaving or previous != vm:
                    self._mark_returned(
                        vm, "the VM list shows it as live again"
                    )
        self._endpoints = listed

    def _mark_returned(self, vm: vm_list_client.Vm, reason: str) -> None:
        address = (vm.address, vm.port)
        self._leaving.discard(address)
        self._view.clear_leaving(*address)
        self._trail.add("vm-list", "returned", vm.name, reason)
        _log.info("Endpoint {} has returned: {}", vm.name, reason)

    def _mark_leaving(self, vm: vm_list_client.Vm, reason: str) -> None:
        address = (vm.address, vm.port)
        if address in self._leaving:
            return
        self._leaving.add(address)
        is_known = self._view.is_leaving(*address)
        self._view.mark_leaving(*address, leaving_endpoints.Source.VM_LIST)
        if is_known:
            return
        self._trail.add("vm-list", "marked_leaving", vm.name, reason)
        _log.info("Endpoint {} is leaving: {}", vm.name, reason)
        self._bus.publish(
            urgent.EndpointLeaving(vm.role, vm.name, vm.address, vm.port)
        )
