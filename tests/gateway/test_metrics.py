"""Metrics that a node serves."""

import testtools

from tests.support import async_tests
from tests.support import fake_endpoint
from tests.support import gateway_fleet


class MetricsTest(testtools.TestCase):
    """Guards against failures that do not appear in the metrics."""

    @async_tests.in_loop
    async def test_requests_are_counted(self):
        async with gateway_fleet.GatewayFleet() as fleet:
            node = await fleet.start_node()
            await node.request("/safe/")
            await node.request("/safe/", key="other")
            await node.request("/chat/")
            text = await node.metrics()
        for line in (
            'fireflyspur_requests_total{kind="safe",status="200"} 1.0',
            'fireflyspur_refusals_total{code="unknown_key"} 1.0',
            'fireflyspur_attempts_total{result="Delivered"} 2.0',
            'fireflyspur_first_part_seconds_count{kind="streaming",'
            'prompt="up_to_4k"} 1.0',
        ):
            self.assertIn(line, text)

    @async_tests.in_loop
    async def test_ages_are_served(self):
        async with gateway_fleet.GatewayFleet() as fleet:
            node = await fleet.start_node()
            text = await node.metrics()
        self.assertIn("fireflyspur_config_age_seconds", text)
        self.assertIn("fireflyspur_endpoints_age_seconds", text)

    # Whether a change was late could not be told from logs or metrics.
    @async_tests.in_loop
    async def test_delay_of_each_new_configuration_is_served(self):
        async with gateway_fleet.GatewayFleet() as fleet:
            node = await fleet.start_node()
            fleet.publish(gateway_fleet.config(version=5))
            node.gateway.link.versions.update_from_peer("node-2", 5, 0.0)
            await gateway_fleet.wait_until(
                lambda: node.gateway.config_version == 5
            )
            text = await node.metrics()
        self.assertIn("fireflyspur_config_delay_seconds_count 1.0", text)
        self.assertIn("fireflyspur_config_catch_up_seconds_count 1.0", text)

    @async_tests.in_loop
    async def test_endpoints_that_name_a_rate_are_counted(self):
        async with gateway_fleet.GatewayFleet(desks=1) as fleet:
            limits = fake_endpoint.respond_with_limits(0.1)
            fleet.desks[0].default_behaviour = limits
            node = await fleet.start_node()
            for _ in range(3):
                await node.request("/safe/")
            text = await node.metrics()
        self.assertIn("fireflyspur_limited_endpoints 1.0", text)
        self.assertIn('refusals_total{code="rate_limited"} 2.0', text)
