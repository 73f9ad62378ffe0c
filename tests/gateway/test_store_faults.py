"""Faults of the store and their effect on a node."""

import asyncio
import json

import testtools

from fireflyspur.gateway.endpoints import endpoint as endpoints
from fireflyspur.gateway.endpoints import endpoint_directory
from tests.support import async_tests
from tests.support import gateway_fleet


def odd_entries(worker):
    """Return entries of an endpoint that another writer may leave."""
    nested = b"[" * 100_000 + b"]" * 100_000
    proper = json.dumps(worker.entry("desk")).encode()
    texts = [nested, b'{"a":' * 100_000, proper[:-1] + b',"odd":' + nested]
    texts.append(proper[:-1] + b',"slots":' + b"9" * 400 + b"}")
    changes = (
        {"slots": 10**400},
        {"slots": -3},
        {"slots": 2**62},
        {"sequence": 2**70},
        {"born": 2**64},
        {"address": "999.1.1.1:80"},
        {"address": "127.0.0.1:99999"},
        {"zone": "z" * 70_000},
    )
    odd = [json.dumps(worker.entry("desk", **c)).encode() for c in changes]
    return [*texts, *odd]


class OddEntryTest(testtools.TestCase):
    """Guards against nodes that end or stop following the endpoints.

    One entry of another writer is deeply nested or has odd numbers.
    """

    @async_tests.in_loop
    async def test_other_endpoints_are_followed_and_used(self):
        async with gateway_fleet.GatewayFleet(desks=3) as fleet:
            *desks, odd = fleet.desks
            nodes = [
                await fleet.start_node(node_name=f"node-{n}") for n in (1, 2)
            ]
            for number, text in enumerate(odd_entries(odd)):
                fleet.store.put("keyed.servers", f"odd-{number}", text)
            await asyncio.sleep(1.5)
            fleet.register(desks[0], "desk", state="draining", sequence=2)
            await asyncio.sleep(1.5)
            for desk in fleet.desks:
                desk.arrivals.clear()
            for node in nodes:
                self.assertEqual(200, await node.health())
                directory = node.gateway.directory
                names = set(directory.instances)
                self.assertEqual(set(), {n for n in names if "odd" in n})
                self.assertFalse(directory.is_available(desks[0].instance))
                for _ in range(4):
                    response = await node.request("/safe/")
                    self.assertEqual(200, response.status)
            self.assertEqual([], desks[0].arrivals)

    @async_tests.in_loop
    async def test_last_configuration_stays_in_force(self):
        async with gateway_fleet.GatewayFleet() as fleet:
            node = await fleet.start_node()
            for value in (
                b"[" * 100_000,
                b'{"version":2,"routes":' + b"[" * 100_000,
                json.dumps(gateway_fleet.config(version=2**70)).encode(),
                json.dumps(gateway_fleet.config(version=-1)).encode(),
            ):
                fleet.store.put("keyed.op", "config", value)
                await asyncio.sleep(0.4)
                self.assertEqual(200, await node.health())
                self.assertEqual(200, (await node.request("/safe/")).status)
            fleet.publish(gateway_fleet.config(version=5))
            await gateway_fleet.wait_until(
                lambda: node.gateway.config_version == 5, timeout_s=1.9
            )


class StoreFaultTest(testtools.TestCase):
    """Guards against requests that fail because of a fault of the store."""

    @async_tests.in_loop
    async def test_requests_are_served_through_every_fault(self):
        async with gateway_fleet.GatewayFleet() as fleet:
            node = await fleet.start_node()
            for fault in ("busy", "many", "silent", "reset", "lost"):
                fleet.store.fault = fault
                await asyncio.sleep(0.5)
                response = await node.request("/safe/")
                self.assertEqual(200, response.status, fault)
                self.assertEqual(200, await node.health())

    @async_tests.in_loop
    async def test_change_is_applied_after_an_outage(self):
        async with gateway_fleet.GatewayFleet() as fleet:
            node = await fleet.start_node()
            fleet.store.fault = "silent"
            await asyncio.sleep(1.5)
            fleet.publish(gateway_fleet.config(version=5))
            fleet.store.fault = None
            await gateway_fleet.wait_until(
                lambda: node.gateway.config_version == 5, timeout_s=2.5
            )

    @async_tests.in_loop
    async def test_latest_version_is_read_when_records_were_trimmed(self):
        async with gateway_fleet.GatewayFleet() as fleet:
            node = await fleet.start_node()
            partition = fleet.store.partition("keyed.op")
            for version in range(2, 6):
                fleet.publish(gateway_fleet.config(version=version))
                partition.trim(partition.end)
            await gateway_fleet.wait_until(
                lambda: node.gateway.config_version == 5, timeout_s=1.9
            )

    @async_tests.in_loop
    async def test_older_version_is_ignored(self):
        async with gateway_fleet.GatewayFleet() as fleet:
            fleet.publish(gateway_fleet.config(version=9))
            node = await fleet.start_node()
            fleet.publish(gateway_fleet.config(version=8))
            await asyncio.sleep(1.0)
            self.assertEqual(9, node.gateway.config_version)

    @async_tests.in_loop
    async def test_invalid_configuration_is_ignored(self):
        async with gateway_fleet.GatewayFleet() as fleet:
            node = await fleet.start_node()
            for value in (b"\xff", b"{}", b"[]"):
                fleet.store.put("keyed.op", "config", value)
                await asyncio.sleep(0.3)
            response = await node.request("/safe/")
            self.assertEqual(200, response.status)
            fleet.publish(gateway_fleet.config(version=4))
            await gateway_fleet.wait_until(
                lambda: node.gateway.config_version == 4, timeout_s=1.9
            )

    @async_tests.in_loop
    async def test_invalid_endpoint_entries_are_ignored(self):
        async with gateway_fleet.GatewayFleet() as fleet:
            node = await fleet.start_node()
            for key, value in (
                ("x1", b"\xff\xfe"),
                ("x2", {"service": "desk"}),
                ("x3", fleet.desks[0].entry("desk", state="odd")),
            ):
                fleet.store.put("keyed.servers", key, value)
            await asyncio.sleep(1.2)
            instances = {
                e.instance for e in node.gateway.directory.ready("desk")
            }
            self.assertEqual({"desk-0", "desk-1"}, instances)


