"""Requests that endpoints receive and responses that callers get."""

import asyncio

import testtools

from fireflyspur.gateway.requests import retry_budget
from tests.support import async_tests
from tests.support import fake_endpoint
from tests.support import gateway_fleet


def arrivals(fleet, *, of="desks"):
    found = [a for w in getattr(fleet, of) for a in w.arrivals]
    return sorted(found, key=lambda arrival: arrival.number)


class PlainResponseTest(testtools.TestCase):
    """Guards against requests and responses that are changed or mixed up.

    Also guards against requests that run twice.
    """

    @async_tests.in_loop
    async def test_request_and_response_are_forwarded(self):
        async with gateway_fleet.GatewayFleet() as fleet:
            node = await fleet.start_node()
            reply = await node.request(
                "/safe/x%20y?q=1",
                body=b"abc",
                extra=["X-Own: 7", "Connection: x-hop", "X-Hop: 1"],
            )
            (arrival,) = arrivals(fleet)
        self.assertEqual(200, reply.status)
        self.assertTrue(reply.body.startswith(b"body of desk-"))
        self.assertIn("x-fireflyspur-response-seal", reply.headers)
        self.assertEqual("/safe/x%20y?q=1", arrival.target)
        self.assertEqual("POST", arrival.method)
        self.assertEqual(b"abc", arrival.body)
        self.assertEqual("7", arrival.headers["x-own"])
        self.assertNotIn("x-hop", arrival.headers)
        self.assertNotIn("authorization", arrival.headers)

    @async_tests.in_loop
    async def test_account_header_of_the_caller_is_replaced(self):
        async with gateway_fleet.GatewayFleet() as fleet:
            node = await fleet.start_node()
            await node.request(
                "/safe/", extra=["X-Fireflyspur-Tenant: somebody"]
            )
            await node.request(
                "/open/", key=None, extra=["X-Fireflyspur-Tenant: somebody"]
            )
            first, second = arrivals(fleet)
        self.assertEqual(
            gateway_fleet.ACCOUNT, first.headers["x-fireflyspur-tenant"]
        )
        self.assertNotIn("x-fireflyspur-tenant", second.headers)

    @async_tests.in_loop
    async def test_deadline_is_the_earlier_one_of_route_and_caller(self):
        async with gateway_fleet.GatewayFleet() as fleet:
            node = await fleet.start_node()
            await node.request("/safe/", deadline_ms=500)
            await node.request("/safe/", deadline_ms=60_000)
            remaining_ms = [
                int(a.headers["x-fireflyspur-deadline-ms"])
                for a in arrivals(fleet)
            ]
        self.assertLessEqual(min(remaining_ms), 500)
        self.assertGreater(min(remaining_ms), 300)
        self.assertLessEqual(max(remaining_ms), 2_000)

    @async_tests.in_loop
    async def test_unsafe_request_runs_once_if_its_response_is_lost(
        self,
    ):
        async with gateway_fleet.GatewayFleet() as fleet:
            node = await fleet.start_node()
            for desk in fleet.desks:
                desk.behaviours = [fake_endpoint.crash]
            reply = await node.request("/unsafe/")
            count = len(arrivals(fleet))
        self.assertEqual(502, reply.status)
        self.assertEqual(1, count)

    @async_tests.in_loop
    async def test_unsafe_request_is_retried_if_it_has_not_run(self):
        async with gateway_fleet.GatewayFleet() as fleet:
            node = await fleet.start_node()
            refuse = fake_endpoint.respond_status(
                "503 Full", "X-Fireflyspur-Not-Executed: 1"
            )
            fleet.desks[0].default_behaviour = refuse
            replies = [await node.request("/unsafe/") for _ in range(4)]
        self.assertEqual([200] * 4, [r.status for r in replies])

    @async_tests.in_loop
    async def test_not_run_status_without_guarantee_is_not_relayed(self):
        async with gateway_fleet.GatewayFleet(desks=1) as fleet:
            node = await fleet.start_node()
            for status in ("503 Full", "429 Many", "408 Slow"):
                fleet.desks[0].behaviours = [
                    fake_endpoint.respond_status(status)
                ]
                reply = await node.request("/unsafe/", body=status.encode())
                self.assertEqual(502, reply.status)

    @async_tests.in_loop
    async def test_safe_request_is_retried(self):
        async with gateway_fleet.GatewayFleet() as fleet:
            node = await fleet.start_node()
            for failing_behaviour in (
                fake_endpoint.crash,
                fake_endpoint.respond_status("500 Error", seal=True),
                fake_endpoint.respond_raw(b"not http\r\n\r\n"),
            ):
                for desk in fleet.desks:
                    desk.behaviours = []
                fleet.desks[0].default_behaviour = failing_behaviour
                reply = await node.request("/safe/")
                self.assertEqual(200, reply.status)

    @async_tests.in_loop
    async def test_error_response_is_relayed_with_its_seal(self):
        async with gateway_fleet.GatewayFleet(desks=1) as fleet:
            node = await fleet.start_node()
            fleet.desks[0].default_behaviour = fake_endpoint.respond_status(
                "500 Error", seal=True
            )
            reply = await node.request("/unsafe/")
        self.assertEqual(500, reply.status)
        self.assertEqual(b"failed", reply.body)
        self.assertIn("x-fireflyspur-response-seal", reply.headers)

    @async_tests.in_loop
    async def test_invalid_success_response_is_not_relayed(self):
        async with gateway_fleet.GatewayFleet(desks=1) as fleet:
            node = await fleet.start_node()
            seal = b"X-Fireflyspur-Response-Seal: s\r\n"
            status_line = b"HTTP/1.1 200 OK\r\n"
            for response in (
                status_line + b"Content-Length: 2\r\n\r\nok",
                status_line + seal + b"Content-Length: 9\r\n\r\nok",
                status_line
                + seal
                + b"X-Fireflyspur-Attempt-Id: other\r\n"
                + b"Content-Length: 2\r\n\r\nok",
                status_line
                + seal
                + b"Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok",
            ):
                fleet.desks[0].behaviours = [
                    fake_endpoint.respond_raw(response)
                ]
                reply = await node.request("/unsafe/", body=response)
                self.assertEqual(502, reply.status, response)

    @async_tests.in_loop
    async def test_bytes_after_the_response_are_discarded(self):
        async def respond_twice(worker, arrival, stream):
            text = (
                fake_endpoint.response_head(
                    arrival, worker, "Content-Length: 2"
                )
                + b"ok"
            )
            await stream.write(text + text)

        async with gateway_fleet.GatewayFleet(desks=1) as fleet:
            node = await fleet.start_node()
            fleet.desks[0].behaviours = [respond_twice]
            reader, writer = await node.connect()
            writer.write(gateway_fleet.request_bytes("/safe/"))
            first = await gateway_fleet.read_response(reader)
            writer.write(gateway_fleet.request_bytes("/safe/"))
            second = await gateway_fleet.read_response(reader)
            writer.close()
        self.assertEqual((200, b"ok"), (first.status, first.body))
        self.assertEqual(b"body of desk-0", second.body)

    @async_tests.in_loop
    async def test_response_without_a_length_ends_with_its_connection(self):
        async def respond_without_length(worker, arrival, stream):
            await stream.write(
                fake_endpoint.response_head(arrival, worker) + b"all of it"
            )

        async with gateway_fleet.GatewayFleet(desks=1) as fleet:
            node = await fleet.start_node()
            fleet.desks[0].behaviours = [respond_without_length]
            reply = await node.request("/unsafe/")
        self.assertEqual((200, b"all of it"), (reply.status, reply.body))

    @async_tests.in_loop
    async def test_request_is_cancelled_when_the_caller_disconnects(self):
        async with gateway_fleet.GatewayFleet(desks=1) as fleet:
            node = await fleet.start_node()
            desk = fleet.desks[0]
            desk.default_behaviour = fake_endpoint.never_respond
            reader, writer = await node.connect()
            writer.write(gateway_fleet.request_bytes("/unsafe/"))
            await gateway_fleet.wait_until(lambda: desk.arrivals)
            writer.close()
            await gateway_fleet.wait_until(lambda: desk.cancelled, 0.4)

    @async_tests.in_loop
    async def test_request_times_out_at_the_limit_of_the_route(self):
        routes = [
            gateway_fleet.route("unsafe", "unsafe", "desk", timeout_ms=300)
        ]
        async with gateway_fleet.GatewayFleet(desks=1) as fleet:
            fleet.publish(gateway_fleet.config(routes=routes))
            node = await fleet.start_node()
            fleet.desks[0].default_behaviour = fake_endpoint.never_respond
            loop = asyncio.get_running_loop()
            start_s = loop.time()
            reply = await node.request("/unsafe/")
            elapsed_s = loop.time() - start_s
        self.assertEqual(504, reply.status)
        self.assertLess(elapsed_s, 0.8)

    @async_tests.in_loop
    async def test_request_is_refused_at_once_if_no_endpoint_is_ready(self):
        async with gateway_fleet.GatewayFleet() as fleet:
            node = await fleet.start_node()
            for desk in fleet.desks:
                fleet.register(desk, "desk", state="draining")
            directory = node.gateway.directory
            await gateway_fleet.wait_until(lambda: not directory.ready("desk"))
            reply = await node.request("/unsafe/")
        self.assertEqual(503, reply.status)
        self.assertGreater(float(reply.headers["retry-after"]), 0)
        self.assertIn(b"no endpoint is ready", reply.body)

    @async_tests.in_loop
    async def test_request_is_refused_if_no_engine_has_a_free_slot(self):
        async with gateway_fleet.GatewayFleet(engines=1) as fleet:
            node = await fleet.start_node()
            engine = fleet.engines[0]
            engine.default_behaviour = fake_endpoint.never_respond
            streams = [
                asyncio.ensure_future(
                    node.request("/once/", body=bytes((number,)))
                )
                for number in range(8)
            ]
            await gateway_fleet.wait_until(lambda: len(engine.arrivals) == 8)
            reply = await node.request("/once/")
            for stream in streams:
                stream.cancel()
        self.assertEqual(503, reply.status)
        self.assertIn(b"no endpoint has room", reply.body)


