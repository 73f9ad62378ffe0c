"""Responses that never end, as the HTTP client reads them."""

import asyncio
import contextlib
import time

import testtools

from fireflyspur.gateway.common import exceptions
from fireflyspur.gateway.requests import http_exchange
from fireflyspur.platform import order_client
from fireflyspur.platform import store_client
from tests.support import async_tests
from tests.support import flood_server
from tests.support import loop_watch

# Within this time a flooded reader must have given up or be stopped by its
# own timeout.
_BOUND_S = 2.0
# No other request may wait for a flooded one any longer than this.
_LATE_S = 0.3
_EARLY_HINT = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
_CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class EndlessResponseTest(testtools.TestCase):
    """Guards against one server that occupies or fills the whole node."""

    async def read_flood(self, start, block, read):
        """Return the error of a read, within its time bound."""
        with flood_server.FloodServer(start, block) as server:
            async with loop_watch.watch_loop() as watch:
                exchange = await http_exchange.HttpExchange.connect(
                    server.address, 1.0
                )
                with contextlib.closing(exchange):
                    exchange.send(b"GET", b"/", [(b"Host", b"h")], b"")
                    async with asyncio.timeout(_BOUND_S):
                        error = await _catch(read(exchange))
        self.assertLess(watch.longest_s, _LATE_S)
        return error

    @async_tests.in_loop
    async def test_endless_heads_of_interim_responses_are_given_up(self):
        error = await self.read_flood(
            b"", _EARLY_HINT * 100, lambda exchange: exchange.read_head()
        )
        self.assertIn("interim", str(error))

    @async_tests.in_loop
    async def test_endless_head_is_given_up(self):
        for start, block in (
            (b"HTTP/1.1 200 OK\r\n", b"X-Field: value\r\n" * 100),
            (b"HTTP/1.1 200 OK\r\nX-Field: ", b"value" * 100),
            (b"", b"no http " * 100),
        ):
            error = await self.read_flood(
                start, block, lambda exchange: exchange.read_head()
            )
            self.assertIsInstance(error, exceptions.BrokenResponseError)

    @async_tests.in_loop
    async def test_endless_body_stops_at_its_limit(self):
        async def read(exchange):
            await exchange.read_head()
            await exchange.read_body(10_000)

        for start, block in (
            (b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 60_000),
            (_CHUNKED, b"1\r\nx\r\n" * 10_000),
            (_CHUNKED, b"1;name=" + b"x" * 60_000),
            (_CHUNKED + b"0\r\n", b"X-Field: value\r\n" * 1_000),
        ):
            error = await self.read_flood(start, block, read)
            self.assertIsInstance(error, exceptions.BrokenResponseError)

    @async_tests.in_loop
    async def test_other_tasks_run_while_a_flood_is_read(self):
        async def read(exchange):
            await exchange.read_head()
            async with asyncio.timeout(0.5):
                while await exchange.read_chunk() is not None:
                    pass

        for start, block in (
            (b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 60_000),
            (_CHUNKED, b"1\r\nx\r\n" * 10_000),
        ):
            error = await self.read_flood(start, block, read)
            self.assertIsInstance(error, TimeoutError)


class SilenceTest(testtools.TestCase):
    """Guards against a sound response cut because its caller reads slowly."""

    async def longest_silence(self, data, parts, read_part):
        """Return the longest silence while parts of a response are read.

        A part with the data arrives every 0.1 s.
        """
        silences = []

        async def record(silent_s):
            silences.append(silent_s)
            return 0.02

        with flood_server.FloodServer(_CHUNKED, _chunk(data), 0.1) as server:
            exchange = await http_exchange.HttpExchange.connect(
                server.address, 1.0, record
            )
            with contextlib.closing(exchange):
                exchange.send(b"GET", b"/", [(b"Host", b"h")], b"")
                await exchange.read_head()
                for _ in range(parts):
                    await read_part(exchange)
        return max(silences)

    @async_tests.in_loop
    async def test_time_in_which_nothing_is_read_is_no_silence(self):
        async def read_part(exchange):
            await exchange.read_chunk()
            exchange.record_progress()
            # The caller takes this long to read what it got.
            await asyncio.sleep(0.8)

        silence_s = await self.longest_silence(b"x" * 10, 3, read_part)
        self.assertLess(silence_s, 0.5)

    @async_tests.in_loop
    async def test_waits_without_progress_add_up(self):
        async def read_part(exchange):
            await exchange.read_chunk()

        silence_s = await self.longest_silence(b"x", 6, read_part)
        self.assertGreater(silence_s, 0.4)


class HeldUpTest(testtools.TestCase):
    """Guards against an endpoint that is blamed for a node held up."""

    @async_tests.in_loop
    async def test_connection_that_was_accepted_in_time_is_used(self):
        with flood_server.FloodServer(b"", b"", pause_s=1.0) as server:
            connecting = asyncio.ensure_future(
                http_exchange.HttpExchange.connect(server.address, 0.25)
            )
            await asyncio.sleep(0)
            # Holds up the event loop, as a long step of another task would.
            time.sleep(0.5)
            exchange = await connecting
            exchange.close()


class EndlessAnswerTest(testtools.TestCase):
    """Guards against a store or an engine that floods a node with bytes."""

    @async_tests.in_loop
    async def test_call_of_the_store_fails_in_time(self):
        for start, block in (
            (b"", _EARLY_HINT * 100),
            (b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 60_000),
        ):
            with flood_server.FloodServer(start, block) as server:
                client = store_client.StoreClient(server.address)
                async with (
                    loop_watch.watch_loop() as watch,
                    asyncio.timeout(_BOUND_S),
                ):
                    error = await _catch(client.read_newest("keyed.op"))
            self.assertIsInstance(error, exceptions.StoreUnavailableError)
            self.assertLess(watch.longest_s, _LATE_S)

    @async_tests.in_loop
    async def test_result_of_an_order_is_unknown(self):
        for start, block in (
            (b"", _EARLY_HINT * 100),
            (b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 60_000),
        ):
            with flood_server.FloodServer(start, block) as server:
                client = order_client.OrderClient()
                async with asyncio.timeout(_BOUND_S):
                    result = await client.release(server.address, "ticket")
            self.assertEqual("unknown", result.value)


def _chunk(data):
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


async def _catch(awaitable):
    try:
        await awaitable
    except (exceptions.BrokenResponseError, TimeoutError) as error:
        return error
    except exceptions.StoreUnavailableError as error:
        return error