class RestoredStoreTest(testtools.TestCase):
    """Guards against the use of what a restored store no longer has.

    The store comes back from an older copy. Offsets are given out again, and
    operators and endpoints write again what the copy lacks.
    """

    @async_tests.in_loop
    async def test_change_at_a_reused_offset_is_applied(self):
        async with gateway_fleet.GatewayFleet() as fleet:
            node = await fleet.start_node()
            copies = fleet.store.copy_records()
            for version in (2, 3):
                fleet.publish(gateway_fleet.config(version=version))
            await gateway_fleet.wait_until(
                lambda: node.gateway.config_version == 3, timeout_s=1.9
            )
            fleet.store.restore(copies)
            for version in (3, 4):
                fleet.publish(gateway_fleet.config(version=version))
            await gateway_fleet.wait_until(
                lambda: node.gateway.config_version == 4, timeout_s=1.9
            )

    @async_tests.in_loop
    async def test_change_after_a_restore_is_applied_by_all_nodes(self):
        async with gateway_fleet.GatewayFleet() as fleet:
            nodes = [
                await fleet.start_node(node_name=f"node-{n}") for n in range(3)
            ]
            copies = fleet.store.copy_records()
            for version in (2, 3):
                fleet.publish(gateway_fleet.config(version=version))
                for node in nodes:
                    await _wait_version(node, version)
            fleet.store.restore(copies)
            fleet.publish(gateway_fleet.config(version=3))
            await asyncio.sleep(1.5)
            fleet.publish(gateway_fleet.config(version=4))
            for node in nodes:
                await _wait_version(node, 4)

    @async_tests.in_loop
    async def test_endpoint_that_left_is_not_used_again(self):
        async with gateway_fleet.GatewayFleet() as fleet:
            nodes = [
                await fleet.start_node(node_name=f"node-{n}") for n in range(3)
            ]
            copies = fleet.store.copy_records()
            fleet.store.put("keyed.servers", "desk-1", b"")
            for node in nodes:
                await gateway_fleet.wait_until(
                    lambda node=node: _ready(node) == {"desk-0"}
                )
            fleet.store.restore(copies)
            for _ in range(20):
                await asyncio.sleep(0.1)
                for node in nodes:
                    self.assertEqual({"desk-0"}, _ready(node))

    @async_tests.in_loop
    async def test_node_that_the_copy_lacks_is_found_by_later_nodes(self):
        async with gateway_fleet.GatewayFleet() as fleet:
            fleet.publish(gateway_fleet.config())
            copies = fleet.store.copy_records()
            first = await fleet.start_node(node_name="node-1")
            nodes = fleet.store.partition("keyed.status")
            await gateway_fleet.wait_until(
                lambda: "node-node-1" in nodes.newest
            )
            fleet.store.restore(copies)
            fleet.register_all()
            await gateway_fleet.wait_until(
                lambda: (
                    "node-node-1"
                    in fleet.store.partition("keyed.status").newest
                )
            )
            later = await fleet.start_node(node_name="node-2")
            await gateway_fleet.wait_until(
                lambda: "node-1" in later.gateway.link.peers.live_names()
            )
            await gateway_fleet.wait_until(
                lambda: "node-2" in first.gateway.link.peers.live_names()
            )

    @async_tests.in_loop
    async def test_older_version_of_the_copy_is_ignored(self):
        async with gateway_fleet.GatewayFleet() as fleet:
            node = await fleet.start_node()
            copies = fleet.store.copy_records()
            fleet.publish(gateway_fleet.config(version=2))
            await _wait_version(node, 2)
            fleet.store.restore(copies)
            await asyncio.sleep(1.0)
            self.assertEqual(2, node.gateway.config_version)


def _ready(node):
    return {e.instance for e in node.gateway.directory.ready("desk")}


