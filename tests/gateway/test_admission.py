"""Tests of requests that wait for room on the engines of a node."""

import asyncio
import os
import signal
import time

import testtools

from tests.support import async_tests
from tests.support import fake_endpoint
from tests.support import gateway_fleet

# A limit of 0.25 s for the wait.
_CONFIG = gateway_fleet.config(
    routes=[
        gateway_fleet.route(
            "once",
            "streaming",
            "models",
            gap_aim_ms=200,
            target_latency_ms=2_000,
            timeout_ms=4_000,
        )
    ]
)
_SLOTS = gateway_fleet.ENGINE["slots"]


class RoomTest(testtools.TestCase):
    """Guards against refusals while a slot is about to become free.

    In a peak of short prompts all slots of a pool are taken for some tens of
    milliseconds at a time.
    """

    def fill(self, fleet, node, responding_after_s=None, output_tokens=1):
        """Take all slots of the engine; return the requests."""
        behaviour = fake_endpoint.never_respond
        if responding_after_s is not None:
            behaviour = fake_endpoint.respond_events(1, responding_after_s)
        fleet.engines[0].default_behaviour = behaviour
        tokens = f"X-Fireflyspur-Token-Count: 5000,{output_tokens}"
        return [
            asyncio.ensure_future(
                node.request(
                    "/once/",
                    body=bytes((number,)),
                    deadline_ms=4_000,
                    extra=(tokens,),
                )
            )
            for number in range(_SLOTS)
        ]

    async def start(self, fleet):
        fleet.publish(_CONFIG)
        return await fleet.start_node()

    async def filled(self, fleet):
        arrivals = fleet.engines[0].arrivals
        await gateway_fleet.wait_until(lambda: len(arrivals) == _SLOTS)

    @async_tests.in_loop
    async def test_request_waits_for_a_slot_that_becomes_free(self):
        async with gateway_fleet.GatewayFleet(engines=1) as fleet:
            node = await self.start(fleet)
            streams = self.fill(fleet, node, responding_after_s=0.15)
            await self.filled(fleet)
            reply = await node.request("/once/", deadline_ms=4_000)
            others = await asyncio.gather(*streams)
            metrics = await node.metrics()
        self.assertEqual(200, reply.status)
        self.assertEqual({200}, {other.status for other in others})
        self.assertIn('room_wait_seconds_count{result="sent"} 1.0', metrics)

    @async_tests.in_loop
    async def test_refusal_comes_before_the_limit_of_the_wait(self):
        async with gateway_fleet.GatewayFleet(engines=1) as fleet:
            node = await self.start(fleet)
            streams = self.fill(fleet, node)
            await self.filled(fleet)
            started_s = time.monotonic()
            reply = await node.request("/once/", deadline_ms=4_000)
            waited_s = time.monotonic() - started_s
            for stream in streams:
                stream.cancel()
        self.assertEqual(503, reply.status)
        self.assertGreater(waited_s, 0.2)
        self.assertLess(waited_s, 0.35)

    @async_tests.in_loop
    async def test_refusal_is_at_once_if_slots_are_known_to_stay_taken(self):
        async with gateway_fleet.GatewayFleet(engines=1) as fleet:
            node = await self.start(fleet)
            streams = self.fill(fleet, node, output_tokens=3_000)
            await self.filled(fleet)
            started_s = time.monotonic()
            replies = await asyncio.gather(
                *(
                    node.request(
                        "/once/",
                        deadline_ms=4_000,
                        extra=("X-Fireflyspur-Token-Count: 5000,1600",),
                    )
                    for _ in range(5)
                )
            )
            waited_s = time.monotonic() - started_s
            for stream in streams:
                stream.cancel()
        self.assertEqual({503}, {reply.status for reply in replies})
        self.assertLess(waited_s, 0.15)
        returns = sorted(float(r.headers["retry-after"]) for r in replies)
        # The first slot is free after some 3 s; callers return one by one.
        self.assertGreater(returns[0], 1.0)
        self.assertGreater(returns[-1], returns[0] + 0.1)

    @async_tests.in_loop
    async def test_request_of_a_caller_that_has_left_is_not_sent(self):
        async with gateway_fleet.GatewayFleet(engines=1) as fleet:
            node = await self.start(fleet)
            streams = self.fill(fleet, node, responding_after_s=0.15)
            await self.filled(fleet)
            leaving = asyncio.ensure_future(
                node.request("/once/", deadline_ms=4_000)
            )
            await asyncio.sleep(0.05)
            leaving.cancel()
            await asyncio.gather(*streams)
            await asyncio.sleep(0.1)
            metrics = await node.metrics()
            arrivals = len(fleet.engines[0].arrivals)
        self.assertEqual(_SLOTS, arrivals)
        self.assertIn("fireflyspur_requests_waiting 0.0", metrics)

    @async_tests.in_loop
    async def test_request_that_waits_when_the_node_stops_is_sent(self):
        async with gateway_fleet.GatewayFleet(engines=1) as fleet:
            node = await self.start(fleet)
            streams = self.fill(fleet, node, responding_after_s=0.15)
            await self.filled(fleet)
            waiting = asyncio.ensure_future(
                node.request("/once/", deadline_ms=4_000)
            )
            await asyncio.sleep(0.05)
            os.kill(os.getpid(), signal.SIGTERM)
            reply = await waiting
            await asyncio.gather(*streams)
            await node.task
        self.assertEqual(200, reply.status)


class FloodTest(testtools.TestCase):
    """Guards against an account whose flood takes the slots of all others."""

    @async_tests.in_loop
    async def test_last_slots_are_left_to_other_accounts(self):
        tenants = [
            {"name": name, "api_keys": [f"key-{name}"], "priority": 1}
            for name in ("flood", "clinic")
        ]
        wanted = gateway_fleet.config(
            routes=_CONFIG["routes"], tenants=tenants
        )
        async with gateway_fleet.GatewayFleet(engines=2) as fleet:
            fleet.publish(wanted)
            node = await fleet.start_node()
            for engine in fleet.engines:
                engine.default_behaviour = fake_endpoint.never_respond

            def send(number, name):
                return asyncio.ensure_future(
                    node.request(
                        "/once/",
                        body=bytes((number,)),
                        key=f"key-{name}",
                        deadline_ms=4_000,
                    )
                )

            streams = [send(0, "clinic")]
            streams += [send(n, "flood") for n in range(1, 2 * _SLOTS - 1)]
            await gateway_fleet.wait_until(
                lambda: len(fleet.arrivals) == 2 * _SLOTS - 1
            )
            refused = await send(98, "flood")
            streams.append(send(99, "clinic"))
            await gateway_fleet.wait_until(
                lambda: len(fleet.arrivals) == 2 * _SLOTS
            )
            for stream in streams:
                stream.cancel()
        self.assertEqual(503, refused.status)
        self.assertIn(b"more than its share", refused.body)
        self.assertGreater(float(refused.headers["retry-after"]), 0)
