"""Nodes of two pools in one process, as in a fleet of many nodes."""

import asyncio
from unittest import mock

import testtools

from fireflyspur.gateway.fleet import pool_map
from tests.support import async_tests
from tests.support import fake_endpoint
from tests.support import gateway_fleet

_PROMPTS = 24


class TwoPoolsTest(testtools.TestCase):
    """Guards against refusals in a failure domain while another has room."""

    def setUp(self):
        super().setUp()
        # Four nodes are split as more than 48 would be.
        self.enterContext(mock.patch.object(pool_map, "_MAX_POOL_NODES", 2))

    async def start(self, fleet):
        """Start two nodes in each domain; half of the engines are in b."""
        for number, engine in enumerate(fleet.engines):
            engine.default_behaviour = fake_endpoint.respond_events(
                6, pause_s=0.05
            )
            zone = "zone-a" if number < len(fleet.engines) / 2 else "zone-b"
            fleet.register(engine, "models", zone=zone)
        nodes = [
            await fleet.start_node(
                node_name=f"node-{n}", failure_domain=f"zone-{'ab'[n % 2]}"
            )
            for n in range(4)
        ]
        await gateway_fleet.wait_until(
            lambda: (
                all(len(n.gateway.link.peers.live_names()) == 2 for n in nodes)
                and all(n.gateway.link.pool_loads.has_any for n in nodes)
            )
        )
        return nodes

    async def send_all(self, node):
        tasks = []
        for number in range(_PROMPTS):
            request = node.request("/chat/", attempt_id=f"p-{number}")
            tasks.append(asyncio.ensure_future(request))
            await asyncio.sleep(0.02)
        return {r.status for r in await asyncio.gather(*tasks)}

    @async_tests.in_loop
    async def test_domain_without_engines_uses_those_of_the_other(self):
        async with gateway_fleet.GatewayFleet(engines=6) as fleet:
            nodes = await self.start(fleet)
            for engine in fleet.engines[:3]:
                engine.close()
                fleet.register(
                    engine,
                    "models",
                    zone="zone-a",
                    state="leaving",
                    sequence=2,
                )
            await gateway_fleet.wait_until(
                lambda: len(nodes[0].gateway.directory.ready("models")) == 3
            )
            statuses = await self.send_all(nodes[0])
            metrics = await nodes[0].metrics()
        self.assertEqual({200}, statuses)
        # The prediction is on the safe side, so a few may be sent elsewhere.
        reported = float(metrics.split('_total{load="report"} ')[1].split()[0])
        self.assertGreater(reported, 0.8 * _PROMPTS)

    @async_tests.in_loop
    async def test_demand_beyond_the_own_engines_goes_to_the_other(self):
        async with gateway_fleet.GatewayFleet(engines=4) as fleet:
            nodes = await self.start(fleet)
            for engine in fleet.engines:
                engine.default_behaviour = fake_endpoint.respond_events(
                    12, pause_s=0.1
                )
            statuses = await self.send_all(nodes[0])
            used = {e.instance for e in fleet.engines if e.arrivals}
        self.assertEqual({200}, statuses)
        self.assertEqual({e.instance for e in fleet.engines}, used)
