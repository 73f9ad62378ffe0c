"""Connections of callers."""

import asyncio
import socket
import time

import testtools
from tornado import iostream

from fireflyspur.errors import verdict as verdicts
from fireflyspur.gateway.callers import caller_server
from fireflyspur.gateway.common import byte_budget
from fireflyspur.gateway.configuration import routing_config
from tests.support import async_tests
from tests.support import captured_logs
from tests.support import gateway_fleet
from tests.support import loopback


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

    # A body that was given up in its last part is whole nevertheless.
    @async_tests.in_loop
    async def test_body_that_is_given_up_when_it_is_whole_is_served(self):
        async def respond(connection, request):
            await connection.send_response(200, [], request.body)

        async def refuse(connection, error):
            refused.append(error)
            await connection.send_response(error.http_status, [], b"")

        refused = []
        budget = byte_budget.ByteBudget(lambda: 10)
        server = caller_server.CallerServer(
            respond, refuse, lambda: routing_config.CallerLimits(), budget
        )
        address = loopback.listen(server)
        reader, writer = await asyncio.open_connection(
            address.host, address.port
        )
        data = gateway_fleet.request_bytes("/safe/", body=b"b" * 50)
        for _ in range(2):
            writer.write(data)
            response = await gateway_fleet.read_response(reader)
            self.assertEqual(
                (200, b"b" * 50), (response.status, response.body)
            )
        self.assertEqual(2, budget.ended)
        writer.write(data[:-1])
        response = await gateway_fleet.read_response(reader)
        self.assertEqual(503, response.status)
        (error,) = refused
        self.assertEqual(verdicts.Verdict.NOT_RUN, error.verdict)
        self.assertEqual(1.0, error.retry_after_s)
        writer.close()
        await server.close()
        self.assertEqual(0, budget.held_bytes)

    # What a stop cut off at its end looked complete to callers that know no
    # chunks.
    @async_tests.in_loop
    async def test_response_that_a_close_cuts_off_looks_incomplete(self):
        is_held = asyncio.Event()

        async def hold(connection, request):
            await connection.send_head(200, [], None)
            await connection.send_body(b"the first part")
            is_held.set()
            await asyncio.sleep(10)

        server = caller_server.CallerServer(
            hold, None, lambda: routing_config.CallerLimits()
        )
        address = loopback.listen(server)
        reader, writer = await asyncio.open_connection(
            address.host, address.port
        )
        data = gateway_fleet.request_bytes("/once/")
        writer.write(data.replace(b"HTTP/1.1", b"HTTP/1.0", 1))
        await is_held.wait()
        server.stop()
        server.close_connections()
        with testtools.ExpectedException(ConnectionResetError):
            await reader.read()
        writer.close()

    # A request that was read as its connection was closed was lost.
    @async_tests.in_loop
    async def test_only_connections_without_any_byte_are_idle(self):
        async def respond(connection, request):
            await connection.send_response(200, [], request.body)

        server = caller_server.CallerServer(
            respond, None, lambda: routing_config.CallerLimits()
        )
        address = loopback.listen(server)
        opened = [
            await asyncio.open_connection(address.host, address.port)
            for _ in range(3)
        ]
        data = gateway_fleet.request_bytes("/safe/", body=b"whole")
        for reader, writer in opened:
            writer.write(data)
            await gateway_fleet.read_response(reader)
        await asyncio.sleep(0.05)
        (whole, first), (part, second), (none, third) = opened
        first.write(data)
        second.write(data[:9])
        time.sleep(0.02)
        # The loop has read the bytes then; their tasks have not yet run.
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        self.assertEqual(1, server.close_idle())
        second.write(data[9:])
        replies = [
            (await gateway_fleet.read_response(reader)).body
            for reader in (whole, part, none)
        ]
        self.assertEqual([b"whole", b"whole", b""], replies)
        for _, writer in opened:
            writer.close()
        await server.close()
