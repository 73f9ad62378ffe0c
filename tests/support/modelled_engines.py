"""Workers of the platform that follow the engine model in real time."""

import asyncio
import json

from fireflyspur.experiment import engine_model
from fireflyspur.gateway import latency_model
from tests.support import fake_endpoint


class _Driven:
    """A model whose passes take their time."""

    def __init__(self, spec):
        self.model = engine_model.EngineModel(spec)
        self.woken = asyncio.Event()


class ModelledEngines:
    """Lets a fleet's engines answer prompts and orders by the model.

    :param fleet: its engines are listening
    :param spec: figures of each
    """

    def __init__(self, fleet, spec):
        self._spec = spec
        self._driven = {}
        self._events = {}
        self._unread = {}
        self._held = {}
        self._tasks = []
        for worker in fleet.engines:
            driven = _Driven(spec)
            self._driven[str(worker.address)] = driven
            self._tasks.append(asyncio.ensure_future(self._drive(driven)))
            worker.default_behaviour = self.answer

    async def close(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def free_tokens(self):
        """Return the free memory of each engine."""
        return [d.model.free_tokens for d in self._driven.values()]

    async def answer(self, worker, arrival, stream):
        """Answer an order or a prompt."""
        if arrival.target == "/api/order":
            await self._answer_order(worker, arrival, stream)
            return
        headers = arrival.headers
        tokens, output = map(
            int, headers["x-fireflyspur-token-count"].split(",")
        )
        listed = headers.get("x-fireflyspur-helpers")
        helpers = [h.split("/") for h in listed.split(",")] if listed else []
        key = arrival.attempt_id
        engines = [str(worker.address), *(h[0] for h in helpers)]
        self._events[key] = asyncio.Queue()
        self._unread[key] = engines[0], engines, set(engines)
        try:
            if self._submit(key, engines, helpers, tokens, output):
                await self._stream(worker, arrival, stream, key)
            else:
                full = fake_endpoint.respond_status(
                    "503 Full", "X-Fireflyspur-Not-Executed: 1"
                )
                await full(worker, arrival, stream)
        finally:
            for address in engines:
                self._driven[address].model.cancel(key)
            self._events.pop(key, None)

    def _submit(self, key, engines, helpers, tokens, output):
        """Give each engine its part; False if one refuses."""
        whole = latency_model.full_prefill(tokens)
        prefill = latency_model.prefill_part(whole, len(engines))
        tickets = [h for h in helpers if len(h) == 2]
        held = sum(self._held[ticket] for _, ticket in tickets)
        first = engine_model.Part(
            key,
            prefill,
            is_alone=len(engines) == 1,
            memory_tokens=tokens + output - held,
            output_tokens=output,
        )
        part = engine_model.Part(key, prefill, is_helper=True, is_alone=False)
        parts = [first, *(part for _ in helpers)]
        for address, item in zip(engines, parts, strict=True):
            if not self._driven[address].model.submit(item):
                return False
            self._driven[address].woken.set()
        return True

    async def _stream(self, worker, arrival, stream, key):
        number = int(arrival.headers.get("last-event-id") or 0)
        events = self._events[key]
        is_last = await events.get()
        text = fake_endpoint.response_head(
            arrival,
            worker,
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        )
        await stream.write(text)
        while True:
            number += 1
            await stream.write(
                fake_endpoint.chunk(fake_endpoint.event(number))
            )
            if is_last:
                break
            is_last = await events.get()
        await stream.write(b"0\r\n\r\n")

    async def _answer_order(self, worker, arrival, stream):
        order = json.loads(arrival.body)
        model = self._driven[str(worker.address)].model
        status = "200 OK"
        if order["operation"] == "release":
            model.release(order["id"])
        elif model.reserve(order["id"], order["tokens"]):
            self._held[order["id"]] = order["tokens"]
        else:
            status = "409 Conflict"
        body = json.dumps({"free": model.free_tokens}).encode()
        await fake_endpoint.respond_status(status, body=body)(
            worker, arrival, stream
        )

    async def _drive(self, driven):
        while True:
            done = driven.model.begin_pass()
            if done is None:
                driven.woken.clear()
                await driven.woken.wait()
                continue
            await asyncio.sleep(done.duration_ms / 1000)
            for key in done.read:
                self._note_read(key, driven)
            for key in done.written:
                self._put(key, key in done.ended)

    def _note_read(self, key, driven):
        """Begin to write once the last part of a group has been read."""
        first, engines, unread = self._unread[key]
        unread -= {a for a, d in self._driven.items() if d is driven}
        if not unread and len(engines) > 1:
            engine = self._driven[first]
            engine.model.begin_writing(key)
            engine.woken.set()
            self._put(key, False)

    def _put(self, key, is_last):
        if key in self._events:
            self._events[key].put_nowait(is_last)
