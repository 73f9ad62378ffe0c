"""Answers that begin before the request has been written, and are reset."""

import asyncio
import socket
import struct

import testtools

from tests.support import async_tests
from tests.support import fake_endpoint
from tests.support import gateway_fleet

# More than both ends' socket buffers hold, so that the rest waits in the node.
_BODY_BYTES = 16 * 1024 * 1024
_PATHS = ("/safe/", "/unsafe/", "/chat/", "/once/")
_PARTS = (b"id: 1\ndata: a\n\n", b"part", b"")


class _EarlyEndpoint(fake_endpoint.FakeEndpoint):
    """Answers before it has read the body, then resets the connection.

    ``part`` is what it sends of its body, which has no length. The answer
    ends before the reset if ``is_shut_first``.
    """

    def __init__(self, instance):
        super().__init__(instance, None)
        self.part = b""
        self.is_shut_first = False

    async def handle_stream(self, stream, address):
        head = await stream.read_until(b"\r\n\r\n")
        lines = dict(
            line.lower().split(b": ", 1)
            for line in head.split(b"\r\n")[1:]
            if line
        )
        headers = {n.decode(): v.decode() for n, v in lines.items()}
        arrival = fake_endpoint.Arrival(0, "POST", "/", headers, b"")
        self.arrivals.append(arrival)
        await stream.write(
            fake_endpoint.response_head(arrival, self) + self.part
        )
        await asyncio.sleep(0.05)
        if self.is_shut_first:
            stream.socket.shutdown(socket.SHUT_WR)
            await asyncio.sleep(0.05)
        # Closing then sends a reset.
        linger = struct.pack("ii", 1, 0)
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        stream.close()


class EarlyAnswerTest(testtools.TestCase):
    """Guards against a part of an answer that a caller gets as a whole one.

    The endpoint answers a long upload with a 200 without a length, and resets
    the connection while the upload is still being written.
    """

    async def responses(self, is_shut_first):
        fleet = gateway_fleet.GatewayFleet(0, 0)
        desk, engine = _EarlyEndpoint("desk-0"), _EarlyEndpoint("engine-0")
        fleet.desks.append(desk)
        fleet.engines.append(engine)
        config = gateway_fleet.config()
        config["limits"]["max_body_bytes"] = _BODY_BYTES
        config["limits"]["header_timeout_ms"] = 3_000
        found = []
        async with fleet:
            fleet.publish(config)
            node = await fleet.start_node()
            for worker in (desk, engine):
                worker.is_shut_first = is_shut_first
            for path in _PATHS:
                for part in _PARTS:
                    desk.part = engine.part = part
                    for worker in (desk, engine):
                        node.gateway.directory.record_success(worker.instance)
                    body = bytes(_BODY_BYTES)
                    response = await node.request(path, body=body)
                    found.append((path, part, response))
        self.assertTrue(desk.arrivals)
        self.assertTrue(engine.arrivals)
        return found

    def assert_none_whole(self, found):
        whole = [
            (path, part)
            for path, part, response in found
            if response.status == 200 and response.is_complete
        ]
        self.assertEqual([], whole)

    @async_tests.in_loop
    async def test_answer_that_is_reset_during_the_upload_is_not_whole(self):
        self.assert_none_whole(await self.responses(is_shut_first=False))

    @async_tests.in_loop
    async def test_answer_that_ends_during_the_upload_is_not_whole(self):
        self.assert_none_whole(await self.responses(is_shut_first=True))
