"""Tests of what the shared HTTP client takes for a response."""

import contextlib
import socket
import struct

import testtools
from tornado import simple_httpclient
from tornado import tcpserver

from fireflyspur.clients import http_client
from tests.support import async_tests
from tests.support import loopback

_BODY_BYTES = 16 * 1024 * 1024


class _Server(tcpserver.TCPServer):
    """Sends bytes after the head of a request, and closes.

    :param is_reset: whether it resets the connection
    """

    def __init__(self, data, is_reset=False):
        super().__init__()
        self.data = data
        self.is_reset = is_reset

    async def handle_stream(self, stream, address):
        await stream.read_until(b"\r\n\r\n")
        await stream.write(self.data)
        if self.is_reset:
            linger = struct.pack("ii", 1, 0)
            stream.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, linger
            )
        stream.close()


async def _fetch(data, body=None, is_reset=False):
    server = _Server(data, is_reset)
    with contextlib.ExitStack() as stack:
        address = loopback.listen(server)
        stack.callback(server.stop)
        client = http_client.create()
        stack.callback(client.close)
        return await client.fetch(
            f"http://{address}/",
            method="GET" if body is None else "POST",
            body=body,
            raise_error=False,
        )


class TestHttpClient(testtools.TestCase):
    """Guards against responses that are none, or only a part of one."""

    # A part was taken for the whole, as the end of the connection ends it.
    @async_tests.in_loop
    async def test_body_without_length_that_is_reset_is_not_whole(self):
        head = b"HTTP/1.1 200 OK\r\nX: 1\r\n\r\n"
        for part in (b"part", b""):
            for body in (None, bytes(_BODY_BYTES)):
                with testtools.ExpectedException(
                    simple_httpclient.HTTPStreamClosedError, ".*broke off"
                ):
                    await _fetch(head + part, body, is_reset=True)

    @async_tests.in_loop
    async def test_body_that_ends_with_the_connection_is_whole(self):
        response = await _fetch(b"HTTP/1.1 200 OK\r\nX: 1\r\n\r\nwhole")
        self.assertEqual((200, b"whole"), (response.code, response.body))

    @async_tests.in_loop
    async def test_status_that_is_none_is_no_response(self):
        for status in (b"000 OK", b"099 Low", b"600 High", b"999 Max"):
            head = b"HTTP/1.1 " + status + b"\r\nContent-Length: 4\r\n\r\n"
            with testtools.ExpectedException(
                simple_httpclient.HTTPStreamClosedError, ".*invalid status"
            ):
                await _fetch(head + b"body")
