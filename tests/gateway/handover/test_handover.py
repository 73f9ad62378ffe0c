"""Requests that an isolated node hands over to other nodes."""

import asyncio
import os
import signal
import time

import testtools

from fireflyspur.gateway.common import clock
from fireflyspur.gateway.handover import handover_codec
from fireflyspur.gateway.requests import retry_budget
from tests.support import async_tests
from tests.support import fake_endpoint
from tests.support import gateway_fleet
from tests.support import partition
from tests.support import partitioned_fleet


def handover(node="node-1", **changes):
    """Return the header with which a node hands a request over."""
    info = handover_codec.HandoverInfo(
        **{
            "node": node,
            "sent_at_s": clock.now_s(),
            "elapsed_s": 0.0,
            "version": 1,
            **changes,
        }
    )
    (name, value), *_ = handover_codec.encode_request([], info)
    return f"{name.decode()}: {value.decode()}"


async def send_to_node(node, path, *extra):
    """Send a request to the address at which other nodes hand it over."""
    reader, writer = await node.connect(node.settings.peers)
    writer.write(gateway_fleet.request_bytes(path, extra=extra))
    try:
        return await gateway_fleet.read_response(reader)
    finally:
        writer.close()


class HandoverTest(testtools.TestCase):
    """Guards against handovers that break what holds for other requests."""

    @async_tests.in_loop
    async def test_stream_goes_on_when_the_other_node_ends(self):
        async with partitioned_fleet.start(nodes=3) as (
            fleet,
            links,
            (cut, *others),
        ):
            await partitioned_fleet.isolate(links, cut)
            for engine in fleet.engines:
                engine.default_behaviour = fake_endpoint.respond_events(
                    10, pause_s=0.1
                )
            streaming = asyncio.ensure_future(cut.request("/chat/"))
            await gateway_fleet.wait_until(lambda: links.connects)
            await asyncio.sleep(0.3)
            (carrier,) = set(links.connects)
            for node in others:
                if node.settings.node_name == carrier:
                    node.task.cancel()
            response = await streaming
        self.assertTrue(response.is_complete)
        for number in range(1, 11):
            event = fake_endpoint.event(number)
            self.assertEqual(1, response.body.count(event))

    @async_tests.in_loop
    async def test_unsafe_request_runs_once_when_the_other_node_ends(self):
        async with partitioned_fleet.start(nodes=3) as (
            fleet,
            links,
            (cut, *others),
        ):
            await partitioned_fleet.isolate(links, cut)
            for desk in fleet.desks:
                desk.arrivals.clear()
                desk.default_behaviour = fake_endpoint.never_respond
            sending = asyncio.ensure_future(cut.request("/unsafe/"))
            await gateway_fleet.wait_until(lambda: fleet.arrivals)
            (carrier,) = set(links.connects)
            for node in others:
                if node.settings.node_name == carrier:
                    node.task.cancel()
            response = await sending
            self.assertEqual(1, len(fleet.arrivals))
        self.assertEqual(502, response.status)

    @async_tests.in_loop
    async def test_caller_that_leaves_cancels_its_request(self):
        async with partitioned_fleet.start() as (fleet, links, (cut, other)):
            await partitioned_fleet.isolate(links, cut)
            for engine in fleet.engines:
                engine.default_behaviour = fake_endpoint.never_respond
            sending = asyncio.ensure_future(cut.request("/chat/"))
            await gateway_fleet.wait_until(
                lambda: any(e.arrivals for e in fleet.engines)
            )
            sending.cancel()
            await gateway_fleet.wait_until(
                lambda: any(e.cancelled for e in fleet.engines),
                timeout_s=0.5,
            )

    @async_tests.in_loop
    async def test_answer_of_an_endpoint_is_kept_if_no_node_takes_over(self):
        async with partitioned_fleet.start(desks=3) as (fleet, links, nodes):
            cut, other = nodes

            async def fail_and_cut(worker, arrival, stream):
                for node in nodes:
                    links.cut(node.settings.node_name, partition.Cut.REFUSE)
                await other.request("/safe/", attempt_id="a2")
                await fail(worker, arrival, stream)

            fail = fake_endpoint.respond_status("500 Failed", seal=True)
            for desk in fleet.desks:
                desk.default_behaviour = fail_and_cut
            response = await cut.request("/safe/")
        self.assertEqual(500, response.status)

    @async_tests.in_loop
    async def test_requests_are_refused_at_once_if_no_node_reaches_any(self):
        async with partitioned_fleet.start() as (fleet, links, nodes):
            for node in nodes:
                await partitioned_fleet.isolate(links, node)
            for node in nodes:
                await node.request("/safe/")
            started_s = time.monotonic()
            responses = [await node.request("/safe/") for node in nodes]
            lasted_s = time.monotonic() - started_s
        self.assertEqual([503, 503], [r.status for r in responses])
        self.assertTrue(all("retry-after" in r.headers for r in responses))
        self.assertLess(lasted_s, 0.2)

    @async_tests.in_loop
    async def test_node_in_planned_stop_completes_what_was_handed_over(self):
        async with partitioned_fleet.start() as (fleet, links, (cut, other)):
            await partitioned_fleet.isolate(links, cut)
            for engine in fleet.engines:
                engine.default_behaviour = fake_endpoint.respond_events(
                    10, pause_s=0.1
                )
            streaming = asyncio.ensure_future(cut.request("/once/"))
            await gateway_fleet.wait_until(lambda: links.connects)
            # The handler of the signal is that of the last node.
            os.kill(os.getpid(), signal.SIGTERM)
            response = await streaming
            later = await cut.request("/safe/")
        self.assertTrue(response.is_complete)
        self.assertEqual(503, later.status)

    @async_tests.in_loop
    async def test_what_an_endpoint_says_of_itself_binds_both_nodes(self):
        async def respond_leaving(worker, arrival, stream):
            text = fake_endpoint.response_head(
                arrival, worker, "Content-Length: 0", "Server-Leaving: 1"
            )
            await stream.write(text)

        async with partitioned_fleet.start() as (fleet, links, (cut, other)):
            await partitioned_fleet.isolate(links, cut)
            leaving = fleet.desks[0]
            leaving.arrivals.clear()
            leaving.default_behaviour = respond_leaving
            while not leaving.arrivals:
                await cut.request("/safe/")
            links.heal()
            fleet.store.fault = "busy"
            leaving.arrivals.clear()
            for node in (cut, other):
                await partitioned_fleet.send_all(node, "/safe/", 10, 0.02)
            self.assertEqual([], leaving.arrivals)

    @async_tests.in_loop
    async def test_request_counts_once_for_the_retry_budget(self):
        limits = retry_budget.RetryLimits(0.2, 0, 10.0)
        async with partitioned_fleet.start(settings={"retries": limits}) as (
            fleet,
            links,
            (cut, other),
        ):
            await partitioned_fleet.isolate(links, cut)
            await partitioned_fleet.send_all(cut, "/safe/", 20, 0.01)
            links.heal()
            await asyncio.sleep(1.0)
            sent = []
            for node in (other, cut):
                for desk in fleet.desks:
                    desk.behaviours = [fake_endpoint.crash]
                    desk.arrivals.clear()
                await node.request("/safe/")
                sent.append(len(fleet.arrivals))
        # The requests allow a retry where they were sent to endpoints.
        self.assertEqual([2, 1], sent)

    @async_tests.in_loop
    async def test_request_is_counted_at_the_node_that_was_asked(self):
        async with partitioned_fleet.start() as (fleet, links, (cut, other)):
            await partitioned_fleet.isolate(links, cut)
            self.assertIn("fireflyspur_lacks_paths 1.0", await cut.metrics())
            await cut.request("/safe/")
            metrics = [await node.metrics() for node in (cut, other)]
        counter = 'fireflyspur_requests_total{kind="safe",status="200"}'
        self.assertEqual([True, False], [counter in m for m in metrics])
        self.assertIn(
            'fireflyspur_handovers_total{result="Delivered"}', metrics[0]
        )

    @async_tests.in_loop
    async def test_node_uses_its_own_paths_again(self):
        async with partitioned_fleet.start() as (fleet, links, (cut, other)):
            await partitioned_fleet.isolate(links, cut)
            links.heal()
            await asyncio.sleep(1.0)
            links.connects.clear()
            responses = await partitioned_fleet.send_all(cut, "/safe/", 10)
        self.assertEqual({200}, {r.status for r in responses})
        self.assertEqual({"node-1"}, set(links.connects))