class StreamTest(testtools.TestCase):
    """Guards against lost, repeated and merged events of streams."""

    def events(self, count):
        return b"".join(fake_endpoint.event(n) for n in range(1, count + 1))

    @async_tests.in_loop
    async def test_stream_is_resumed_after_the_last_complete_event(self):
        async with gateway_fleet.GatewayFleet() as fleet:
            node = await fleet.start_node()
            cut_off = fake_endpoint.respond_events(
                5, stop_after=2, partial=b"id: 3\ndata: tok"
            )
            fleet.engines[0].behaviours = [cut_off]
            fleet.engines[1].behaviours = [cut_off]
            reply = await node.request("/chat/")
            sent = arrivals(fleet, of="engines")
        self.assertEqual(self.events(5), reply.body)
        self.assertEqual("2", sent[1].headers["last-event-id"])

    @async_tests.in_loop
    async def test_resumed_stream_is_complete(self):
        async with gateway_fleet.GatewayFleet() as fleet:
            node = await fleet.start_node()
            cut_off = fake_endpoint.respond_events(
                5, stop_after=3, partial=b"id: 4\ndat"
            )
            first = True

            async def cut_off_once(worker, arrival, stream):
                nonlocal first
                behaviour = (
                    cut_off if first else fake_endpoint.respond_events(5)
                )
                first = False
                await behaviour(worker, arrival, stream)

            for engine in fleet.engines:
                engine.default_behaviour = cut_off_once
            reply = await node.request("/chat/")
            sent = arrivals(fleet, of="engines")
            seal = reply.headers["x-fireflyspur-response-seal"]
            instances = [
                e.instance
                for e in fleet.engines
                for a in e.arrivals
                if "last-event-id" not in a.headers
            ]
        self.assertEqual(self.events(5), reply.body)
        self.assertTrue(reply.is_complete)
        self.assertEqual(2, len(sent))
        self.assertEqual([seal], [f"seal-{i}" for i in instances])

    @async_tests.in_loop
    async def test_stream_that_may_not_be_resumed_is_left_incomplete(self):
        async with gateway_fleet.GatewayFleet() as fleet:
            node = await fleet.start_node()
            for engine in fleet.engines:
                engine.default_behaviour = fake_endpoint.respond_events(
                    5, stop_after=2
                )
            reply = await node.request("/once/")
            count = len(arrivals(fleet, of="engines"))
        self.assertFalse(reply.is_complete)
        self.assertEqual(self.events(2), reply.body)
        self.assertEqual(1, count)

    @async_tests.in_loop
    async def test_last_event_id_of_the_caller_is_forwarded(self):
        async with gateway_fleet.GatewayFleet() as fleet:
            node = await fleet.start_node()
            reply = await node.request("/chat/", extra=["Last-Event-Id: 3"])
        self.assertEqual(
            fake_endpoint.event(4) + fake_endpoint.event(5), reply.body
        )

    @async_tests.in_loop
    async def test_events_are_relayed_as_they_arrive(self):
        async with gateway_fleet.GatewayFleet() as fleet:
            node = await fleet.start_node()
            for engine in fleet.engines:
                engine.default_behaviour = fake_endpoint.respond_events(
                    3, pause_s=0.2
                )
            reader, writer = await node.connect()
            writer.write(gateway_fleet.request_bytes("/chat/"))
            loop = asyncio.get_running_loop()
            await reader.readuntil(b"data: token-1")
            first_at = loop.time()
            await reader.readuntil(b"data: token-3")
            gap_s = loop.time() - first_at
            writer.close()
        self.assertGreater(gap_s, 0.3)


