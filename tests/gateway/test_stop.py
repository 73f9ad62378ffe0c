"""Responses to callers while a node stops."""

import asyncio
import json
import os
import signal

import testtools

from tests.support import async_tests
from tests.support import fake_endpoint
from tests.support import gateway_fleet


async def respond_late(worker, arrival, stream):
    """Answer after most of the time limit."""
    await asyncio.sleep(1.6)
    await fake_endpoint.respond_plain(worker, arrival, stream)


# Longer than the memory of one engine.
_LONG_PROMPT = ["X-Fireflyspur-Token-Count: 600000,100"]
_LONG_PROMPT_ROUTE = gateway_fleet.route(
    "chat",
    "streaming",
    "models",
    stream_resume=True,
    gap_aim_ms=200,
    target_latency_ms=4_000,
    timeout_ms=10_000,
)


async def respond_soon(worker, arrival, stream):
    """Answer after some work."""
    await asyncio.sleep(0.3)
    await fake_endpoint.respond_plain(worker, arrival, stream)


async def release_late(worker, arrival, stream):
    """Be silent for a second when memory is released."""
    is_order = arrival.target == "/api/order"
    if not is_order:
        await fake_endpoint.respond_events(8, 0.45)(worker, arrival, stream)
        return
    if json.loads(arrival.body)["operation"] == "release":
        await asyncio.sleep(1.2)
    await fake_endpoint.respond_status("200 OK", body=b"{}")(
        worker, arrival, stream
    )


class KeptConnection:
    """A connection that a caller reuses for many requests."""

    def __init__(self, reader, writer):
        self._reader = reader
        self._writer = writer

    @property
    def is_closed(self):
        return self._reader.at_eof()

    async def request(self, path, **options):
        """Return the status of a response; 0 if there is none."""
        try:
            self._writer.write(gateway_fleet.request_bytes(path, **options))
            await self._writer.drain()
            return (await gateway_fleet.read_response(self._reader)).status
        except ConnectionError:
            return 0

    def close(self):
        self._writer.close()


async def send_on_open(kept, pause_s):
    """Send a request on each connection that is open, one after the other.

    :returns: tasks that return the statuses, by the attempts' ids
    """
    tasks = {}
    for number, connection in enumerate(kept):
        if not connection.is_closed:
            tasks[f"late-{number}"] = asyncio.ensure_future(
                connection.request("/unsafe/", attempt_id=f"late-{number}")
            )
        await asyncio.sleep(pause_s)
    return tasks


