"""Endpoints in trouble: what their callers and other callers get."""

import asyncio

import testtools

from tests.support import async_tests
from tests.support import fake_endpoint
from tests.support import flood_server
from tests.support import gateway_fleet
from tests.support import loop_watch

_SEALED = (
    b"HTTP/1.1 200 OK\r\n"
    b"X-Fireflyspur-Instance-Id: engine-0\r\n"
    b"X-Fireflyspur-Response-Seal: seal\r\n"
)
# An ordinary request beside a flooded one ends within this time.
_BESIDE_S = 1.0


def events(count):
    return b"".join(fake_endpoint.event(n) for n in range(1, count + 1))


def stream_head(arrival, worker):
    return fake_endpoint.response_head(
        arrival, worker, "Transfer-Encoding: chunked"
    )


def resumable_config(timeout_ms):
    """Return a configuration with one route, whose streams may be resumed."""
    route = gateway_fleet.route(
        "chat",
        "streaming",
        "models",
        stream_resume=True,
        gap_aim_ms=200,
        timeout_ms=timeout_ms,
    )
    return gateway_fleet.config(routes=[route])


def register_flood(fleet, server):
    """Register a flooding server in place of the first engine."""
    engine = fleet.engines[0]
    fleet.register(engine, "models", address=str(server.address))


class FloodTest(testtools.TestCase):
    """Guards against one endpoint that stops a node for all its callers."""

    async def request_beside(self, start, block, path="/chat/"):
        """Return the response of a flooded request.

        An ordinary request to another service runs beside it.
        """
        with flood_server.FloodServer(start, block) as server:
            async with gateway_fleet.GatewayFleet(engines=1) as fleet:
                register_flood(fleet, server)
                node = await fleet.start_node()
                async with loop_watch.watch_loop() as watch:
                    flooded = asyncio.ensure_future(
                        node.request(path, deadline_ms=1_500)
                    )
                    await gateway_fleet.wait_until(lambda: server.connections)
                    async with asyncio.timeout(_BESIDE_S):
                        beside = await node.request("/safe/")
                    response = await flooded
        self.assertEqual(200, beside.status)
        self.assertLess(watch.longest_s, 0.5)
        return response

    @async_tests.in_loop
    async def test_interim_responses_without_end(self):
        hint = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
        response = await self.request_beside(b"", hint * 100)
        self.assertEqual(502, response.status)

    @async_tests.in_loop
    async def test_event_without_end(self):
        response = await self.request_beside(
            _SEALED + b"\r\nid: 1\ndata: ", b"x" * 60_000
        )
        self.assertEqual(502, response.status)

    @async_tests.in_loop
    async def test_comments_without_end(self):
        response = await self.request_beside(
            _SEALED + b"\r\n", b": more\n\n" * 8_000
        )
        self.assertFalse(response.status == 200 and response.is_complete)

    @async_tests.in_loop
    async def test_body_without_end(self):
        routes = [
            gateway_fleet.route("plain", "safe", "models"),
            gateway_fleet.route("safe", "safe", "desk"),
        ]
        with flood_server.FloodServer(
            _SEALED + b"\r\n", b"x" * 60_000
        ) as server:
            async with gateway_fleet.GatewayFleet(engines=1) as fleet:
                fleet.publish(gateway_fleet.config(routes=routes))
                register_flood(fleet, server)
                node = await fleet.start_node()
                reader, writer = await node.connect()
                writer.write(
                    gateway_fleet.request_bytes("/plain/", deadline_ms=9_000)
                )
                received = 0
                while data := await reader.read(1_000_000):
                    received += len(data)
                    tail = data
                writer.close()
        # It ends, and not as a complete response.
        self.assertLess(received, 80_000_000)
        self.assertFalse(tail.endswith(b"0\r\n\r\n"))


class ProgressTest(testtools.TestCase):
    """Guards against stalled streams that never end, and sound ones cut."""

    @async_tests.in_loop
    async def test_bytes_that_complete_no_event_do_not_hide_a_stall(self):
        async def trickle(worker, arrival, stream):
            if "last-event-id" in arrival.headers:
                await fake_endpoint.respond_events(3)(worker, arrival, stream)
                return
            await stream.write(
                stream_head(arrival, worker)
                + fake_endpoint.chunk(fake_endpoint.event(1))
            )
            while True:
                await asyncio.sleep(0.05)
                await stream.write(fake_endpoint.chunk(bytes_of_stall))

        for bytes_of_stall in (b": ping\n\n", b": a comment\n", b"x"):
            async with gateway_fleet.GatewayFleet() as fleet:
                node = await fleet.start_node()
                for engine in fleet.engines:
                    engine.default_behaviour = trickle
                response = await node.request("/chat/", deadline_ms=4_000)
            self.assertTrue(response.is_complete, bytes_of_stall)
            self.assertTrue(response.body.endswith(events(3)[-20:]))

    @async_tests.in_loop
    async def test_slow_stream_without_an_alternative_is_not_cut(self):
        slow = fake_endpoint.respond_events(3, pause_s=1.2)
        async with gateway_fleet.GatewayFleet(engines=1) as fleet:
            fleet.publish(resumable_config(timeout_ms=9_000))
            node = await fleet.start_node()
            fleet.engines[0].default_behaviour = slow
            response = await node.request("/chat/", deadline_ms=9_000)
        self.assertTrue(response.is_complete)
        self.assertEqual(events(3), response.body)

    @async_tests.in_loop
    async def test_slow_stream_is_not_cut_after_the_last_attempt(self):
        slow = fake_endpoint.respond_events(3, pause_s=1.2)
        async with gateway_fleet.GatewayFleet(engines=4) as fleet:
            fleet.publish(resumable_config(timeout_ms=15_000))
            node = await fleet.start_node()
            for engine in fleet.engines:
                engine.default_behaviour = slow
            response = await node.request("/chat/", deadline_ms=15_000)
        self.assertTrue(response.is_complete)
        self.assertEqual(events(3), response.body)


