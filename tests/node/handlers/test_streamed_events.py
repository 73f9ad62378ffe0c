"""Tests of writing the events of a streamed response."""

import asyncio
import contextlib

import testtools

from fireflyspur.clients import engine_client
from fireflyspur.node import http_server
from tests.support import prompt_handlers

_TEST_TIMEOUT_S = 30
_TOKENS = 1_000


def token(index, text):
    return engine_client.StreamLine("token", "r", 1, index, text)


class PausingRunner:
    """Yields two tokens, then waits for the event ``resume``."""

    def __init__(self):
        self.resume = asyncio.Event()

    async def run(self, request):
        yield token(0, "first")
        yield token(1, "second")
        await self.resume.wait()
        yield engine_client.StreamLine("done", "r", 1)


class FastRunner:
    """Yields more than the socket buffers can hold, until it is closed."""

    sent = 0
    is_closed = False

    async def run(self, request):
        try:
            for self.sent in range(_TOKENS):
                yield token(self.sent, "x" * 100_000)
        finally:
            self.is_closed = True


@contextlib.asynccontextmanager
async def connect(node, timeout_s):
    """Send a prompt and yield the connection before anything is read."""
    server, port = http_server.listen(
        http_server.caller_application(node), "127.0.0.1", 0
    )
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    body = b'{"model": "quill", "prompt": "p", "stream": true}'
    writer.write(
        b"POST /v1/completions HTTP/1.1\r\nHost: n\r\nRequest-Timeout: %d"
        b"\r\nContent-Length: %d\r\n\r\n%b" % (timeout_s, len(body), body)
    )
    async with asyncio.timeout(_TEST_TIMEOUT_S):
        yield reader, writer
    writer.close()
    server.stop()


class TestStreamedEvents(testtools.TestCase):
    def test_a_token_does_not_wait_for_the_next(self):
        """Guards against events that are delayed to be sent in batches."""

        async def run():
            runner = PausingRunner()
            node = prompt_handlers.make_node(runner)
            async with connect(node, 60) as (reader, _):
                await reader.readuntil(b"second")
                runner.resume.set()
                await reader.readuntil(b"data: [DONE]")

        asyncio.run(run())

    def test_a_caller_that_does_not_read_blocks_the_stream(self):
        """Guards against memory that grows until the request's deadline."""

        async def run():
            runner = FastRunner()
            node = prompt_handlers.make_node(runner)
            async with connect(node, 1) as (_, writer):
                writer.transport.pause_reading()
                while not (runner.is_closed and not node.drain.in_progress):
                    await asyncio.sleep(0.02)
            self.assertLess(runner.sent, _TOKENS - 1)

        asyncio.run(run())
