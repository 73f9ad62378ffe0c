"""Responses to callers while a node stops."""

import asyncio
import os
import signal

import testtools

from tests.support import async_tests
from tests.support import fake_endpoint
from tests.support import gateway_fleet


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
