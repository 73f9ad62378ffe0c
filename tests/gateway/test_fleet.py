"""Nodes that share their data with each other."""

import asyncio

import testtools

from tests.support import async_tests
from tests.support import fake_endpoint
from tests.support import gateway_fleet
from tests.support import loop_watch

# A node that does not run for a quarter of its bound of 2 s misses what others
# tell it, and reads the store itself.
_MAX_HELD_UP_S = 0.5
_MAX_WINDOWS = 5


class FleetTest(testtools.TestCase):
    """Nodes act on the data of the other nodes and rarely read the store."""

    async def start_pair(self, fleet):
        first = await fleet.start_node(node_name="node-1")
        second = await fleet.start_node(node_name="node-2")
        await gateway_fleet.wait_until(
            lambda: all(
                len(n.gateway.link.peers.live_names()) == 2
                for n in (first, second)
            )
        )
        return first, second

    @async_tests.in_loop
    async def test_endpoint_busy_with_prompt_of_another_node_is_avoided(self):
        async with gateway_fleet.GatewayFleet(engines=2) as fleet:
            first, second = await self.start_pair(fleet)
            for engine in fleet.engines:
                engine.default_behaviour = fake_endpoint.respond_events(
                    40, pause_s=0.05
                )
            # Too short to be split between both engines.
            tokens = ["X-Fireflyspur-Token-Count: 15000,100"]
            for number in range(4):
                for engine in fleet.engines:
                    engine.arrivals.clear()
                body = bytes((number,))
                tasks = []
                for node in (first, second):
                    sent = node.request("/once/", extra=tokens, body=body)
                    tasks.append(asyncio.ensure_future(sent))
                    await asyncio.sleep(0.04)
                self.assertEqual(
                    [1, 1], [len(e.arrivals) for e in fleet.engines]
                )
                for task in tasks:
                    task.cancel()
                await asyncio.sleep(0.05)

    @async_tests.in_loop
    async def test_one_node_reads_the_store_for_all(self):
        seconds = 4.0
        async with gateway_fleet.GatewayFleet() as fleet:
            nodes = [
                await fleet.start_node(node_name=f"node-{number}")
                for number in range(8)
            ]
            await asyncio.sleep(1.5)
            for _ in range(_MAX_WINDOWS):
                fleet.store.calls.clear()
                async with loop_watch.watch_loop() as watch:
                    await asyncio.sleep(seconds)
                calls = sum(fleet.store.calls.values())
                if watch.longest_s < _MAX_HELD_UP_S:
                    break
            ages = [n.gateway.directory.age_s() for n in nodes]
        # The target is half a call a second for each node. Without updates
        # from other nodes each would make two.
        self.assertLessEqual(calls, 0.5 * len(nodes) * seconds)
        self.assertLess(max(ages), 2.0)

    @async_tests.in_loop
    async def test_nodes_without_configuration_call_the_store_rarely(self):
        seconds = 4.0
        async with gateway_fleet.GatewayFleet() as fleet:
            nodes = [
                await fleet.start_node(False, node_name=f"node-{number}")
                for number in range(8)
            ]
            await asyncio.sleep(seconds)
            calls = sum(fleet.store.calls.values())
            fleet.publish(gateway_fleet.config())
            await gateway_fleet.wait_until(
                lambda: all(n.gateway.is_ready for n in nodes), timeout_s=1.0
            )
        # The start takes four calls: to register, and to read the nodes, the
        # endpoints and the configuration. After that each call of a node may
        # wait for a second.
        self.assertLessEqual(calls, len(nodes) * (4 + seconds) + 8)

    @async_tests.in_loop
    async def test_change_reaches_all_nodes_in_time(self):
        async with gateway_fleet.GatewayFleet() as fleet:
            nodes = await self.start_pair(fleet)
            fleet.publish(gateway_fleet.config(version=2))
            fleet.register(fleet.desks[0], "desk", state="draining")
            await gateway_fleet.wait_until(
                lambda: all(
                    n.gateway.config_version == 2
                    and len(n.gateway.directory.ready("desk")) == 1
                    for n in nodes
                ),
                timeout_s=1.9,
            )

    @async_tests.in_loop
    async def test_reader_that_stops_is_replaced(self):
        async with gateway_fleet.GatewayFleet() as fleet:
            first, second = await self.start_pair(fleet)
            first.task.cancel()
            fleet.register(fleet.desks[0], "desk", state="draining")
            await gateway_fleet.wait_until(
                lambda: len(second.gateway.directory.ready("desk")) == 1,
                timeout_s=1.9,
            )
            fleet.publish(gateway_fleet.config(version=3))
            await gateway_fleet.wait_until(
                lambda: second.gateway.config_version == 3, timeout_s=1.9
            )

    @async_tests.in_loop
    async def test_sound_request_survives_crashes_of_its_endpoints(self):
        """Guards against a refusal of what all callers ask for."""
        async with gateway_fleet.GatewayFleet(desks=4) as fleet:
            first, second = await self.start_pair(fleet)
            for desk in fleet.desks[:3]:
                desk.behaviours = [fake_endpoint.crash_process]
                # It is chosen by its crash, as all others answer.
                while desk.behaviours:
                    await first.request("/safe/", body=b"popular")
                await asyncio.sleep(0.1)
                await second.request("/safe/", body=b"popular")
            responses = [
                await node.request("/safe/", body=b"popular")
                for node in (first, second)
            ]
        self.assertEqual([200, 200], [r.status for r in responses])

    @async_tests.in_loop
    async def test_crashing_request_is_refused_by_all_nodes(self):
        async with gateway_fleet.GatewayFleet(desks=4) as fleet:
            first, second = await self.start_pair(fleet)
            for desk in fleet.desks:
                desk.default_behaviour = fake_endpoint.crash_process
            await first.request("/safe/", body=b"poison")
            await asyncio.sleep(0.1)
            arrivals_before = sum(len(d.arrivals) for d in fleet.desks)
            response = await second.request("/safe/", body=b"poison")
            arrivals_after = sum(len(d.arrivals) for d in fleet.desks)
            for desk in fleet.desks:
                desk.default_behaviour = fake_endpoint.respond_plain
            other = await second.request("/safe/", body=b"harmless")
        self.assertEqual(503, response.status)
        self.assertEqual(arrivals_before, arrivals_after)
        self.assertEqual(200, other.status)
