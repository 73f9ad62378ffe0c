"""Prompts that need the memory of several engines."""

import asyncio
import json
import time

import testtools

from tests.support import async_tests
from tests.support import fake_endpoint
from tests.support import gateway_fleet

_LONG = ["X-Fireflyspur-Token-Count: 600000,100"]
# Its answer may come late by a few seconds and still be on time.
_PATIENT = gateway_fleet.route(
    "chat",
    "streaming",
    "models",
    stream_resume=True,
    gap_aim_ms=200,
    target_latency_ms=4_000,
    timeout_ms=10_000,
)
_TOO_LONG = ["X-Fireflyspur-Token-Count: 2000000,100"]


def orders(engine, operation):
    return [
        json.loads(a.body)
        for a in engine.arrivals
        if a.target == "/api/order"
        and json.loads(a.body)["operation"] == operation
    ]


def prompts(engine):
    return [a for a in engine.arrivals if a.target != "/api/order"]


def answer_orders(status, prompt=None):
    """Return a behaviour that answers orders with a status."""

    async def behaviour(worker, arrival, stream):
        if arrival.target == "/api/order":
            usual = fake_endpoint.respond_status(status, body=b"{}")
        else:
            usual = prompt or fake_endpoint.respond_events()
        await usual(worker, arrival, stream)

    return behaviour


class MemoryReserverTest(testtools.TestCase):
    """Guards against memory that is lost and prompts that never fit."""

    @async_tests.in_loop
    async def test_prompt_of_a_group_that_lost_a_member_is_run_elsewhere(self):
        async def first_silent(worker, arrival, stream):
            if sum(len(prompts(e)) for e in fleet.engines) == 1:
                (helper, *_) = [e for e in fleet.engines if e is not worker]
                helper.close()
                node.gateway.directory.note_fault(helper.instance, "test")
                await fake_endpoint.never_respond(worker, arrival, stream)
            await fake_endpoint.respond_events()(worker, arrival, stream)

        async with gateway_fleet.GatewayFleet(engines=4) as fleet:
            node = await fleet.start_node()
            for engine in fleet.engines:
                engine.default_behaviour = answer_orders(
                    "200 OK", first_silent
                )
            fleet.publish(gateway_fleet.config(version=2, routes=[_PATIENT]))
            await gateway_fleet.wait_until(
                lambda: node.gateway.config_version == 2
            )
            began = time.monotonic()
            reply = await node.request("/chat/", extra=_LONG)
            took_s = time.monotonic() - began
        self.assertEqual((200, True), (reply.status, reply.is_complete))
        # The prompt alone takes two engines several seconds.
        self.assertLess(took_s, 1.5)

    @async_tests.in_loop
    async def test_memory_is_held_used_and_released(self):
        async with gateway_fleet.GatewayFleet(engines=3) as fleet:
            node = await fleet.start_node()
            for engine in fleet.engines:
                engine.default_behaviour = answer_orders("200 OK")
            reply = await node.request("/once/", extra=_LONG)
            self.assertEqual(200, reply.status)
            (first,) = [e for e in fleet.engines if prompts(e)]
            (sent,) = prompts(first)
            tickets = dict(
                entry.split("/")
                for entry in sent.headers["x-fireflyspur-helpers"].split(",")
            )
            held = 0
            for engine in fleet.engines:
                if engine is first:
                    continue
                (reserve,) = orders(engine, "reserve")
                self.assertEqual(tickets[str(engine.address)], reserve["id"])
                held += reserve["tokens"]
                await gateway_fleet.wait_until(
                    lambda engine=engine: orders(engine, "release")
                )
                (release,) = orders(engine, "release")
                self.assertEqual(reserve["id"], release["id"])
        # The rest and the answer fit in the first engine.
        self.assertGreater(held, 600_100 - 450_000 * 0.95)

    @async_tests.in_loop
    async def test_engine_without_memory_frees_the_others(self):
        async with gateway_fleet.GatewayFleet(engines=3) as fleet:
            node = await fleet.start_node()
            for engine in fleet.engines:
                engine.default_behaviour = answer_orders("409 Conflict")
            reply = await node.request("/once/", extra=_LONG)
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
    async def test_memory_is_renewed_while_it_is_used(self):
        slow = fake_endpoint.respond_events(4, pause_s=0.4)
        async with gateway_fleet.GatewayFleet(engines=3) as fleet:
            node = await fleet.start_node()
            for engine in fleet.engines:
                engine.default_behaviour = answer_orders("200 OK", slow)
            reply = await node.request("/once/", extra=_LONG)
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
    async def test_memory_is_released_when_the_caller_leaves(self):
        async with gateway_fleet.GatewayFleet(engines=3) as fleet:
            node = await fleet.start_node()
            for engine in fleet.engines:
                engine.default_behaviour = answer_orders(
                    "200 OK", fake_endpoint.never_respond
                )
            reader, writer = await node.connect()
            writer.write(gateway_fleet.request_bytes("/once/", extra=_LONG))
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
    async def test_prompt_beyond_all_memory_is_refused_at_once(self):
        async with gateway_fleet.GatewayFleet(engines=2) as fleet:
            node = await fleet.start_node()
            began = asyncio.get_running_loop().time()
            reply = await node.request("/once/", extra=_TOO_LONG)
            took_s = asyncio.get_running_loop().time() - began
            self.assertEqual(503, reply.status)
            self.assertLess(took_s, 0.2)
            self.assertEqual(
                [], [a for e in fleet.engines for a in e.arrivals]
            )


class BlamedHelperTest(testtools.TestCase):
    """Guards against groups that fail again by the same member."""

    @async_tests.in_loop
    async def test_helper_at_fault_is_left_out(self):
        tokens = ["X-Fireflyspur-Token-Count: 200000,100"]
        async with gateway_fleet.GatewayFleet(engines=5) as fleet:
            node = await fleet.start_node()

            async def refuse_once(worker, arrival, stream):
                if not refused:
                    helpers = arrival.headers["x-fireflyspur-helpers"]
                    refused.append(helpers.split(",")[0])
                    await fake_endpoint.respond_status(
                        "503 Busy",
                        "X-Fireflyspur-Not-Executed: 1",
                        f"At-Server: {refused[0]}",
                    )(worker, arrival, stream)
                    return
                sent.append(arrival.headers.get("x-fireflyspur-helpers", ""))
                await fake_endpoint.respond_events()(worker, arrival, stream)

            refused, sent = [], []
            for engine in fleet.engines:
                engine.default_behaviour = refuse_once
            reply = await node.request("/once/", extra=tokens)
        self.assertEqual(200, reply.status)
        self.assertNotIn(refused[0], sent[0].split(","))