class HandoverServerTest(testtools.TestCase):
    """Guards against requests that others than nodes hand over, and loops."""

    async def assert_refused(self, status, outcome, *extra):
        async with partitioned_fleet.start() as (fleet, links, (first, node)):
            response = await send_to_node(node, "/safe/", *extra)
            self.assertEqual([], fleet.arrivals)
        self.assertEqual(status, response.status)
        self.assertEqual(outcome, response.headers.get("fireflyspur-outcome"))

    @async_tests.in_loop
    async def test_request_that_no_node_handed_over(self):
        await self.assert_refused(403, "not_run")

    @async_tests.in_loop
    async def test_sender_that_is_no_node(self):
        await self.assert_refused(403, "not_run", handover("stranger"))

    @async_tests.in_loop
    async def test_handover_that_cannot_be_read(self):
        for value in ("{", "[" * 3_000, '{"node": 1}', "{}", "\xff"):
            await self.assert_refused(
                403, "not_run", f"Fireflyspur-Handover: {value}"
            )

    @async_tests.in_loop
    async def test_newer_configuration_than_that_of_the_node(self):
        await self.assert_refused(503, "not_run", handover(version=2))

    @async_tests.in_loop
    async def test_request_is_not_handed_over_twice(self):
        async with partitioned_fleet.start(nodes=3) as (
            fleet,
            links,
            (first, node, third),
        ):
            await partitioned_fleet.isolate(links, node)
            await gateway_fleet.wait_until(lambda: not links.connects)
            response = await send_to_node(node, "/safe/", handover())
            self.assertEqual([], links.connects)
        self.assertEqual(503, response.status)
        self.assertEqual("not_run", response.headers["fireflyspur-outcome"])

    @async_tests.in_loop
    async def test_time_limit_is_what_is_left(self):
        async with partitioned_fleet.start() as (fleet, links, (first, node)):
            await send_to_node(node, "/safe/", handover(elapsed_s=1.5))
            (arrival,) = fleet.arrivals
        left_ms = int(arrival.headers["x-fireflyspur-deadline-ms"])
        self.assertLessEqual(left_ms, 500)
        self.assertNotIn("fireflyspur-handover", arrival.headers)

    @async_tests.in_loop
    async def test_attempts_of_both_nodes_count_together(self):
        async with partitioned_fleet.start() as (fleet, links, (first, node)):
            for desk in fleet.desks:
                desk.default_behaviour = fake_endpoint.crash
            await send_to_node(node, "/safe/", handover(tried=("gone",)))
            self.assertEqual(1, len(fleet.arrivals))

    @async_tests.in_loop
    async def test_callers_cannot_hand_requests_over(self):
        async with partitioned_fleet.start() as (fleet, links, (first, node)):
            response = await node.request(
                "/safe/", extra=[handover(tried=("a", "b"))]
            )
        self.assertEqual(200, response.status)
        self.assertNotIn("fireflyspur-outcome", response.headers)
