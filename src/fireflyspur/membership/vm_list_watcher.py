"""Following of the VM list."""

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
    """Takes seeds and leaving endpoints from the VM list.

    The list lags, so an endpoint that it still shows as live is not taken
    as proof that the endpoint takes work. While it is down, the last list
    stays.

    :param client: reads the list
    :param table: takes the nodes as candidates
    :param view: takes the endpoints that are leaving
    :param bus: spreads endpoints that are leaving
    :param trail: told of each endpoint that begins or ends to leave
    :param remove_unlisted: told of the names of the nodes listed as live
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
        self._left: set[tuple[str, int]] = set()
        self._reachable = True

    @property
    def is_reachable(self) -> bool:
        """Whether the last read succeeded."""
        return self._reachable

    async def run(self) -> None:
        """Follow the list until cancelled."""
        while True:
            await self.read_once()
            await asyncio.sleep(self._interval_s)

    async def read_once(self) -> None:
        """Read the list once; a failure keeps the last one."""
        self._view.expire_leaving()
        try:
            vms = await self._client.read()
        except exceptions.VmListUnavailableError as error:
            if self._reachable:
                _log.warning("{}; the last list stays in use", error)
            self._reachable = False
            return
        self._reachable = True
        self._take_nodes(vms)
        self._take_endpoints(vms)

    def _take_nodes(self, vms: list[vm_list_client.Vm]) -> None:
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

    def _take_endpoints(self, vms: list[vm_list_client.Vm]) -> None:
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
                self._mark(vm, "the VM list no longer shows it")
        for name, vm in listed.items():
            place = (vm.address, vm.port)
            known = self._endpoints.get(name)
            if vm.is_leaving:
                if place not in live:
                    self._mark(vm, "the VM list shows it as leaving")
            elif place in self._left:
                # Only a change of the list is a return; the list may show an
                # endpoint as live that has already said that it is leaving.
                if known is None or known.is_leaving or known != vm:
                    self._clear(vm, "the VM list shows it as live again")
        self._endpoints = listed

    def _clear(self, vm: vm_list_client.Vm, reason: str) -> None:
        place = (vm.address, vm.port)
        self._left.discard(place)
        self._view.clear_leaving(*place)
        self._trail.add("vm-list", "returned", vm.name, reason)
        _log.info("Endpoint {} gets work again: {}", vm.name, reason)

    def _mark(self, vm: vm_list_client.Vm, reason: str) -> None:
        place = (vm.address, vm.port)
        if place in self._left:
            return
        self._left.add(place)
        is_known = self._view.is_leaving(*place)
        self._view.mark_leaving(*place, leaving_endpoints.Source.VM_LIST)
        if is_known:
            return
        self._trail.add("vm-list", "marked_leaving", vm.name, reason)
        _log.info("Endpoint {} is leaving: {}", vm.name, reason)
        self._bus.publish(
            urgent.EndpointLeaving(vm.role, vm.name, vm.address, vm.port)
        )
