"""Connections of callers."""

import socket

import testtools
from tornado import iostream

from fireflyspur.gateway.callers import caller_server
from fireflyspur.gateway.configuration import routing_config
from tests.support import async_tests
from tests.support import captured_logs


class CallerServerTest(testtools.TestCase):
    """Guards against errors that are blamed on what callers do."""

    @async_tests.in_loop
    async def test_connection_that_is_closed_before_it_is_served(self):
        server = caller_server.CallerServer(
            None, None, lambda: routing_config.CallerLimits()
        )
        near, far = socket.socketpair()
        self.addCleanup(far.close)
        stream = iostream.IOStream(near)
        stream.close()
        with captured_logs.capture() as records:
            await server.handle_stream(stream, ("127.0.0.1", 1))
        self.assertEqual([], records)
