"""Callers that read their response late, or never."""

import asyncio
import contextlib

import testtools

from tests.support import async_tests
from tests.support import fake_endpoint
from tests.support import gateway_fleet

_ENGINE_TOKENS = 197_200
_PROMPT_TOKENS = 45_000
_EVENT = b"x" * 60_000
_EVENTS = 250
# The platform's endpoints allow some seconds.
_CUT_OFF_S = 1.0
_UNREAD_S = 2.0


class _Engines:
    """Engines with the memory of the platform's, that cut off what is unread.

    :param sent: events of each response
    """

    def __init__(self, fleet, sent=_EVENTS):
        self._sent = sent
        self._used = {engine.instance: 0 for engine in fleet.engines}
        self.most_used = 0
        self.cut_off = 0
        self.written = 0
        for engine in fleet.engines:
            engine.default_behaviour = self.answer

    async def answer(self, engine, arrival, stream):
        self._used[engine.instance] += _PROMPT_TOKENS
        self.most_used = max(self.most_used, self._used[engine.instance])
        try:
            await self._write_all(engine, arrival, stream)
        except TimeoutError:
            self.cut_off += 1
        finally:
            self._used[engine.instance] -= _PROMPT_TOKENS

    async def _write_all(self, engine, arrival, stream):
        begin = int(arrival.headers.get("last-event-id") or 0) + 1
        await stream.write(
            fake_endpoint.response_head(
                arrival,
                engine,
                "Content-Type: text/event-stream",
                "Transfer-Encoding: chunked",
            )
        )
        for number in range(begin, self._sent + 1):
            data = f"id: {number}\ndata: ".encode() + _EVENT + b"\n\n"
            writing = stream.write(fake_endpoint.chunk(data))
            async with asyncio.timeout(_CUT_OFF_S):
                await writing
            self.written += len(data)
        await stream.write(b"0\r\n\r\n")


def _config():
    route = gateway_fleet.route(
        "chat",
        "streaming",
        "models",
        stream_resume=True,
        gap_aim_ms=5_000,
        target_latency_ms=3_000,
        timeout_ms=15_000,
        max_attempts=3,
    )
    engine = {**gateway_fleet.ENGINE, "kv_capacity_tokens": _ENGINE_TOKENS}
    services = [
        {"name": "models", "health_check": "/health", "engine": engine}
    ]
    return gateway_fleet.config(routes=[route], services=services)


async def _send(node, stack, number=0):
    """Send a prompt; return the reader of the response, which is unread."""
    reader, writer = await node.connect()
    stack.callback(writer.close)
    writer.write(
        gateway_fleet.request_bytes(
            "/chat/",
            attempt_id=f"p-{number}",
            deadline_ms=15_000,
            extra=[f"X-Fireflyspur-Token-Count: {_PROMPT_TOKENS},100"],
        )
    )
    return reader


class SlowReaderTest(testtools.TestCase):
    """Guards against callers that use up memory, or harm sound engines.

    An endpoint cuts off an answer that stays unread for some seconds, and
    crashes if its requests exceed its memory.
    """

    async def start(self, stack, engines, **kwargs):
        fleet = await stack.enter_async_context(
            gateway_fleet.GatewayFleet(engines=engines)
        )
        fleet.publish(_config())
        return fleet, _Engines(fleet, **kwargs), await fleet.start_node()

    @async_tests.in_loop
    async def test_unread_bytes_count_toward_the_memory_of_the_node(self):
        async with contextlib.AsyncExitStack() as stack:
            fleet, engines, node = await self.start(stack, engines=2)
            await _send(node, stack)
            await gateway_fleet.wait_until(lambda: engines.cut_off)
            metrics = await node.metrics()
            line = metrics.split("\nfireflyspur_held_bytes ")[1]
            self.assertGreaterEqual(float(line.split()[0]), len(_EVENT))
        self.assertLess(engines.written, _EVENTS * len(_EVENT))

    @async_tests.in_loop
    async def test_engine_that_cuts_an_unread_answer_off_is_not_blamed(self):
        async with contextlib.AsyncExitStack() as stack:
            fleet, engines, node = await self.start(stack, engines=2)
            reader = await _send(node, stack)
            await gateway_fleet.wait_until(lambda: engines.cut_off)
            await asyncio.sleep(_UNREAD_S - _CUT_OFF_S)
            response = await gateway_fleet.read_response(reader)
            directory = node.gateway.directory
            rates = [directory.errors.rate(e.instance) for e in fleet.engines]
            paused = [
                e for e in fleet.engines if directory.is_paused(e.instance)
            ]
        # The rest came from the other engine.
        self.assertEqual(2, len(fleet.arrivals))
        self.assertTrue(response.is_complete)
        self.assertEqual(_EVENTS, response.body.count(b"id: "))
        self.assertEqual(([0.0, 0.0], []), (rates, paused))

    @async_tests.in_loop
    async def test_unread_answers_do_not_exceed_the_memory_of_an_engine(self):
        async with contextlib.AsyncExitStack() as stack:
            fleet, engines, node = await self.start(stack, engines=1)
            readers = [await _send(node, stack, n) for n in range(6)]
            statuses = [
                (await r.readuntil(b"\r\n")).split()[1] for r in readers
            ]
        self.assertEqual([b"200"] * 4 + [b"503"] * 2, statuses)
        self.assertLessEqual(engines.most_used, _ENGINE_TOKENS)