class StopTest(testtools.TestCase):
    """Guards against requests that are interrupted by a planned stop."""

    @async_tests.in_loop
    async def test_requests_in_progress_are_completed(self):
        async with gateway_fleet.GatewayFleet() as fleet:
            node = await fleet.start_node()
            for engine in fleet.engines:
                engine.default_behaviour = fake_endpoint.respond_events(
                    10, pause_s=0.15
                )
            stream = asyncio.ensure_future(node.request("/once/"))
            await asyncio.sleep(0.1)
            os.kill(os.getpid(), signal.SIGTERM)
            await asyncio.sleep(0.1)
            self.assertEqual(503, await node.health())
            later = await node.request("/safe/")
            self.assertEqual(200, later.status)
            self.assertEqual("close", later.headers["connection"])
            response = await stream
            self.assertTrue(response.is_complete)
            await node.task

    @async_tests.in_loop
    async def test_request_that_arrives_in_parts_is_answered(self):
        async with gateway_fleet.GatewayFleet() as fleet:
            node = await fleet.start_node()
            data = gateway_fleet.request_bytes("/safe/", body=b"x" * 100)
            os.kill(os.getpid(), signal.SIGTERM)
            # The balancer has taken the node out by then, and nothing else
            # is in progress.
            await asyncio.sleep(2.8)
            reader, writer = await node.connect()
            writer.write(data[:-50])
            await asyncio.sleep(0.6)
            self.assertFalse(node.task.done())
            writer.write(data[-50:])
            response = await gateway_fleet.read_response(reader)
            writer.close()
            await node.task
        self.assertEqual((200, True), (response.status, response.is_complete))

    @async_tests.in_loop
    async def test_request_that_cannot_finish_is_refused(self):
        tokens = ["X-Fireflyspur-Token-Count: 100000,1600"]
        async with gateway_fleet.GatewayFleet() as fleet:
            node = await fleet.start_node(grace_s=2.2)
            os.kill(os.getpid(), signal.SIGTERM)
            await asyncio.sleep(0.05)
            refused = await node.request("/chat/", extra=tokens)
            short = await node.request(
                "/chat/", extra=["X-Fireflyspur-Token-Count: 1000,100"]
            )
            sent = sum(len(e.arrivals) for e in fleet.engines)
            await node.task
        self.assertEqual(503, refused.status)
        self.assertIn("retry-after", refused.headers)
        self.assertEqual(200, short.status)
        self.assertEqual(1, sent)

    async def send_late(self, path, respond, deadline_ms=2_000):
        """Send a request late in a planned stop.

        :returns: status of the response, whether it is complete, and the
            number of requests that were passed on
        """
        async with gateway_fleet.GatewayFleet() as fleet:
            node = await fleet.start_node(grace_s=5.0)
            for desk in fleet.desks:
                desk.default_behaviour = respond_late
            os.kill(os.getpid(), signal.SIGTERM)
            await asyncio.sleep(2.0)
            # Something is in progress, so that the node goes on.
            earlier = asyncio.ensure_future(node.request("/safe/"))
            await asyncio.sleep(1.3)
            fleet.clear_arrivals()
            for worker in (*fleet.desks, *fleet.engines):
                worker.default_behaviour = respond
            response = await node.request(path, deadline_ms=deadline_ms)
            self.assertEqual(200, (await earlier).status)
            await node.task
            return response.status, response.is_complete, len(fleet.arrivals)

    # A planned stop cut requests that came late and were passed on.
    @async_tests.in_loop
    async def test_late_request_that_may_outlast_the_stop_is_refused(self):
        for path in ("/unsafe/", "/safe/"):
            result = await self.send_late(path, respond_late)
            self.assertEqual((503, True, 0), result, path)

    @async_tests.in_loop
    async def test_late_stream_that_may_outlast_the_stop_is_refused(self):
        slow = fake_endpoint.respond_events(20, pause_s=0.1)
        result = await self.send_late("/once/", slow)
        self.assertEqual((503, True, 0), result)

    @async_tests.in_loop
    async def test_late_request_that_ends_before_the_stop_is_served(self):
        result = await self.send_late(
            "/unsafe/", fake_endpoint.respond_plain, deadline_ms=900
        )
        self.assertEqual((200, True, 1), result)

    # While a stopping node waited for memory to be released, it still passed
    # requests on, and closed their connections when it was released.
    @async_tests.in_loop
    async def test_no_request_is_cut_while_memory_is_released(self):
        async with gateway_fleet.GatewayFleet(engines=4) as fleet:
            node = await fleet.start_node()
            for engine in fleet.engines:
                engine.default_behaviour = release_late
            for desk in fleet.desks:
                desk.default_behaviour = respond_soon
            fleet.publish(
                gateway_fleet.config(
                    version=2,
                    routes=[
                        _LONG_PROMPT_ROUTE,
                        gateway_fleet.route("unsafe", "unsafe", "desk"),
                    ],
                    limits={
                        "max_header_bytes": 4_096,
                        "max_body_bytes": 100_000,
                        "header_timeout_ms": 400,
                        "idle_timeout_ms": 15_000,
                    },
                )
            )
            await gateway_fleet.wait_until(
                lambda: node.gateway.config_version == 2
            )
            kept = [KeptConnection(*await node.connect()) for _ in range(12)]
            statuses = await asyncio.gather(
                *(c.request("/unsafe/", attempt_id="before") for c in kept)
            )
            self.assertEqual([200] * 12, statuses)
            prompt = asyncio.ensure_future(
                node.request("/chat/", extra=_LONG_PROMPT, deadline_ms=9_000)
            )
            await asyncio.sleep(0.2)
            os.kill(os.getpid(), signal.SIGTERM)
            self.assertEqual(200, (await prompt).status)
            # Callers are quiet for a moment, so that nothing is in progress.
            await asyncio.sleep(0.4)
            tasks = await send_on_open(kept, pause_s=0.1)
            await node.task
            unanswered = {
                attempt_id
                for attempt_id, task in tasks.items()
                if await task != 200
            }
            passed_on = {a.attempt_id for a in fleet.arrivals}
            for connection in kept:
                connection.close()
        self.assertEqual(set(), unanswered & passed_on)

    # A request that arrives as a stopping node closes kept connections is
    # answered, and the grace lasts as long for it as for the others.
    @async_tests.in_loop
    async def test_request_that_meets_the_close_is_answered(self):
        async with gateway_fleet.GatewayFleet() as fleet:
            node = await fleet.start_node()
            for desk in fleet.desks:
                desk.default_behaviour = respond_soon
            kept = [KeptConnection(*await node.connect()) for _ in range(40)]
            os.kill(os.getpid(), signal.SIGTERM)
            await asyncio.sleep(2.9)
            tasks = await send_on_open(kept, pause_s=0.007)
            await node.task
            results = {name: await task for name, task in tasks.items()}
            passed_on = {a.attempt_id for a in fleet.arrivals}
            for connection in kept:
                connection.close()
        cut = {n for n, status in results.items() if status != 200}
        self.assertEqual(set(), cut & passed_on)

    @async_tests.in_loop
    async def test_lost_responses_do_not_count_as_crashes(self):
        async with gateway_fleet.GatewayFleet(desks=4) as fleet:
            node = await fleet.start_node()
            for desk in fleet.desks:
                desk.behaviours = [fake_endpoint.crash] * 2
            for _ in range(3):
                await node.request("/safe/", body=b"unlucky")
                await asyncio.sleep(0.05)
            for desk in fleet.desks:
                desk.behaviours = []
            response = await node.request("/safe/", body=b"unlucky")
        self.assertEqual(200, response.status)
