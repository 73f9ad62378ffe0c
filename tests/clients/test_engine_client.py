"""Requests that the engine client sends."""

import asyncio
import contextlib
from unittest import mock

import msgspec
import testtools
from tornado import web

from fireflyspur.clients import engine_client
from fireflyspur.clients import exceptions
from fireflyspur.clients import http_client
from fireflyspur.node import http_server

_STREAM_REQUEST = engine_client.StreamRequest(
    "r", 1, "node:1", 0.0, "quill", "", "p" * 1_000_000, 1, 5
)


@contextlib.asynccontextmanager
async def engine(respond):
    """Serve an engine and yield a client's stream."""

    class Handler(web.RequestHandler):
        def post(self):
            respond(self)

        get = post

    application = web.Application([("/.*", Handler)], log_function=mock.Mock())
    server, port = http_server.listen(application, "127.0.0.1", 0)
    client = engine_client.EngineClient(http_client.create(), "node")
    address = engine_client.EngineAddress("e", "127.0.0.1", port)
    yield client.start_stream(address, _STREAM_REQUEST, 30.0)
    server.stop()


class TestEngineClient(testtools.TestCase):
    def test_a_prompt_is_sent_whole_and_then_released(self):
        """Guards against a second copy of each prompt while it streams."""
        received, bodies = [], []
        body_class = engine_client._Body
        line = b'{"type":"done","request_id":"r","attempt":1}\n'

        def respond(handler):
            received.append(msgspec.json.decode(handler.request.body))
            handler.write(line)

        def create_body(data):
            bodies.append(body_class(data))
            return bodies[0]

        async def run():
            async with engine(respond) as lines:
                return [line.type async for line in lines]

        with mock.patch.object(engine_client, "_Body", create_body):
            self.assertEqual(["done"], asyncio.run(run()))
        self.assertEqual(_STREAM_REQUEST.prompt, received[0]["prompt"])
        self.assertEqual(b"", bodies[0]._data)

    def test_a_redirect_is_not_followed(self):
        """Guards against sending a prompt to an unknown endpoint."""
        paths = []

        def respond(handler):
            paths.append(handler.request.path)
            handler.redirect("/elsewhere")

        async def run():
            async with engine(respond) as lines:
                async for _ in lines:
                    pass

        self.assertRaises(
            exceptions.EngineConnectionLostError, asyncio.run, run()
        )
        self.assertEqual(["/engine/v1/streams"], paths)

    def test_a_line_without_end_is_not_kept(self):
        """Guards against a faulty engine that uses up a node's memory."""

        def respond(handler):
            handler.write(b"x" * 300_000)

        async def run():
            async with engine(respond) as lines:
                async for _ in lines:
                    pass

        self.assertRaisesRegex(
            exceptions.EngineConnectionLostError,
            "longer than 65536",
            asyncio.run,
            run(),
        )
