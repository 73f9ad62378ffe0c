"""Reservation of memory for prompts that need several engines."""

import asyncio
import json
import time

import testtools

from fireflyspur.gateway.common import clock
from tests.support import async_tests
from tests.support import fake_endpoint
from tests.support import gateway_fleet

_LONG_PROMPT = ["X-Fireflyspur-Token-Count: 600000,100"]
# Its target allows for a response that is delayed by a few seconds.
_LENIENT_ROUTE = gateway_fleet.route(
    "chat",
    "streaming",
    "models",
    stream_resume=True,
    gap_aim_ms=200,
    target_latency_ms=4_000,
    timeout_ms=10_000,
)
_TOO_LONG_PROMPT = ["X-Fireflyspur-Token-Count: 2000000,100"]


def orders(engine, operation):
    return [
        json.loads(a.body)
        for a in engine.arrivals
        if a.target == "/api/order"
        and json.loads(a.body)["operation"] == operation
    ]


def prompts(engine):
    return [a for a in engine.arrivals if a.target != "/api/order"]


def respond_to_orders(status, prompt=None):
    """Return a behaviour that responds to orders with a status."""

    async def behaviour(worker, arrival, stream):
        if arrival.target == "/api/order":
            respond = fake_endpoint.respond_status(status, body=b"{}")
        else:
            respond = prompt or fake_endpoint.respond_events()
        await respond(worker, arrival, stream)

    return behaviour


