"""Effects of the VM list, which lags behind the actual state."""

import asyncio
import unittest.mock

import testtools

from fireflyspur.audit import audit_trail
from fireflyspur.clients import exceptions
from fireflyspur.clients import vm_list_client
from fireflyspur.membership import member
from fireflyspur.membership import member_table
from fireflyspur.membership import vm_list_watcher
from fireflyspur.records import catalog as catalogs
from fireflyspur.routing import engine_view

ADDRESS = ("127.0.0.1", 7)


def engine(state="live"):
    return vm_list_client.Vm("e", "engine", *ADDRESS, "a", state)


class FakeClient:
    vms = ()

    async def read(self):
        if self.vms is None:
            raise exceptions.VmListUnavailableError("down")
        return list(self.vms)


class TestVmListWatcher(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.client = FakeClient()
        own = member.Member("own", "127.0.0.1", 1, "a", 1000)
        self.table = member_table.MemberTable(own)
        self.view = engine_view.EngineView(catalogs.Catalog())
        self.bus = unittest.mock.Mock()
        self.removals = []
        self.watcher = vm_list_watcher.VmListWatcher(
            self.client,
            self.table,
            self.view,
            self.bus,
            audit_trail.AuditTrail(),
            self.removals.append,
            1.0,
        )

    def show(self, *vms):
        self.client.vms = vms
        asyncio.run(self.watcher.read_once())
        return self.view.is_leaving(*ADDRESS)

    def test_leaving_and_unlisted_endpoints_are_marked_as_leaving(self):
        self.assertFalse(self.show(engine()))
        self.assertTrue(self.show(engine("leaving")))
        self.assertFalse(self.show(engine()))
        self.assertTrue(self.show())
        self.assertFalse(self.show(engine()))
        self.assertEqual(2, self.bus.publish.call_count)

    def test_live_entry_does_not_override_a_refusal_of_the_endpoint(self):
        self.show(engine())
        self.view.mark_leaving(*ADDRESS)
        self.assertTrue(self.show(engine()))

    def test_outage_keeps_the_last_list(self):
        node = vm_list_client.Vm("n", "node", "127.0.0.1", 9, "b")
        self.show(engine(), node)
        self.client.vms = None
        asyncio.run(self.watcher.read_once())
        self.assertFalse(self.watcher.is_reachable)
        self.assertFalse(self.view.is_leaving(*ADDRESS))
        self.assertEqual(["n"], [c.name for c in self.table.candidates()])
        self.assertEqual([{"n"}], self.removals)

    def test_leaving_node_is_not_a_candidate(self):
        self.show(
            vm_list_client.Vm("n", "node", "127.0.0.1", 9, "b", "leaving")
        )
        self.assertEqual([], self.table.candidates())