class SilenceTest(testtools.TestCase):
    """Guards against callers that wait for a response that never arrives."""

    @async_tests.in_loop
    async def test_request_is_run_elsewhere_if_its_stream_does_not_start(self):
        async def stall_first(worker, arrival, stream):
            if sum(len(e.arrivals) for e in fleet.engines) == 1:
                await fake_endpoint.never_respond(worker, arrival, stream)
            await fake_endpoint.respond_events()(worker, arrival, stream)

        async with gateway_fleet.GatewayFleet() as fleet:
            node = await fleet.start_node()
            for engine in fleet.engines:
                engine.default_behaviour = stall_first
            reply = await node.request("/chat/")
        self.assertEqual(200, reply.status)
        self.assertTrue(reply.is_complete)

    @async_tests.in_loop
    async def test_stream_that_stalls_is_resumed_elsewhere(self):
        async def stall_once(worker, arrival, stream):
            if "last-event-id" not in arrival.headers:
                text = fake_endpoint.response_head(
                    arrival, worker, "Transfer-Encoding: chunked"
                )
                await stream.write(
                    text + fake_endpoint.chunk(fake_endpoint.event(1))
                )
                await fake_endpoint.never_respond(worker, arrival, stream)
            await fake_endpoint.respond_events(3)(worker, arrival, stream)

        async with gateway_fleet.GatewayFleet() as fleet:
            node = await fleet.start_node()
            for engine in fleet.engines:
                engine.default_behaviour = stall_once
            reply = await node.request("/chat/")
        self.assertTrue(reply.is_complete)
        self.assertEqual(
            b"".join(fake_endpoint.event(n) for n in (1, 2, 3)), reply.body
        )

    @async_tests.in_loop
    async def test_slow_unsafe_request_is_not_abandoned(self):
        async def respond_slowly(worker, arrival, stream):
            await asyncio.sleep(1.2)
            await fake_endpoint.respond_plain(worker, arrival, stream)

        async with gateway_fleet.GatewayFleet(desks=2) as fleet:
            node = await fleet.start_node()
            for desk in fleet.desks:
                desk.default_behaviour = respond_slowly
            reply = await node.request("/unsafe/")
            count = len(arrivals(fleet))
        self.assertEqual((200, 1), (reply.status, count))

    @async_tests.in_loop
    async def test_unreachable_endpoints_do_not_count_as_attempts(self):
        # Endpoints are tried in random order. If unreachable ones counted as
        # attempts, a round would fail more often than not.
        rounds = 12
        async with gateway_fleet.GatewayFleet(desks=5) as fleet:
            node = await fleet.start_node()
            for desk in fleet.desks[:4]:
                desk.close()
            statuses = []
            for _ in range(rounds):
                for desk in fleet.desks:
                    node.gateway.directory.record_success(desk.instance)
                reply = await node.request("/unsafe/")
                statuses.append(reply.status)
        self.assertEqual([200] * rounds, statuses)

    @async_tests.in_loop
    async def test_unreachable_endpoint_uses_no_retry(self):
        # Exactly one retry is allowed.
        limits = retry_budget.RetryLimits(0.0, 1.3, 10.0)
        failure = fake_endpoint.respond_status("500 Error", seal=True)
        async with gateway_fleet.GatewayFleet(desks=4) as fleet:
            node = await fleet.start_node(retries=limits)
            first, *closed, last = fleet.desks
            for desk in closed:
                desk.close()
                fleet.register(desk, "desk", zone="zone-b")
            first.default_behaviour = last.default_behaviour = failure
            # Endpoints are tried in this order: the one in the failure domain
            # of the node, the unreachable ones in another failure domain, and
            # the one that had a fault.
            directory = node.gateway.directory
            directory.record_fault(last.instance, "test")
            await gateway_fleet.wait_until(
                lambda: (
                    directory.find_named(closed[0].instance).failure_domain
                    == "zone-b"
                    and not directory.is_paused(last.instance)
                )
            )
            await node.request("/safe/")
            counts = [len(desk.arrivals) for desk in fleet.desks]
        self.assertEqual([1, 0, 0, 1], counts)

    @async_tests.in_loop
    async def test_request_without_another_ready_endpoint_uses_no_retry(self):
        # Exactly one retry is allowed.
        limits = retry_budget.RetryLimits(0.0, 1.3, 10.0)
        failure = fake_endpoint.respond_status("500 Error", seal=True)
        async with gateway_fleet.GatewayFleet(desks=2) as fleet:
            node = await fleet.start_node(retries=limits)
            directory = node.gateway.directory
            first, second = fleet.desks
            first.default_behaviour = second.default_behaviour = failure
            fleet.register(second, "desk", state="draining")
            await gateway_fleet.wait_until(
                lambda: len(directory.ready("desk")) == 1
            )
            reply = await node.request("/safe/")
            fleet.register(second, "desk")
            await gateway_fleet.wait_until(
                lambda: len(directory.ready("desk")) == 2
            )
            await node.request("/safe/")
        self.assertEqual(2, len(first.arrivals))
        self.assertEqual(1, len(second.arrivals))
        # The endpoint's error response is relayed if no other can be tried.
        self.assertEqual((500, b"failed"), (reply.status, reply.body))


class InternalErrorTest(testtools.TestCase):
    """Guards against an internal error that affects other requests."""

    @async_tests.in_loop
    async def test_internal_error_closes_only_its_own_connection(self):
        async with gateway_fleet.GatewayFleet(desks=1) as fleet:
            node = await fleet.start_node()
            planner = node.gateway._forwarder._deps.planner
            plan, planner.plan = planner.plan, None
            reply = await node.request("/safe/")
            planner.plan = plan
            later = await node.request("/safe/")
        self.assertEqual((0, 200), (reply.status, later.status))
