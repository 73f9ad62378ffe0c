"""Changes of the settings of a running node."""

import asyncio
import dataclasses
import os
import signal

import testtools

from fireflyspur.gateway.common import exceptions
from tests.support import async_tests
from tests.support import fake_endpoint
from tests.support import gateway_fleet


class ReloadTest(testtools.TestCase):
    """Guards against requests that are interrupted by new settings."""

    @async_tests.in_loop
    async def test_signal_reloads_settings_during_a_request(self):
        async with gateway_fleet.GatewayFleet(desks=1) as fleet:
            node = await fleet.start_node()
            node.load_result = dataclasses.replace(node.settings, grace_s=20.0)
            fleet.engines[0].default_behaviour = fake_endpoint.respond_events(
                4, pause_s=0.1
            )
            fleet.engines[1].default_behaviour = fake_endpoint.respond_events(
                4, pause_s=0.1
            )
            stream = asyncio.ensure_future(node.request("/once/"))
            await asyncio.sleep(0.15)
            os.kill(os.getpid(), signal.SIGHUP)
            response = await stream
            self.assertEqual(200, response.status)
            self.assertTrue(response.is_complete)
            self.assertEqual(20.0, node.gateway.settings.grace_s)

    @async_tests.in_loop
    async def test_invalid_settings_change_nothing(self):
        async with gateway_fleet.GatewayFleet(desks=1) as fleet:
            node = await fleet.start_node()
            node.load_result = exceptions.InvalidSettingsError("broken")
            os.kill(os.getpid(), signal.SIGHUP)
            await asyncio.sleep(0.05)
            response = await node.request("/safe/")
            self.assertEqual(200, response.status)
            self.assertEqual(node.settings, node.gateway.settings)

    @async_tests.in_loop
    async def test_change_without_a_signal_is_applied(self):
        async with gateway_fleet.GatewayFleet(desks=1) as fleet:
            node = await fleet.start_node()
            node.load_result = dataclasses.replace(node.settings, grace_s=21.0)
            await gateway_fleet.wait_until(
                lambda: node.gateway.settings.grace_s == 21.0
            )
