"""Outages of the store, and what several nodes know after them."""

import asyncio

import testtools

from tests.support import async_tests
from tests.support import gateway_fleet

_NODES = 4
# Small fleets are current again within this time after an outage.
_STABLE_S = 3.0


class StoreOutageTest(testtools.TestCase):
    """Guards against nodes that use what was withdrawn during an outage.

    It also guards against calls at a high rate during and after it.
    """

    async def start(self, fleet):
        nodes = [
            await fleet.start_node(node_name=f"node-{n}")
            for n in range(_NODES)
        ]
        await gateway_fleet.wait_until(
            lambda: all(
                len(n.gateway.link.peers.live_names()) == _NODES for n in nodes
            )
        )
        return nodes

    async def withdraw(self, fleet, nodes, fault, outage_s=5.0):
        """Withdraw a key and let an endpoint leave during an outage."""
        fleet.store.fault = fault
        await asyncio.sleep(outage_s / 2)
        fleet.store.calls.clear()
        fleet.publish(gateway_fleet.config(version=2, tenants=[]))
        fleet.register(fleet.desks[1], "desk", state="draining", sequence=2)
        await asyncio.sleep(outage_s / 2)
        calls = fleet.store.calls.total()
        fleet.store.fault = None
        fleet.store.calls.clear()
        await gateway_fleet.wait_until(
            lambda: all(_is_current(node) for node in nodes),
            timeout_s=_STABLE_S,
        )
        return calls / (outage_s / 2)

    @async_tests.in_loop
    async def test_all_nodes_are_current_after_refusals(self):
        async with gateway_fleet.GatewayFleet() as fleet:
            nodes = await self.start(fleet)
            rate = await self.withdraw(fleet, nodes, "many")
            # Four a second on each of two topics, and some by chance.
            self.assertLess(rate, 14)
            response = await nodes[0].request("/safe/")
            self.assertEqual(401, response.status)
            await asyncio.sleep(1.0)
            self.assertLess(fleet.store.calls.total(), 8 * _NODES)
            text = await nodes[0].metrics()
        self.assertIn('outcome="refused",topic="config"}', text)
        self.assertIn('outcome="answered",topic="endpoints"}', text)

    @async_tests.in_loop
    async def test_all_nodes_are_current_after_silence(self):
        async with gateway_fleet.GatewayFleet() as fleet:
            nodes = await self.start(fleet)
            rate = await self.withdraw(fleet, nodes, "silent")
            self.assertLess(rate, 10)

    @async_tests.in_loop
    async def test_node_that_starts_in_an_outage_is_ready_soon_after_it(self):
        async with gateway_fleet.GatewayFleet() as fleet:
            await self.start(fleet)
            fleet.store.fault = "busy"
            node = await fleet.start_node(
                is_configured=False, node_name="node-9"
            )
            await asyncio.sleep(2.0)
            self.assertEqual(503, await node.health())
            fleet.store.fault = None
            await gateway_fleet.wait_until(
                lambda: node.gateway.is_ready, timeout_s=_STABLE_S
            )


def _is_current(node):
    ready = {e.instance for e in node.gateway.directory.ready("desk")}
    return node.gateway.config_version == 2 and ready == {"desk-0"}
