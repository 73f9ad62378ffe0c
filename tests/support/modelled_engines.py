"""Engines of the platform that follow the engine model in real time."""

import asyncio
import json

from fireflyspur.experiment import engine_model
from fireflyspur.gateway.scheduling import latency_model
from tests.support import fake_endpoint


class _RunningModel:
    """A model whose passes run in real time.

    ``woken`` is set when a prompt is submitted to an idle model.
    """

    def __init__(self, spec):
        self.model = engine_model.EngineModel(spec)
        self.woken = asyncio.Event()


class ModelledEngines:
    """Makes a fleet's engines handle prompts and orders like the model.

    :param fleet: fleet whose engines are listening
    :param spec: published figures of each engine
    """

    def __init__(self, fleet, spec):
        self._spec = spec
        self._running = {}
        self._events = {}
        self._prefilling = {}
        self._reserved = {}
        self._tasks = []
        for engine in fleet.engines:
            running = _RunningModel(spec)
            self._running[str(engine.address)] = running
            self._tasks.append(
                asyncio.ensure_future(self._run_passes(running))
            )
            engine.default_behaviour = self.answer

    async def close(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def free_tokens(self):
        """Return the free memory of each engine."""
        return [r.model.free_tokens for r in self._running.values()]

    async def answer(self, engine, arrival, stream):
        """Respond to an order or a prompt."""
        if arrival.target == "/api/order":
            await self._handle_order(engine, arrival, stream)
            return
        headers = arrival.headers
        tokens, output = map(
            int, headers["x-fireflyspur-token-count"].split(",")
        )
        header = headers.get("x-fireflyspur-helpers")
        helpers = [h.split("/") for h in header.split(",")] if header else []
        key = arrival.attempt_id
        engines = [str(engine.address), *(h[0] for h in helpers)]
        self._events[key] = asyncio.Queue()
        self._prefilling[key] = engines[0], engines, set(engines)
        try:
            if self._submit(key, engines, helpers, tokens, output):
                await self._stream(engine, arrival, stream, key)
            else:
                full = fake_endpoint.respond_status(
                    "503 Full", "X-Fireflyspur-Not-Executed: 1"
                )
                await full(engine, arrival, stream)
        finally:
            for address in engines:
                self._running[address].model.cancel(key)
            self._events.pop(key, None)

    def _submit(self, key, engines, helpers, tokens, output):
        """Submit a part to each engine; return False if one refuses it."""
        whole = latency_model.full_prefill(tokens)
        prefill = latency_model.prefill_part(whole, len(engines))
        tickets = [h for h in helpers if len(h) == 2]
        reserved = sum(self._reserved[ticket] for _, ticket in tickets)
        primary = engine_model.Part(
            key,
            prefill,
            is_whole_prompt=len(engines) == 1,
            memory_tokens=tokens + output - reserved,
            output_tokens=output,
        )
        helper = engine_model.Part(
            key, prefill, is_helper=True, is_whole_prompt=False
        )
        parts = [primary, *(helper for _ in helpers)]
        for address, part in zip(engines, parts, strict=True):
            if not self._running[address].model.submit(part):
                return False
            self._running[address].woken.set()
        return True

    async def _stream(self, engine, arrival, stream, key):
        number = int(arrival.headers.get("last-event-id") or 0)
        events = self._events[key]
        is_last = await events.get()
        head = fake_endpoint.response_head(
            arrival,
            engine,
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        )
        await stream.write(head)
        while True:
            number += 1
            await stream.write(
                fake_endpoint.chunk(fake_endpoint.event(number))
            )
            if is_last:
                break
            is_last = await events.get()
        await stream.write(b"0\r\n\r\n")

    async def _handle_order(self, engine, arrival, stream):
        order = json.loads(arrival.body)
        model = self._running[str(engine.address)].model
        status = "200 OK"
        if order["operation"] == "release":
            model.release(order["id"])
        elif model.reserve(order["id"], order["tokens"]):
            self._reserved[order["id"]] = order["tokens"]
        else:
            status = "409 Conflict"
        body = json.dumps({"free": model.free_tokens}).encode()
        await fake_endpoint.respond_status(status, body=body)(
            engine, arrival, stream
        )

    async def _run_passes(self, running):
        while True:
            engine_pass = running.model.run_pass()
            if engine_pass is None:
                running.woken.clear()
                await running.woken.wait()
                continue
            await asyncio.sleep(engine_pass.duration_ms / 1000)
            for key in engine_pass.prefilled:
                self._mark_prefilled(key, running)
            for key in engine_pass.emitting:
                self._put_event(key, key in engine_pass.ended)

    def _mark_prefilled(self, key, running):
        """Start decoding once all parts of a group are prefilled."""
        primary, engines, prefilling = self._prefilling[key]
        prefilling -= {a for a, r in self._running.items() if r is running}
        if not prefilling and len(engines) > 1:
            engine = self._running[primary]
            engine.model.start_decoding(key)
            engine.woken.set()
            self._put_event(key, False)

    def _put_event(self, key, is_last):
        if key in self._events:
            self._events[key].put_nowait(is_last)
