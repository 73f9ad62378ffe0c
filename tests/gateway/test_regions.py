"""Requests that may be processed in some regions only."""

import asyncio

import testtools

from fireflyspur.gateway.configuration import regions as region_maps
from tests.support import async_tests
from tests.support import captured_logs
from tests.support import fake_endpoint
from tests.support import gateway_fleet
from tests.support import partition

_ZONES = {"zone-a": "north", "zone-b": "south", "zone-c": "south"}
_IN_PARTS = ["X-Fireflyspur-Token-Count: 200000,100"]


def config(route=None, account=None, version=1):
    """Return a configuration; None stands for no limit of regions."""
    limits = {} if route is None else {"allowed_regions": route}
    account = {} if account is None else {"allowed_regions": account}
    return gateway_fleet.config(
        version=version,
        routes=[
            gateway_fleet.route("safe", "safe", "desk", **limits),
            gateway_fleet.route(
                "chat",
                "streaming",
                "models",
                stream_resume=True,
                gap_aim_ms=200,
                **limits,
            ),
        ],
        tenants=[
            {
                "name": gateway_fleet.ACCOUNT,
                "api_keys": [gateway_fleet.KEY],
                **account,
            }
        ],
    )


class RegionTest(testtools.TestCase):
    """Guards against requests that leave the regions they are allowed in."""

    async def start(self, fleet, wanted, number=1, **changes):
        for workers, service in (
            (fleet.desks, "desk"),
            (fleet.engines, "models"),
        ):
            for worker, zone in zip(workers, _ZONES, strict=False):
                fleet.register(worker, service, zone=zone)
        fleet.publish(wanted)
        return await fleet.start_node(
            node_name=f"node-{number}",
            **{
                "failure_domain": "zone-a",
                "regions": region_maps.RegionMap("north", _ZONES),
                **changes,
            },
        )

    async def zones_of(self, fleet, node, count=12, **options):
        """Send requests; returns the domains that they and helpers reached."""
        fleet.clear_arrivals()
        for number in range(count):
            for path in ("/safe/", "/chat/"):
                response = await node.request(
                    path, attempt_id=f"{path}-{number}", **options
                )
                self.assertEqual(200, response.status)
        found = set()
        for workers in (fleet.desks, fleet.engines):
            named = str([a.headers for w in workers for a in w.arrivals])
            for worker, zone in zip(workers, _ZONES, strict=True):
                if worker.arrivals or str(worker.address) in named:
                    found.add(zone)
        return found

    async def assert_zones(self, expected, route, account, **options):
        async with gateway_fleet.GatewayFleet(desks=3, engines=3) as fleet:
            node = await self.start(fleet, config(route, account))
            found = await self.zones_of(fleet, node, **options)
            self.assertEqual(set(expected), found)

    @async_tests.in_loop
    async def test_route(self):
        await self.assert_zones({"zone-b", "zone-c"}, ["south"], None)

    @async_tests.in_loop
    async def test_account(self):
        await self.assert_zones({"zone-b", "zone-c"}, None, ["south", "east"])

    @async_tests.in_loop
    async def test_both(self):
        await self.assert_zones({"zone-a"}, ["north", "south"], ["north"])

    @async_tests.in_loop
    async def test_helpers(self):
        await self.assert_zones(
            {"zone-b", "zone-c"}, ["south"], None, extra=_IN_PARTS
        )

    @async_tests.in_loop
    async def test_retry_and_rest_of_a_stream(self):
        async with gateway_fleet.GatewayFleet(desks=3, engines=3) as fleet:
            node = await self.start(fleet, config(["south"]))
            for worker in (*fleet.desks[1:], *fleet.engines[1:]):
                worker.behaviours = [fake_endpoint.crash]
            for path in ("/safe/", "/chat/"):
                await node.request(path)
            self.assertGreater(len(fleet.arrivals), 2)
            for worker in (fleet.desks[0], fleet.engines[0]):
                self.assertEqual([], worker.arrivals)

    @async_tests.in_loop
    async def test_requests_are_refused_if_no_endpoint_is_allowed(self):
        for route, account in (
            ([], None),
            (["east"], None),
            (["north"], ["south"]),
        ):
            async with gateway_fleet.GatewayFleet(desks=3, engines=3) as fleet:
                node = await self.start(fleet, config(route, account))
                for path in ("/safe/", "/chat/"):
                    async with asyncio.timeout(0.2):
                        response = await node.request(path)
                    self.assertEqual(503, response.status)
                    self.assertIn("retry-after", response.headers)
                    self.assertIn(b"allowed region", response.body)
                self.assertEqual([], fleet.arrivals)

    @async_tests.in_loop
    async def test_unknown_region_is_logged_and_the_rest_is_in_force(self):
        with captured_logs.capture() as records:
            await self.assert_zones({"zone-a"}, ["north", "west"], None)
        found = [
            (r["level"].name, r["extra"]["region"], r["extra"]["used_by"])
            for r in records
            if r["message"] == "Region unknown"
        ]
        expected = [("ERROR", "west", "safe"), ("ERROR", "west", "chat")]
        self.assertEqual(expected, found)

    @async_tests.in_loop
    async def test_domain_without_a_region_is_used_by_others_only(self):
        async with gateway_fleet.GatewayFleet(desks=3, engines=3) as fleet:
            node = await self.start(
                fleet,
                config(["north"]),
                regions=region_maps.RegionMap(None, {"zone-a": "north"}),
            )
            self.assertEqual({"zone-a"}, await self.zones_of(fleet, node))
            fleet.publish(config(version=2))
            await gateway_fleet.wait_until(
                lambda: node.gateway.config_version == 2
            )
            found = await self.zones_of(fleet, node, extra=_IN_PARTS)
            self.assertLess({"zone-a"}, found)

    async def hand_over(self, domain, allowed):
        """Send requests to a node without paths; returns their statuses."""
        async with gateway_fleet.GatewayFleet(desks=3, engines=3) as fleet:
            with fleet.partition() as links:
                cut = await self.start(fleet, config(allowed))
                other = await self.start(
                    fleet, config(allowed), 2, failure_domain=domain
                )
                await gateway_fleet.wait_until(
                    lambda: all(
                        len(n.gateway.link.peers.live_names()) == 2
                        for n in (cut, other)
                    )
                )
                links.cut("node-1", partition.Cut.REFUSE)
                await cut.request("/safe/")
                links.connects.clear()
                responses = [await cut.request("/safe/") for _ in range(3)]
                return {r.status for r in responses}, set(links.connects)

    @async_tests.in_loop
    async def test_body_is_handed_over_to_an_allowed_region(self):
        found = await self.hand_over("zone-c", ["south"])
        self.assertEqual(({200}, {"node-2"}), found)

    @async_tests.in_loop
    async def test_body_is_handed_over_within_the_own_region(self):
        found = await self.hand_over("zone-a", ["south"])
        self.assertEqual(({200}, {"node-2"}), found)

    @async_tests.in_loop
    async def test_body_is_not_handed_over_to_another_region(self):
        found = await self.hand_over("zone-c", ["north"])
        self.assertEqual(({503}, set()), found)