class BrokenEndTest(testtools.TestCase):
    """Guards against an answer that broke off and looks complete."""

    @async_tests.in_loop
    async def test_stream_that_closes_in_an_event_is_incomplete(self):
        async def stop_in_event(worker, arrival, stream):
            head = fake_endpoint.response_head(arrival, worker)
            await stream.write(head + fake_endpoint.event(1) + b"id: 2\ndat")

        async with gateway_fleet.GatewayFleet() as fleet:
            node = await fleet.start_node()
            for engine in fleet.engines:
                engine.default_behaviour = stop_in_event
            response = await node.request("/once/")
        self.assertFalse(response.is_complete)

    @async_tests.in_loop
    async def test_resumable_stream_that_closes_in_an_event_goes_on(self):
        async def stop_in_event(worker, arrival, stream):
            if "last-event-id" in arrival.headers:
                await fake_endpoint.respond_events(3)(worker, arrival, stream)
                return
            head = fake_endpoint.response_head(arrival, worker)
            await stream.write(head + fake_endpoint.event(1) + b"id: 2\ndat")

        async with gateway_fleet.GatewayFleet() as fleet:
            node = await fleet.start_node()
            for engine in fleet.engines:
                engine.default_behaviour = stop_in_event
            response = await node.request("/chat/")
        self.assertTrue(response.is_complete)
        self.assertEqual(events(3), response.body)

    @async_tests.in_loop
    async def test_stream_that_closes_before_its_first_event_is_incomplete(
        self,
    ):
        async def close_after_head(worker, arrival, stream):
            await stream.write(fake_endpoint.response_head(arrival, worker))

        async with gateway_fleet.GatewayFleet() as fleet:
            node = await fleet.start_node()
            for engine in fleet.engines:
                engine.default_behaviour = close_after_head
            response = await node.request("/once/")
        self.assertFalse(response.status == 200 and response.is_complete)

    @async_tests.in_loop
    async def test_stream_that_ends_in_an_event_is_incomplete_if_framed(self):
        async def end_in_event(worker, arrival, stream):
            body = fake_endpoint.chunk(events(1) + b"id: 2\ndat")
            await stream.write(stream_head(arrival, worker) + body)
            await stream.write(b"0\r\n\r\n")

        async with gateway_fleet.GatewayFleet() as fleet:
            node = await fleet.start_node()
            for engine in fleet.engines:
                engine.default_behaviour = end_in_event
            response = await node.request("/once/")
        self.assertFalse(response.is_complete)

    @async_tests.in_loop
    async def test_caller_that_knows_no_chunks_sees_that_a_stream_broke(self):
        async with gateway_fleet.GatewayFleet(engines=1) as fleet:
            node = await fleet.start_node()
            fleet.engines[0].default_behaviour = fake_endpoint.respond_events(
                5, stop_after=2
            )
            reader, writer = await node.connect()
            request = gateway_fleet.request_bytes("/once/")
            writer.write(request.replace(b"HTTP/1.1", b"HTTP/1.0", 1))
            # Without chunks, only a reset tells it from a complete response.
            with testtools.ExpectedException(ConnectionResetError):
                while await reader.read(1_000):
                    pass
            writer.close()


class ReusedConnectionTest(testtools.TestCase):
    """Guards against an answer that reaches the caller of another request."""

    @async_tests.in_loop
    async def test_late_second_copy_of_an_answer_reaches_nobody(self):
        async def respond_twice(worker, arrival, stream):
            body = arrival.body
            text = (
                fake_endpoint.response_head(
                    arrival, worker, f"Content-Length: {len(body)}"
                )
                + body
            )
            await stream.write(text)
            await asyncio.sleep(0.15)
            await stream.write(text)

        async with gateway_fleet.GatewayFleet(desks=1) as fleet:
            node = await fleet.start_node()
            fleet.desks[0].default_behaviour = respond_twice
            reader, writer = await node.connect()
            for number in range(4):
                body = f"request {number}".encode()
                writer.write(
                    gateway_fleet.request_bytes(
                        "/safe/", body=body, attempt_id=f"a{number}"
                    )
                )
                response = await gateway_fleet.read_response(reader)
                await asyncio.sleep(0.1)
                self.assertEqual(body, response.body)
                self.assertEqual(
                    f"a{number}",
                    response.headers["x-fireflyspur-attempt-id"],
                )
            writer.close()
