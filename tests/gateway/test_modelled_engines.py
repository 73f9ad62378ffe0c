"""Tests of prompts on engines that simulate the platform's latencies."""

import asyncio
import contextlib
import itertools
import time

import testtools

from fireflyspur.platform import config_codec
from tests.support import async_tests
from tests.support import gateway_fleet
from tests.support import modelled_engines
from tests.support import platform_config

# Ten times as fast as the fleet's default engine, so that long prompts are
# prefilled within the time of a test.
_ENGINE = {
    **gateway_fleet.ENGINE,
    "read_per_s": 2_560_000.0,
    "pairs_per_m": 0.00917,
}
_ROUTE = gateway_fleet.route(
    "chat",
    "streaming",
    "models",
    stream_resume=True,
    gap_aim_ms=200,
    target_latency_ms=4_000,
    timeout_ms=10_000,
)
_SERVICES = [{"name": "models", "health_check": "/health", "engine": _ENGINE}]
_CONFIG = gateway_fleet.config(routes=[_ROUTE], services=_SERVICES)


def token_count_headers(tokens, output):
    return [f"X-Fireflyspur-Token-Count: {tokens},{output}"]


class ModelledEnginesTest(testtools.TestCase):
    """Guards against placements that miss targets on realistic engines.

    Stand-ins that do not simulate the engine's passes do not show how a
    prefill delays the streams on the same engine.
    """

    async def start(self, stack, engines):
        fleet = await stack.enter_async_context(
            gateway_fleet.GatewayFleet(engines=engines)
        )
        decoded = config_codec.decode(platform_config.encode(_CONFIG))
        spec = decoded.services["models"].engine
        simulation = modelled_engines.ModelledEngines(fleet, spec)
        stack.push_async_callback(simulation.close)
        fleet.publish(_CONFIG)
        node = await fleet.start_node()
        return node, simulation

    @async_tests.in_loop
    async def test_long_prompt_does_not_delay_a_running_stream(self):
        async with contextlib.AsyncExitStack() as stack:
            node, simulation = await self.start(stack, engines=2)
            arrival_times = []

            async def stream_short_prompt():
                reader, writer = await node.connect()
                stack.callback(writer.close)
                writer.write(
                    gateway_fleet.request_bytes(
                        "/chat/",
                        attempt_id="quote",
                        extra=token_count_headers(5_000, 900),
                    )
                )
                while data := await reader.read(4_096):
                    arrival_times.append(time.monotonic())
                    if data.endswith(b"0\r\n\r\n"):
                        return

            short_stream = asyncio.ensure_future(stream_short_prompt())
            await gateway_fleet.wait_until(lambda: len(arrival_times) > 2)
            # On the same engine, its prefill would delay the stream by 0.4 s.
            response = await node.request(
                "/chat/", extra=token_count_headers(300_000, 100)
            )
            await short_stream
        self.assertEqual((200, True), (response.status, response.is_complete))
        gaps = [b - a for a, b in itertools.pairwise(arrival_times)]
        self.assertLess(max(gaps), 0.2)

    @async_tests.in_loop
    async def test_prompt_larger_than_one_engine_is_split(self):
        async with contextlib.AsyncExitStack() as stack:
            node, simulation = await self.start(stack, engines=3)
            response = await node.request(
                "/chat/", extra=token_count_headers(600_000, 100)
            )
            self.assertEqual(
                (200, True), (response.status, response.is_complete)
            )
            # One event for the first token, and one per stride.
            self.assertEqual(1 + 3, response.body.count(b"id: "))
            await gateway_fleet.wait_until(
                lambda: set(simulation.free_tokens()) == {450_000}
            )
