"""Nodes that reach no endpoint while callers and other nodes reach them."""

import asyncio
import time

import testtools

from tests.support import async_tests
from tests.support import captured_logs
from tests.support import fake_endpoint
from tests.support import gateway_fleet
from tests.support import partition
from tests.support import partitioned_fleet

# Memory that is reserved for a request must be free this long after its end.
_FREE_S = 4.0
# A partition must have no more effect on callers after this time.
_STABLE_S = 3.0


class PartitionedNodeTest(testtools.TestCase):
    """Guards against refusals by a node that reaches no endpoint itself."""

    async def assert_serves(self, path, how):
        async with partitioned_fleet.start() as (fleet, links, (cut, other)):
            links.cut("node-1", how)
            # Requests that show the node that it reaches no endpoint.
            await partitioned_fleet.send_all(cut, path, 10, _STABLE_S / 10)
            links.connects.clear()
            responses = await partitioned_fleet.send_all(cut, path, 20)
            sent = {a.attempt_id for a in fleet.arrivals}
        self.assertEqual({200}, {r.status for r in responses})
        self.assertTrue(all(r.is_complete for r in responses))
        self.assertEqual({"node-2"}, set(links.connects))
        missing = {f"{path}-{n}" for n in range(20)} - sent
        self.assertEqual(set(), missing)

    @async_tests.in_loop
    async def test_safe_requests_when_connections_hang(self):
        await self.assert_serves("/safe/", partition.Cut.HANG)

    @async_tests.in_loop
    async def test_unsafe_requests_when_connections_hang(self):
        await self.assert_serves("/unsafe/", partition.Cut.HANG)

    @async_tests.in_loop
    async def test_streams_when_connections_hang(self):
        await self.assert_serves("/chat/", partition.Cut.HANG)

    @async_tests.in_loop
    async def test_streams_that_cannot_be_resumed(self):
        await self.assert_serves("/once/", partition.Cut.HANG)

    @async_tests.in_loop
    async def test_requests_when_connections_are_reset(self):
        await self.assert_serves("/chat/", partition.Cut.RESET)

    @async_tests.in_loop
    async def test_requests_when_only_new_connections_are_refused(self):
        await self.assert_serves("/safe/", partition.Cut.REFUSE)

    @async_tests.in_loop
    async def test_first_request_when_connections_are_refused(self):
        async with partitioned_fleet.start(desks=8) as (
            fleet,
            links,
            (cut, other),
        ):
            links.cut("node-1", partition.Cut.REFUSE)
            response = await cut.request("/unsafe/")
        self.assertEqual(200, response.status)

    @async_tests.in_loop
    async def test_stream_in_flight_goes_on(self):
        async with partitioned_fleet.start() as (fleet, links, (cut, other)):
            for engine in fleet.engines:
                engine.default_behaviour = fake_endpoint.respond_events(
                    20, pause_s=0.05
                )
            streaming = asyncio.ensure_future(
                cut.request("/chat/", deadline_ms=10_000)
            )
            await gateway_fleet.wait_until(lambda: fleet.arrivals)
            await asyncio.sleep(0.2)
            links.cut("node-1")
            response = await streaming
        self.assertTrue(response.is_complete)
        for number in range(1, 21):
            event = fake_endpoint.event(number)
            self.assertEqual(1, response.body.count(event))


class PoorPathsTest(testtools.TestCase):
    """Guards against a node that reaches few of the endpoints."""

    async def send_when_stable(self, nodes):
        """Return responses after the partition, and the time for all."""
        with captured_logs.capture() as records:
            async with partitioned_fleet.start(
                nodes=nodes, kept=1, desks=24, engines=1
            ) as (fleet, links, (cut, *others)):
                links.cut("node-1")
                await partitioned_fleet.send_all(
                    cut, "/safe/", 10, _STABLE_S / 10
                )
                started_s = time.monotonic()
                responses = await partitioned_fleet.send_all(cut, "/safe/", 20)
                lasted_s = time.monotonic() - started_s
        reasons = {r["extra"].get("reason") for r in records}
        self.assertNotIn("reported by node-1", reasons)
        return [r.status for r in responses], lasted_s

    @async_tests.in_loop
    async def test_other_nodes_run_its_requests(self):
        statuses, lasted_s = await self.send_when_stable(nodes=2)
        self.assertEqual([200] * 20, statuses)
        # None waited for connections that hang.
        self.assertLess(lasted_s, 1.5)

    @async_tests.in_loop
    async def test_without_other_nodes_it_uses_what_it_reaches(self):
        statuses, _ = await self.send_when_stable(nodes=1)
        # A request is refused after some endpoints that it cannot reach.
        self.assertGreater(statuses.count(200), 10)


