"""Endpoints that name the rate that they take, with real sockets."""

import asyncio

import testtools

from tests.support import async_tests
from tests.support import fake_endpoint
from tests.support import gateway_fleet

_LIMIT_PER_S = 2.0
_SECONDS = 4.0
# The users' bound for 4 s: one and a half times the limit, and 5 requests.
_MOST = 1.5 * _LIMIT_PER_S * _SECONDS + 5


class NamedLimitTest(testtools.TestCase):
    """Guards against an endpoint in need that the fleet keeps flooding."""

    async def start_nodes(self, fleet, count):
        nodes = [
            await fleet.start_node(node_name=f"node-{n}") for n in range(count)
        ]
        await gateway_fleet.wait_until(
            lambda: all(
                len(n.gateway.link.peers.live_names()) == count for n in nodes
            )
        )
        return nodes

    async def send_for(self, nodes, seconds):
        """Send 40 requests a second to the nodes in turn."""
        tasks = []
        for number in range(round(seconds * 40)):
            node = nodes[number % len(nodes)]
            task = node.request("/safe/", attempt_id=f"attempt-{number}")
            tasks.append(asyncio.ensure_future(task))
            await asyncio.sleep(1 / 40)
        return await asyncio.gather(*tasks)

    @async_tests.in_loop
    async def test_limit_is_kept_by_all_nodes_together(self):
        async with gateway_fleet.GatewayFleet(desks=1) as fleet:
            desk = fleet.desks[0]
            desk.default_behaviour = fake_endpoint.respond_with_limits(
                _LIMIT_PER_S
            )
            nodes = await self.start_nodes(fleet, 4)
            await self.send_for(nodes, 0.5)
            desk.arrivals.clear()
            responses = await self.send_for(nodes, _SECONDS)
        self.assertLessEqual(len(desk.arrivals), _MOST)
        self.assertGreaterEqual(len(desk.arrivals), _LIMIT_PER_S * 2)
        refused = [r for r in responses if r.status != 200]
        self.assertEqual({503}, {r.status for r in refused})
        self.assertTrue(all(b"rate_limited" in r.body for r in refused))
        waits = [float(r.headers["retry-after"]) for r in refused]
        self.assertGreater(max(waits) - min(waits), 1.0)

    @async_tests.in_loop
    async def test_work_goes_to_endpoints_with_room(self):
        async with gateway_fleet.GatewayFleet(desks=3) as fleet:
            limited = fleet.desks[0]
            limited.default_behaviour = fake_endpoint.respond_with_limits(0.5)
            nodes = await self.start_nodes(fleet, 2)
            responses = await self.send_for(nodes, 3.0)
        self.assertEqual({200}, {r.status for r in responses})
        self.assertLessEqual(len(limited.arrivals), 8)

    @async_tests.in_loop
    async def test_node_that_starts_later_keeps_the_limit(self):
        async with gateway_fleet.GatewayFleet(desks=1) as fleet:
            desk = fleet.desks[0]
            desk.default_behaviour = fake_endpoint.respond_with_limits(0.25)
            (first,) = await self.start_nodes(fleet, 1)
            await self.send_for([first], 0.3)
            second = await fleet.start_node(node_name="node-2")
            await gateway_fleet.wait_until(second.gateway.link.limits.describe)
            desk.arrivals.clear()
            await self.send_for([second], 1.0)
        self.assertLessEqual(len(desk.arrivals), 2)

    @async_tests.in_loop
    async def test_limit_ends_with_the_first_answer_that_names_none(self):
        async with gateway_fleet.GatewayFleet(desks=1) as fleet:
            desk = fleet.desks[0]
            desk.default_behaviour = fake_endpoint.respond_with_limits(5)
            (node,) = await self.start_nodes(fleet, 1)
            await self.send_for([node], 0.5)
            desk.default_behaviour = fake_endpoint.respond_plain
            await self.send_for([node], 0.5)
            responses = await self.send_for([node], 0.5)
        self.assertEqual({200}, {r.status for r in responses})

    @async_tests.in_loop
    async def test_invalid_limits_are_ignored(self):
        for values in (
            ("-1",),
            ("nan",),
            ("inf",),
            ("9" * 400,),
            ("",),
            ("1e3",),
            ("2", "3"),
        ):
            async with gateway_fleet.GatewayFleet(desks=1) as fleet:
                desk = fleet.desks[0]
                desk.default_behaviour = fake_endpoint.respond_with_limits(
                    *values
                )
                (node,) = await self.start_nodes(fleet, 1)
                responses = await self.send_for([node], 0.2)
            self.assertEqual({200}, {r.status for r in responses}, values)
