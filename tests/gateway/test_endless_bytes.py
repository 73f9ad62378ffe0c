"""Memory of a node while many endpoints or callers send without end."""

import asyncio
import contextlib
import itertools
import re
import socket
import tempfile

import testtools

from tests.support import async_tests
from tests.support import fake_endpoint
from tests.support import gateway_fleet
from tests.support import platform_process

# The settings allow 300 MB.
_MAX_RESIDENT_MB = 200
_CALLERS = 330
_ENDPOINTS = 14
_SLOTS = 24
_LASTS_S = 4.0
_BLOCK = b"x" * 60_000
_LIMITS = {
    "max_header_bytes": 4_096,
    "max_body_bytes": 4_194_304,
    "header_timeout_ms": 3_000,
    "idle_timeout_ms": 15_000,
}
_SEALED = ("Content-Type: text/event-stream",)


def _config():
    long = {"timeout_ms": 30_000}
    routes = [
        # The loop that floods the node also runs the sound endpoints.
        gateway_fleet.route("safe", "safe", "desk", timeout_ms=9_000),
        gateway_fleet.route("plain", "safe", "models", **long),
        gateway_fleet.route(
            "chat", "streaming", "models", stream_resume=True, **long
        ),
    ]
    services = [
        {"name": name, "health_check": "/health"}
        for name in ("desk", "models")
    ]
    return gateway_fleet.config(
        routes=routes, services=services, limits=_LIMITS
    )


def _without_end(*extra, block=_BLOCK, status="200 OK", seal=True):
    """Return a behaviour that repeats a block."""

    async def behaviour(worker, arrival, stream):
        await stream.write(
            fake_endpoint.response_head(
                arrival, worker, *extra, status=status, seal=seal
            )
        )
        while True:
            await stream.write(block)

    return behaviour


async def _head(worker, arrival, stream):
    """Send header lines without end."""
    await stream.write(b"HTTP/1.1 200 OK\r\n")
    while True:
        await stream.write(b"X-More: " + b"y" * 900 + b"\r\n")


async def _interim(worker, arrival, stream):
    """Send interim responses without end."""
    while True:
        await stream.write(b"HTTP/1.1 103 Early\r\nLink: </a>\r\n\r\n" * 50)


async def _held_event(worker, arrival, stream):
    """Send most of an event, and then a byte now and then."""
    head = fake_endpoint.response_head(arrival, worker, *_SEALED)
    await stream.write(head + b"id: 1\ndata: ")
    await stream.write(b"x" * 950_000)
    while True:
        await asyncio.sleep(0.2)
        await stream.write(b"x")


class _Reader:
    """Callers that send requests and read nothing."""

    def __init__(self, node, stack):
        self._node = node
        self._stack = stack

    async def connect(self):
        loop = asyncio.get_running_loop()
        connection = self._stack.enter_context(socket.socket())
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8_192)
        connection.setblocking(False)
        address = self._node.settings.callers
        await loop.sock_connect(connection, (address.host, address.port))
        return connection

    async def send(self, number, path):
        connection = await self.connect()
        data = gateway_fleet.request_bytes(
            path, attempt_id=f"a{number}", deadline_ms=30_000
        )
        await asyncio.get_running_loop().sock_sendall(connection, data)

    async def send_slow_body(self, number, path):
        """Send most of a body at once, and the rest slowly."""
        connection = await self.connect()
        data = gateway_fleet.request_bytes(
            path,
            attempt_id=f"a{number}",
            deadline_ms=30_000,
            body=b"b" * 4_100_000,
        )
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            await loop.sock_sendall(connection, data[:-100_000])
            for byte in data[-100_000:]:
                await asyncio.sleep(0.2)
                await loop.sock_sendall(connection, bytes((byte,)))


def _resident_mb(process):
    with open(f"/proc/{process.pid}/status") as file:
        return int(re.search(r"VmRSS:\s+(\d+)", file.read()).group(1)) / 1024


class EndlessBytesTest(testtools.TestCase):
    """Guards against a process that ends since others send without end.

    Each response and body was bounded, but not their sum: the memory of a
    node was used up, and the requests of all callers would end with it.
    """

    async def play(self, behaviour, send):
        """Check memory and sound requests while many callers are served.

        :param send: called with callers and a number
        """
        async with contextlib.AsyncExitStack() as stack:
            fleet = await stack.enter_async_context(
                gateway_fleet.GatewayFleet(engines=_ENDPOINTS)
            )
            folder = stack.enter_context(tempfile.TemporaryDirectory())
            for engine in fleet.engines:
                engine.default_behaviour = behaviour
                fleet.register(engine, "models", slots=_SLOTS)
            fleet.publish(_config())
            node = await stack.enter_async_context(
                platform_process.PlatformProcess(fleet, folder)
            )
            await node.wait_until_ready()
            callers = _Reader(node, stack)
            sending = [
                asyncio.ensure_future(send(callers, number))
                for number in range(_CALLERS)
            ]
            for task in sending:
                stack.callback(task.cancel)
            loop = asyncio.get_running_loop()
            end_s = loop.time() + _LASTS_S
            largest_mb, statuses = 0.0, []
            while loop.time() < end_s:
                response = await node.request("/safe/", deadline_ms=9_000)
                statuses.append(response.status)
                largest_mb = max(largest_mb, _resident_mb(node.process))
                await asyncio.sleep(0.05)
            self.assertIsNone(node.process.returncode)
            lines = node.log().count("Too many bytes held")
        self.addDetail(
            "figures",
            testtools.content.text_content(
                f"{largest_mb:.0f} MB, {len(statuses)} sound requests,"
                f" {lines} given up"
            ),
        )
        print(f"{self.id()}: {largest_mb:.0f} MB, {lines} given up")
        self.assertEqual({200}, set(statuses), len(statuses))
        self.assertLess(largest_mb, _MAX_RESIDENT_MB)

    async def play_responses(self, behaviour, path):
        await self.play(
            behaviour, lambda callers, number: callers.send(number, path)
        )

    @async_tests.in_loop
    async def test_heads(self):
        await self.play_responses(_head, "/plain/")

    @async_tests.in_loop
    async def test_interim_responses(self):
        await self.play_responses(_interim, "/plain/")

    @async_tests.in_loop
    async def test_bodies_without_length(self):
        await self.play_responses(_without_end(), "/plain/")

    @async_tests.in_loop
    async def test_chunked_bodies(self):
        chunk = fake_endpoint.chunk(_BLOCK)
        await self.play_responses(
            _without_end("Transfer-Encoding: chunked", block=chunk), "/plain/"
        )

    @async_tests.in_loop
    async def test_bodies_of_errors(self):
        await self.play_responses(
            _without_end(status="500 Internal Server Error"), "/plain/"
        )

    @async_tests.in_loop
    async def test_events(self):
        await self.play_responses(_without_end(*_SEALED), "/chat/")

    @async_tests.in_loop
    async def test_events_that_are_held(self):
        await self.play_responses(_held_event, "/chat/")

    @async_tests.in_loop
    async def test_many_small_events(self):
        block = b"".join(
            fake_endpoint.event(n) for n in itertools.islice(range(9**9), 3000)
        )
        await self.play_responses(
            _without_end(*_SEALED, block=block), "/chat/"
        )

    @async_tests.in_loop
    async def test_slow_bodies_of_callers(self):
        await self.play(
            fake_endpoint.respond_plain,
            lambda callers, number: callers.send_slow_body(number, "/plain/"),
        )
