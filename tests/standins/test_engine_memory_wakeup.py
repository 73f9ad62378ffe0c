"""The engine stand-in goes on as soon as memory is free."""

import asyncio
import time

import testtools

from fireflyspur.standins.engine import engine as engines
from fireflyspur.standins.engine import settings as engine_settings
from fireflyspur.standins.engine import stream as streams

_HANG_S = 20.0


def body(name, tokens, **more):
    return {
        "request_id": name,
        "attempt": 1,
        "owner": "node-1:1",
        "deadline": time.time() + 600,
        "model": "quill",
        "prompt": f"{name} " * (4 * tokens // (len(name) + 1)),
        "max_tokens": 2,
        "priority": 5,
        "start_index": 0,
        **more,
    }


class TestMemory(testtools.TestCase):
    def run_engine(self, scenario):
        async def run():
            engine = engines.Engine(
                engine_settings.EngineSettings(
                    memory_tokens=100_000, time_factor=1000.0
                )
            )
            task = asyncio.ensure_future(engine.run())
            try:
                async with asyncio.timeout(_HANG_S):
                    await scenario(engine)
            finally:
                task.cancel()
                await asyncio.gather(task, return_exceptions=True)

        asyncio.run(run())

    def start(self, engine, request):
        prompt = streams.Prompt.read(request, engine.settings.block_tokens)
        return engine.start(request, prompt)

    async def finish(self, stream):
        while not stream.is_ended:
            await asyncio.sleep(0.01)

    def test_a_freed_reservation_admits_a_waiting_stream(self):
        """Guards against an idle engine on which a stream waits for ever."""

        async def scenario(engine):
            engine.reserve(
                {
                    "reservation_id": "r",
                    "owner": "node-1:1",
                    "deadline": time.time() + 600,
                    "tokens": 90_000,
                }
            )
            stream = self.start(engine, body("waits", 50_000))
            await asyncio.sleep(0.05)
            self.assertFalse(stream.is_ended)
            engine.holdings.free("reservation", "r")
            await self.finish(stream)

        self.run_engine(scenario)

    def test_a_stream_with_a_reservation_does_not_wait_for_memory(self):
        """Guards against a stream that waits behind one for its own memory."""

        async def scenario(engine):
            reservation = {
                "reservation_id": "r",
                "owner": "node-1:1",
                "deadline": time.time() + 600,
                "tokens": 60_000,
            }
            engine.reserve(reservation)
            waiting = self.start(engine, body("waits", 50_000))
            reserved = self.start(
                engine, body("reserved", 50_000, reservation="r")
            )
            await self.finish(reserved)
            await self.finish(waiting)

        self.run_engine(scenario)
