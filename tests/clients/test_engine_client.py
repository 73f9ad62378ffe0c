"""Client of the engines."""

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

_START = engine_client.StreamRequest(
    "r", 1, "node:1", 0.0, "quill", "", "p" * 1_000_000, 1, 5
)


@contextlib.asynccontextmanager
async def engine(answer):
    """Serve an engine; gives a client's stream from it."""

    class Handler(web.RequestHandler):
        def post(self):
            answer(self)

        get = post

    application = web.Application([("/.*", Handler)], log_function=mock.Mock())
    server, port = http_server.listen(application, "127.0.0.1", 0)
    client = engine_client.EngineClient(http_client.create(), "node")
    address = engine_client.EngineAddress("e", "127.0.0.1", port)
    yield client.start_stream(address, _START, 30.0)
    server.stop()


class TestEngineClient(testtools.TestCase):
    def test_a_prompt_is_sent_whole_and_then_dropped(self):
        """Guards against a second copy of each prompt while it streams."""
        received, held = [], []
        body = engine_client._Body
        line = b'{"type":"done","request_id":"r","attempt":1}\n'

        def answer(handler):
            received.append(msgspec.json.decode(handler.request.body))
            handler.write(line)

        def keep(data):
            held.append(body(data))
            return held[0]

        async def run():
            async with engine(answer) as lines:
                return [line.type async for line in lines]

        with mock.patch.object(engine_client, "_Body", keep):
            self.assertEqual(["done"], asyncio.run(run()))
        self.assertEqual(_START.prompt, received[0]["prompt"])
        self.assertEqual(b"", held[0]._data)

    def test_a_redirect_is_not_followed(self):
        """Guards against a prompt that goes to an unknown endpoint."""
        asked = []

        def answer(handler):
            asked.append(handler.request.path)
            handler.redirect("/elsewhere")

        async def run():
            async with engine(answer) as lines:
                async for _ in lines:
                    pass

        self.assertRaises(
            exceptions.EngineConnectionLostError, asyncio.run, run()
        )
        self.assertEqual(["/engine/v1/streams"], asked)
