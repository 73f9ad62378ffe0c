"""Responses to malformed, oversized, slow and unauthorized requests."""

import asyncio

import testtools

from tests.support import async_tests
from tests.support import gateway_fleet


class BadInputTest(testtools.TestCase):
    """Guards against request smuggling and effects on other requests."""

    async def send(self, *chunks, pause_s=0.0, end=False):
        """Send bytes to a new node.

        :returns: the response, and the number of requests that reached the
            endpoint
        """
        async with gateway_fleet.GatewayFleet(desks=1) as fleet:
            node = await fleet.start_node()
            reader, writer = await node.connect()
            for chunk in chunks:
                writer.write(chunk)
                await asyncio.sleep(pause_s)
            if end:
                writer.write_eof()
            response = await gateway_fleet.read_response(reader)
            writer.close()
            later = await node.request("/safe/")
            self.assertEqual(200, later.status)
            return response, len(fleet.desks[0].arrivals) - 1

    def assert_refused(self, status, result):
        response, count = result
        self.assertEqual(status, response.status)
        self.assertEqual(0, count)

    def head(self, *lines):
        head = gateway_fleet.request_bytes("/safe/", body=b"")
        head = head.replace(b"Content-Length: 0\r\n", b"")
        head = head.removesuffix(b"\r\n")
        return head + b"".join(line + b"\r\n" for line in lines) + b"\r\n"

    @async_tests.in_loop
    async def test_numbers_that_are_too_large(self):
        for header in (
            f"X-Fireflyspur-Deadline-Ms: {'9' * 400}",
            f"X-Fireflyspur-Token-Count: {'9' * 400},{'9' * 400}",
            f"X-Fireflyspur-Token-Count: {2**40},{2**40}",
            f"X-Fireflyspur-Deadline-Ms: {'9' * 3_500}",
        ):
            async with gateway_fleet.GatewayFleet() as fleet:
                node = await fleet.start_node()
                for path in ("/safe/", "/chat/"):
                    response = await node.request(path, extra=[header])
                    self.assertIn(response.status, (200, 503), header)
                    self.assertTrue(response.is_complete)
                self.assertEqual(200, (await node.request("/safe/")).status)

    @async_tests.in_loop
    async def test_conflicting_lengths(self):
        result = await self.send(
            self.head(b"Content-Length: 3", b"Content-Length: 4") + b"abcd"
        )
        self.assert_refused(400, result)

    @async_tests.in_loop
    async def test_content_length_with_transfer_encoding(self):
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
    async def test_invalid_chunk_size(self):
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
    async def test_content_length_over_the_limit(self):
        result = await self.send(self.head(b"Content-Length: 100001"))
        self.assert_refused(413, result)

    @async_tests.in_loop
    async def test_chunked_body_over_the_limit(self):
        chunk = b"8000\r\n" + b"a" * 0x8000 + b"\r\n"
        result = await self.send(
            self.head(b"Transfer-Encoding: chunked") + chunk * 4
        )
        self.assert_refused(413, result)

    @async_tests.in_loop
    async def test_slow_headers(self):
        started_at_s = asyncio.get_running_loop().time()
        result = await self.send(b"POST /safe/ HTTP/1.1\r\n")
        self.assert_refused(408, result)
        elapsed_s = asyncio.get_running_loop().time() - started_at_s
        self.assertLess(elapsed_s, 2.0)

    @async_tests.in_loop
    async def test_body_that_trickles_is_given_up(self):
        async with gateway_fleet.GatewayFleet(desks=1) as fleet:
            node = await fleet.start_node()
            reader, writer = await node.connect()
            writer.write(self.head(b"Content-Length: 1000"))
            answer = asyncio.ensure_future(gateway_fleet.read_response(reader))
            # Each byte comes before the idle timeout of 0.8 s.
            async with asyncio.timeout(2.0):
                while not answer.done():
                    writer.write(b"x")
                    await asyncio.sleep(0.05)
            response = await answer
            writer.close()
            count = len(fleet.desks[0].arrivals)
        self.assert_refused(408, (response, count))

    @async_tests.in_loop
    async def test_unknown_key_and_route(self):
        async with gateway_fleet.GatewayFleet(desks=1) as fleet:
            node = await fleet.start_node()
            for options, status in (
                ({"key": "other"}, 401),
                ({"key": None}, 401),
                ({"host": "other.example"}, 404),
            ):
                response = await node.request("/safe/", **options)
                self.assertEqual(status, response.status)
            response = await node.request("/other/")
            self.assertEqual(404, response.status)
            self.assertEqual([], fleet.desks[0].arrivals)

    @async_tests.in_loop
    async def test_without_configuration(self):
        async with gateway_fleet.GatewayFleet() as fleet:
            node = await fleet.start_node(is_configured=False)
            await asyncio.sleep(0.1)
            response = await node.request("/safe/")
            self.assertEqual(503, response.status)
            self.assertEqual(503, await node.health())

    @async_tests.in_loop
    async def test_idle_connection_is_closed_after_its_timeout(self):
        async with gateway_fleet.GatewayFleet() as fleet:
            node = await fleet.start_node()
            reader, writer = await node.connect()
            writer.write(gateway_fleet.request_bytes("/safe/"))
            await gateway_fleet.read_response(reader)
            await asyncio.sleep(0.6)
            writer.write(gateway_fleet.request_bytes("/safe/"))
            response = await gateway_fleet.read_response(reader)
            self.assertEqual(200, response.status)
            loop = asyncio.get_running_loop()
            started_at_s = loop.time()
            self.assertEqual(b"", await reader.read())
            self.assertLess(abs(loop.time() - started_at_s - 0.8), 0.3)
            writer.close()

    @async_tests.in_loop
    async def test_pipelined_requests_get_responses_in_order(self):
        async with gateway_fleet.GatewayFleet(desks=1) as fleet:
            node = await fleet.start_node()
            reader, writer = await node.connect()
            writer.write(
                gateway_fleet.request_bytes("/safe/", attempt_id="p1")
                + gateway_fleet.request_bytes("/safe/", attempt_id="p2")
            )
            responses = [
                await gateway_fleet.read_response(reader) for _ in range(2)
            ]
            writer.close()
        self.assertEqual(
            ["p1", "p2"],
            [r.headers["x-fireflyspur-attempt-id"] for r in responses],
        )