async def _wait_version(node, version):
    await gateway_fleet.wait_until(
        lambda: node.gateway.config_version == version, timeout_s=1.9
    )


class DirectoryTest(testtools.TestCase):
    """Guards against endpoints that are lost, or kept, after an outage.

    Entries expire while the store is unavailable, also those of endpoints
    that still run.
    """

    def endpoint(self, name, **changes):
        fields = {
            "instance": name,
            "service": "desk",
            "address": None,
            "failure_domain": "zone-a",
            "state": endpoints.EndpointState.READY,
            "slots": 1,
            "sequence": 1,
            "born_ms": 1,
            **changes,
        }
        return endpoints.Endpoint(**fields)

    def setUp(self):
        super().setUp()
        self.directory = endpoint_directory.EndpointDirectory(3.6, 2.5)

    def read(self, at_s, *names, epoch=0, **changes):
        listed = tuple(self.endpoint(name, **changes) for name in names)
        self.directory.replace(endpoints.EndpointList(listed, at_s, epoch))

    def ready(self):
        return {e.instance for e in self.directory.ready("desk")}

    def test_endpoint_may_register_again_after_an_outage(self):
        self.read(100.0, "a", "b")
        self.read(120.0, "a")
        self.assertEqual({"a", "b"}, self.ready())
        self.read(121.0, "a", "b")
        self.read(123.0, "a", "b")
        self.assertEqual({"a", "b"}, self.ready())

    def test_endpoint_that_does_not_register_again_is_removed(self):
        self.read(100.0, "a", "b")
        self.read(120.0, "a")
        self.read(121.0, "a")
        self.read(122.6, "a")
        self.assertEqual({"a"}, self.ready())

    def test_endpoint_is_removed_at_once_without_an_outage(self):
        self.read(100.0, "a", "b")
        self.read(101.0, "a")
        self.assertEqual({"a"}, self.ready())

    def test_older_list_is_ignored(self):
        self.read(100.0, "a", "b")
        self.read(99.0, "a")
        self.assertEqual({"a", "b"}, self.ready())

    def test_endpoint_that_left_before_a_restore_does_not_come_back(self):
        self.read(100.0, "a", "b")
        self.read(101.0, "a")
        for at_s in (103.0, 104.0, 108.0):
            self.read(at_s, "a", "b", epoch=1)
            self.assertEqual({"a"}, self.ready())

    def test_leaving_endpoint_does_not_become_ready_by_a_restore(self):
        self.read(100.0, "a")
        self.read(101.0, "a", state=endpoints.EndpointState.LEAVING)
        for at_s in (103.0, 104.0, 108.0):
            self.read(at_s, "a", epoch=1)
            self.assertEqual(set(), self.ready())

    def test_process_that_ended_does_not_come_back_by_a_restore(self):
        self.read(100.0, "a", born_ms=1, slots=1)
        self.read(101.0, "a", born_ms=2, slots=2)
        self.read(103.0, "a", born_ms=1, slots=1, epoch=1)
        self.assertEqual([2], [e.slots for e in self.directory.ready("desk")])

    def test_endpoint_that_writes_on_after_a_restore_is_used(self):
        # It had expired before, so that its entry was missing for a while.
        self.read(100.0, "a", "b")
        self.read(101.0, "a")
        self.read(103.0, "a", "b", epoch=1)
        self.assertFalse(self.directory.confirm(109.5))
        self.read(109.5, "a", "b", epoch=1)
        self.assertEqual({"a", "b"}, self.ready())

    def test_endpoint_that_the_copy_lacks_may_register_again(self):
        self.read(100.0, "a", "b")
        self.read(101.5, "a", epoch=1)
        self.assertEqual({"a", "b"}, self.ready())
        self.read(102.5, "a", "b", epoch=1)
        self.assertEqual({"a", "b"}, self.ready())

    def test_endpoint_that_registers_late_after_a_restore_is_used(self):
        self.read(100.0, "a", "b")
        self.read(101.5, "a", epoch=1)
        self.read(104.5, "a", epoch=1)
        self.assertEqual({"a"}, self.ready())
        self.read(105.0, "a", "b", epoch=1)
        self.assertEqual({"a", "b"}, self.ready())

    def test_endpoint_that_the_copy_lacks_is_removed_if_it_is_gone(self):
        self.read(100.0, "a", "b")
        self.read(101.5, "a", epoch=1)
        self.read(104.5, "a", epoch=1)
        self.assertEqual({"a"}, self.ready())

    def test_leaving_endpoint_stays_excluded(self):
        self.read(100.0, "a", "b")
        self.directory.mark_leaving("a", "told")
        self.read(101.0, "a", "b")
        self.assertEqual({"b"}, self.ready())

    def test_pause_grows_with_faults_and_ends_with_success(self):
        self.read(100.0, "a")
        self.directory.record_fault("a", "no connection")
        self.assertTrue(self.directory.is_paused("a"))
        self.directory.record_success("a")
        self.assertFalse(self.directory.is_paused("a"))
