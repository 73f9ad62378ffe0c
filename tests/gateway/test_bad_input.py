"""What callers get for requests that can't be served as sent."""

import asyncio

import testtools

from tests.support import async_tests
from tests.support import gateway_fleet


class BadInputTest(testtools.TestCase):
    """Guards against smuggled requests and harm to other requests."""

    async def send(self, *parts, pause_s=0.0, end=False):
        """Send bytes to a new node; returns the reply and the arrivals."""
        async with gateway_fleet.GatewayFleet(desks=1) as fleet:
            node = await fleet.start_node()
            reader, writer = await node.connect()
            for part in parts:
                writer.write(part)
                await asyncio.sleep(pause_s)
            if end:
                writer.write_eof()
            reply = await gateway_fleet.read_response(reader)
            writer.close()
            other = await node.request("/safe/")
            self.assertEqual(200, other.status)
            return reply, len(fleet.desks[0].arrivals) - 1

    def assert_refused(self, status, result):
        reply, count = result
        self.assertEqual(status, reply.status)
        self.assertEqual(0, count)

    def head(self, *lines):
        start = gateway_fleet.request_bytes("/safe/", body=b"")
        start = start.replace(b"Content-Length: 0\r\n", b"")
        start = start.removesuffix(b"\r\n")
        return start + b"".join(line + b"\r\n" for line in lines) + b"\r\n"

    @async_tests.in_loop
    async def test_conflicting_lengths(self):
        result = await self.send(
            self.head(b"Content-Length: 3", b"Content-Length: 4") + b"abcd"
        )
        self.assert_refused(400, result)

    @async_tests.in_loop
    async def test_length_and_chunks(self):
        result = await self.send(
            self.head(b"Content-Length: 3", b"Transfer-Encoding: chunked")
            + b"0\r\n\r\n"
        )
        self.assert_refused(400, result)

    @async_tests.in_loop
    async def test_folded_header(self):
        result = await self.send(self.head(b"X-A: 1\r\n  folded"))
        self.assert_refused(400, result)

    @async_tests.in_loop
    async def test_broken_chunks(self):
        result = await self.send(
            self.head(b"Transfer-Encoding: chunked") + b"zz\r\nabc\r\n"
        )
        self.assert_refused(400, result)

    @async_tests.in_loop
    async def test_other_transfer_encoding(self):
        result = await self.send(self.head(b"Transfer-Encoding: gzip"))
        self.assert_refused(501, result)

    @async_tests.in_loop
    async def test_headers_over_the_limit(self):
        result = await self.send(self.head(b"X-A: " + b"a" * 10_000))
        self.assert_refused(431, result)

    @async_tests.in_loop
    async def test_announced_body_over_the_limit(self):
        result = await self.send(self.head(b"Content-Length: 100001"))
        self.assert_refused(413, result)

    @async_tests.in_loop
    async def test_chunked_body_over_the_limit(self):
        part = b"8000\r\n" + b"a" * 0x8000 + b"\r\n"
        result = await self.send(
            self.head(b"Transfer-Encoding: chunked") + part * 4
        )
        self.assert_refused(413, result)

    @async_tests.in_loop
    async def test_slow_headers(self):
        began = asyncio.get_running_loop().time()
        result = await self.send(b"POST /safe/ HTTP/1.1\r\n")
        self.assert_refused(408, result)
        took_s = asyncio.get_running_loop().time() - began
        self.assertLess(took_s, 2.0)

    @async_tests.in_loop
    async def test_unknown_key_and_route(self):
        async with gateway_fleet.GatewayFleet(desks=1) as fleet:
            node = await fleet.start_node()
            for options, status in (
                ({"key": "other"}, 401),
                ({"key": None}, 401),
                ({"host": "other.example"}, 404),
            ):
                reply = await node.request("/safe/", **options)
                self.assertEqual(status, reply.status)
            reply = await node.request("/other/")
            self.assertEqual(404, reply.status)
            self.assertEqual([], fleet.desks[0].arrivals)

    @async_tests.in_loop
    async def test_no_configuration_yet(self):
        async with gateway_fleet.GatewayFleet() as fleet:
            node = await fleet.start_node(is_configured=False)
            await asyncio.sleep(0.1)
            reply = await node.request("/safe/")
            self.assertEqual(503, reply.status)
            self.assertEqual(503, await node.health())

    @async_tests.in_loop
    async def test_idle_connection_is_closed_after_its_time(self):
        async with gateway_fleet.GatewayFleet() as fleet:
            node = await fleet.start_node()
            reader, writer = await node.connect()
            writer.write(gateway_fleet.request_bytes("/safe/"))
            await gateway_fleet.read_response(reader)
            await asyncio.sleep(0.6)
            writer.write(gateway_fleet.request_bytes("/safe/"))
            reply = await gateway_fleet.read_response(reader)
            self.assertEqual(200, reply.status)
            loop = asyncio.get_running_loop()
            began = loop.time()
            self.assertEqual(b"", await reader.read())
            self.assertLess(abs(loop.time() - began - 0.8), 0.3)
            writer.close()

    @async_tests.in_loop
    async def test_pipelined_requests_are_answered_in_order(self):
        async with gateway_fleet.GatewayFleet(desks=1) as fleet:
            node = await fleet.start_node()
            reader, writer = await node.connect()
            writer.write(
                gateway_fleet.request_bytes("/safe/", attempt_id="p1")
                + gateway_fleet.request_bytes("/safe/", attempt_id="p2")
            )
            replies = [
                await gateway_fleet.read_response(reader) for _ in range(2)
            ]
            writer.close()
        self.assertEqual(
            ["p1", "p2"],
            [r.headers["x-fireflyspur-attempt-id"] for r in replies],
        )