class MemoryReserverTest(testtools.TestCase):
    """Guards against memory that stays reserved and prompts that never fit."""

    @async_tests.in_loop
    async def test_prompt_is_run_elsewhere_when_its_group_loses_a_member(self):
        async def stall_first(worker, arrival, stream):
            if sum(len(prompts(e)) for e in fleet.engines) == 1:
                (helper, *_) = [e for e in fleet.engines if e is not worker]
                helper.close()
                node.gateway.directory.record_fault(helper.instance, "test")
                await fake_endpoint.never_respond(worker, arrival, stream)
            await fake_endpoint.respond_events()(worker, arrival, stream)

        async with gateway_fleet.GatewayFleet(engines=4) as fleet:
            node = await fleet.start_node()
            for engine in fleet.engines:
                engine.default_behaviour = respond_to_orders(
                    "200 OK", stall_first
                )
            fleet.publish(
                gateway_fleet.config(version=2, routes=[_LENIENT_ROUTE])
            )
            await gateway_fleet.wait_until(
                lambda: node.gateway.config_version == 2
            )
            start_s = time.monotonic()
            reply = await node.request("/chat/", extra=_LONG_PROMPT)
            elapsed_s = time.monotonic() - start_s
        self.assertEqual((200, True), (reply.status, reply.is_complete))
        # The detector must not wait for the expected silence: prefilling the
        # prompt alone takes two engines several seconds.
        self.assertLess(elapsed_s, 1.5)

    @async_tests.in_loop
    async def test_memory_is_reserved_used_and_released(self):
        async with gateway_fleet.GatewayFleet(engines=3) as fleet:
            node = await fleet.start_node()
            for engine in fleet.engines:
                engine.default_behaviour = respond_to_orders("200 OK")
            reply = await node.request("/once/", extra=_LONG_PROMPT)
            self.assertEqual(200, reply.status)
            (first,) = [e for e in fleet.engines if prompts(e)]
            (prompt,) = prompts(first)
            tickets = dict(
                entry.split("/")
                for entry in prompt.headers["x-fireflyspur-helpers"].split(",")
            )
            reserved = 0
            for engine in fleet.engines:
                if engine is first:
                    continue
                (reserve,) = orders(engine, "reserve")
                self.assertEqual(tickets[str(engine.address)], reserve["id"])
                reserved += reserve["tokens"]
                await gateway_fleet.wait_until(
                    lambda engine=engine: orders(engine, "release")
                )
                (release,) = orders(engine, "release")
                self.assertEqual(reserve["id"], release["id"])
        # The first engine has memory for the rest and the response.
        self.assertGreater(reserved, 600_100 - 450_000 * 0.95)

    @async_tests.in_loop
    async def test_reservations_are_released_if_an_engine_refuses(self):
        async with gateway_fleet.GatewayFleet(engines=3) as fleet:
            node = await fleet.start_node()
            for engine in fleet.engines:
                engine.default_behaviour = respond_to_orders("409 Conflict")
            reply = await node.request("/once/", extra=_LONG_PROMPT)
            self.assertEqual(503, reply.status)
            self.assertGreater(float(reply.headers["retry-after"]), 0)
            self.assertEqual(
                [], [a for e in fleet.engines for a in prompts(e)]
            )
            for engine in fleet.engines:
                await gateway_fleet.wait_until(
                    lambda engine=engine: (
                        len(orders(engine, "reserve"))
                        == len(orders(engine, "release"))
                    )
                )

    @async_tests.in_loop
    async def test_reservation_is_renewed_while_the_request_runs(self):
        slow = fake_endpoint.respond_events(4, pause_s=0.4)
        async with gateway_fleet.GatewayFleet(engines=3) as fleet:
            node = await fleet.start_node()
            for engine in fleet.engines:
                engine.default_behaviour = respond_to_orders("200 OK", slow)
            reply = await node.request("/once/", extra=_LONG_PROMPT)
            self.assertEqual(200, reply.status)
            renewed = [
                e for e in fleet.engines if len(orders(e, "reserve")) > 1
            ]
            self.assertTrue(renewed)
            for engine in renewed:
                reserves = orders(engine, "reserve")
                self.assertEqual(1, len({r["id"] for r in reserves}))
                self.assertLessEqual(reserves[0]["hold_ms"], 4_000)

    @async_tests.in_loop
    async def test_reservation_that_expired_in_a_suspension_is_not_used(self):
        jumped_s = 0.0
        expired = []

        async def reserve_while_suspended(worker, arrival, stream):
            nonlocal jumped_s
            if not jumped_s:
                # The node goes on only after its reservations expired.
                jumped_s = 3.5
                expired.append(json.loads(arrival.body)["id"])
            await respond_to_orders("200 OK")(worker, arrival, stream)

        def now():
            return time.clock_gettime(time.CLOCK_BOOTTIME) + jumped_s

        async with gateway_fleet.GatewayFleet(engines=3) as fleet:
            fleet.publish(gateway_fleet.config(routes=[_LENIENT_ROUTE]))
            with clock.override(now):
                node = await fleet.start_node()
                for engine in fleet.engines:
                    engine.default_behaviour = reserve_while_suspended
                response = await node.request(
                    "/chat/", extra=_LONG_PROMPT, deadline_ms=10_000
                )
                sent = [a for e in fleet.engines for a in prompts(e)]
        self.assertEqual(200, response.status)
        (prompt,) = sent
        entries = prompt.headers["x-fireflyspur-helpers"].split(",")
        tickets = {entry.partition("/")[2] for entry in entries}
        self.assertEqual(1, len(expired))
        self.assertNotIn(expired[0], tickets)

    @async_tests.in_loop
    async def test_memory_is_released_when_the_caller_disconnects(self):
        async with gateway_fleet.GatewayFleet(engines=3) as fleet:
            node = await fleet.start_node()
            for engine in fleet.engines:
                engine.default_behaviour = respond_to_orders(
                    "200 OK", fake_endpoint.never_respond
                )
            reader, writer = await node.connect()
            writer.write(
                gateway_fleet.request_bytes("/once/", extra=_LONG_PROMPT)
            )
            await gateway_fleet.wait_until(
                lambda: any(prompts(e) for e in fleet.engines)
            )
            writer.close()
            await gateway_fleet.wait_until(
                lambda: (
                    sum(len(orders(e, "release")) for e in fleet.engines)
                    == sum(len(orders(e, "reserve")) for e in fleet.engines)
                ),
                timeout_s=1.0,
            )

    @async_tests.in_loop
    async def test_prompt_that_exceeds_all_memory_is_refused_at_once(self):
        async with gateway_fleet.GatewayFleet(engines=2) as fleet:
            node = await fleet.start_node()
            start_s = asyncio.get_running_loop().time()
            reply = await node.request("/once/", extra=_TOO_LONG_PROMPT)
            elapsed_s = asyncio.get_running_loop().time() - start_s
            self.assertEqual(503, reply.status)
            self.assertLess(elapsed_s, 0.2)
            self.assertEqual(
                [], [a for e in fleet.engines for a in e.arrivals]
            )


class FailedHelperTest(testtools.TestCase):
    """Guards against groups that fail repeatedly because of one member."""

    @async_tests.in_loop
    async def test_failed_helper_is_excluded(self):
        tokens = ["X-Fireflyspur-Token-Count: 200000,100"]
        async with gateway_fleet.GatewayFleet(engines=5) as fleet:
            node = await fleet.start_node()

            async def refuse_once(worker, arrival, stream):
                if not failed_helpers:
                    helpers = arrival.headers["x-fireflyspur-helpers"]
                    failed_helpers.append(helpers.split(",")[0])
                    await fake_endpoint.respond_status(
                        "503 Busy",
                        "X-Fireflyspur-Not-Executed: 1",
                        f"At-Server: {failed_helpers[0]}",
                    )(worker, arrival, stream)
                    return
                sent_helpers.append(
                    arrival.headers.get("x-fireflyspur-helpers", "")
                )
                await fake_endpoint.respond_events()(worker, arrival, stream)

            failed_helpers, sent_helpers = [], []
            for engine in fleet.engines:
                engine.default_behaviour = refuse_once
            reply = await node.request("/once/", extra=tokens)
        self.assertEqual(200, reply.status)
        self.assertNotIn(failed_helpers[0], sent_helpers[0].split(","))