class FailedEndpointsTest(testtools.TestCase):
    """Guards against failed endpoints that are taken for lost paths."""

    @async_tests.in_loop
    async def test_node_uses_the_only_endpoint_that_is_left(self):
        rounds = 16
        async with gateway_fleet.GatewayFleet(desks=5, engines=0) as fleet:
            node = await fleet.start_node()
            for desk in fleet.desks[:4]:
                desk.close()
            statuses = []
            for _ in range(rounds):
                for desk in fleet.desks:
                    node.gateway.directory.record_success(desk.instance)
                response = await node.request("/safe/")
                statuses.append(response.status)
                # Checks that the request has asked for end.
                await asyncio.sleep(0.05)
        self.assertEqual([200] * rounds, statuses)


class SoundNodesTest(testtools.TestCase):
    """Guards against a partitioned node that misleads the other nodes."""

    @async_tests.in_loop
    async def test_sound_node_keeps_all_endpoints_in_use(self):
        async with partitioned_fleet.start(desks=4, engines=4) as (
            fleet,
            links,
            (cut, sound),
        ):
            links.cut("node-1")
            await partitioned_fleet.send_all(cut, "/safe/", 8)
            await partitioned_fleet.send_all(cut, "/chat/", 8)
            directory = sound.gateway.directory
            paused = [i for i in directory.instances if directory.is_paused(i)]
        self.assertEqual([], paused)

    @async_tests.in_loop
    async def test_lost_streams_do_not_count_as_crashes(self):
        with captured_logs.capture() as records:
            async with partitioned_fleet.start(engines=4) as (
                fleet,
                links,
                (cut, sound),
            ):
                for engine in fleet.engines:
                    engine.default_behaviour = fake_endpoint.respond_events(
                        30, pause_s=0.1
                    )
                streams = [
                    asyncio.ensure_future(
                        cut.request("/chat/", body=bytes((n,)))
                    )
                    for n in range(4)
                ]
                await gateway_fleet.wait_until(
                    lambda: len(fleet.arrivals) == 4
                )
                await asyncio.sleep(0.2)
                links.cut("node-1", partition.Cut.RESET)
                await asyncio.sleep(1.0)
                for stream in streams:
                    stream.cancel()
        crashes = [r for r in records if r["message"] == "Answer broke off"]
        self.assertEqual([], crashes)


class ShortSilenceTest(testtools.TestCase):
    """Guards against ending an answer that only pauses for a second."""

    async def assert_completes(self, path, respond):
        async with partitioned_fleet.start(nodes=1) as (fleet, links, (node,)):
            for worker in (*fleet.desks, *fleet.engines):
                worker.default_behaviour = respond
            sending = asyncio.ensure_future(node.request(path))
            await gateway_fleet.wait_until(lambda: fleet.arrivals)
            await asyncio.sleep(0.1)
            links.cut("node-1")
            await asyncio.sleep(1.2)
            links.heal()
            response = await sending
            self.assertEqual(1, len(fleet.arrivals))
        self.assertEqual(200, response.status)
        self.assertTrue(response.is_complete)

    @async_tests.in_loop
    async def test_request_that_may_not_be_repeated(self):
        async def respond_late(worker, arrival, stream):
            await asyncio.sleep(0.4)
            await fake_endpoint.respond_plain(worker, arrival, stream)

        await self.assert_completes("/unsafe/", respond_late)

    @async_tests.in_loop
    async def test_stream_that_may_not_be_resumed(self):
        await self.assert_completes(
            "/once/", fake_endpoint.respond_events(8, pause_s=0.1)
        )

    # A lost endpoint was waited for until the time limit, so that memory which
    # was reserved for the request stayed set aside.
    @async_tests.in_loop
    async def test_lost_endpoint_is_given_up(self):
        routes = [
            gateway_fleet.route("unsafe", "unsafe", "desk", timeout_ms=10_000)
        ]
        async with gateway_fleet.GatewayFleet(desks=3) as fleet:
            fleet.publish(gateway_fleet.config(routes=routes))
            lost, *_ = fleet.desks
            with partition.Partition([lost.address]) as links:
                node = await fleet.start_node()
                for desk in fleet.desks:
                    desk.default_behaviour = fake_endpoint.never_respond
                sending = []
                while not lost.arrivals:
                    request = node.request("/unsafe/", deadline_ms=10_000)
                    sending.append(asyncio.ensure_future(request))
                    await asyncio.sleep(0.05)
                links.cut("node-1")
                started_s = time.monotonic()
                response = await sending[-1]
                lasted_s = time.monotonic() - started_s
                for request in sending:
                    request.cancel()
        self.assertEqual(502, response.status)
        self.assertLess(lasted_s, _FREE_S)
