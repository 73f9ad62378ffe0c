"""Stand-in of a model engine."""

import asyncio
import dataclasses
import json
import time
from typing import Any

from tornado import iostream
from tornado import web

from fireflyspur.standins import server
from fireflyspur.standins import token_source

_BYTES_PER_TOKEN = 4


@dataclasses.dataclass(frozen=True)
class EngineRates:
    """Speed of the engine.

    :param prefill_tokens_per_s: prompt tokens processed a second
    :param decode_tokens_per_s: tokens a second generated for a stream
    :param time_factor: how many times faster than real time it runs
    """

    prefill_tokens_per_s: float
    decode_tokens_per_s: float
    time_factor: float


class StreamState:
    """A stream on the engine.

    :param start: body of the request that started it
    """

    def __init__(self, start: dict[str, Any]) -> None:
        self.start = start
        self.lines: list[dict[str, Any]] = []
        self.changed = asyncio.Condition()
        self.is_ended = False
        self.task: asyncio.Task[None] | None = None

    async def add(self, line: dict[str, Any]) -> None:
        """Add a line and wake the readers."""
        self.lines.append(
            {
                "request_id": self.start["request_id"],
                "attempt": self.start["attempt"],
                **line,
            }
        )
        self.is_ended = line["type"] != "token"
        async with self.changed:
            self.changed.notify_all()


class Engine:
    """Streams by request and attempt.

    :param rates: speed of the engine
    """

    def __init__(self, rates: EngineRates) -> None:
        self._rates = rates
        self._prefill = asyncio.Lock()
        self.streams: dict[tuple[str, int], StreamState] = {}
        self.cancelled: set[tuple[str, int]] = set()
        self.is_leaving = False

    def load(self) -> dict[str, Any]:
        """Return the load report."""
        live = [s for s in self.streams.values() if not s.is_ended]
        return {"streams": len(live)}

    def start(self, body: dict[str, Any]) -> StreamState:
        """Start a stream."""
        stream = StreamState(body)
        self.streams[body["request_id"], body["attempt"]] = stream
        stream.task = asyncio.ensure_future(self._generate(stream))
        return stream

    def cancel(self, request_id: str, attempt: int) -> None:
        """End a stream and free what it holds, now and for later starts."""
        self.cancelled.add((request_id, attempt))
        stream = self.streams.pop((request_id, attempt), None)
        if stream and stream.task:
            stream.task.cancel()

    async def _generate(self, stream: StreamState) -> None:
        body = stream.start
        prompt_tokens = max(1, len(body["prompt"]) // _BYTES_PER_TOKEN)
        async with self._prefill:
            await self._pass(prompt_tokens / self._rates.prefill_tokens_per_s)
        for index in range(body["start_index"], body["max_tokens"]):
            await self._pass(1 / self._rates.decode_tokens_per_s)
            text = token_source.token_text(
                body["model"], body["adapter"], body["prompt"], index
            )
            await stream.add({"type": "token", "index": index, "text": text})
        usage = {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": body["max_tokens"],
            "total_tokens": prompt_tokens + body["max_tokens"],
        }
        await stream.add(
            {
                "type": "done",
                "finish_reason": "length",
                "usage": usage,
                "load": self.load(),
            }
        )

    async def _pass(self, seconds: float) -> None:
        await asyncio.sleep(seconds / self._rates.time_factor)


class _EngineHandler(server.JsonHandler):
    def initialize(self, engine: Engine) -> None:
        self._engine = engine

    async def send_lines(self, stream: StreamState, start_index: int) -> None:
        """Send the lines of a stream as they come."""
        self.set_header("Content-Type", "application/jsonl")
        sent = 0
        try:
            while True:
                while sent < len(stream.lines):
                    line = stream.lines[sent]
                    sent += 1
                    if line.get("index", start_index) < start_index:
                        continue
                    self.write(json.dumps(line) + "\n")
                await self.flush()
                if stream.is_ended:
                    break
                async with stream.changed:
                    await stream.changed.wait_for(
                        lambda: len(stream.lines) > sent
                    )
        except iostream.StreamClosedError:
            return
        await self.finish()


class StreamsHandler(_EngineHandler):
    """``POST /engine/v1/streams``."""

    async def post(self) -> None:
        """Start a stream and send its lines."""
        body = self.read_json()
        if self._engine.is_leaving:
            self.refuse(503, "leaving")
        elif (body["request_id"], body["attempt"]) in self._engine.cancelled:
            self.refuse(409, "cancelled")
        elif body["deadline"] <= time.time():
            self.refuse(409, "deadline_passed")
        else:
            stream = self._engine.start(body)
            await self.send_lines(stream, body["start_index"])


class StreamHandler(_EngineHandler):
    """``/engine/v1/streams/ID``."""

    async def get(self, request_id: str) -> None:
        """Resume a stream."""
        attempt = int(self.get_query_argument("attempt"))
        stream = self._engine.streams.get((request_id, attempt))
        if stream is None:
            self.refuse(404, "unknown_stream")
            return
        await self.send_lines(stream, int(self.get_query_argument("from")))

    def delete(self, request_id: str) -> None:
        """Cancel a stream, known or not."""
        attempt = int(self.get_query_argument("attempt"))
        self._engine.cancel(request_id, attempt)
        self.send({})


class LoadHandler(_EngineHandler):
    """``GET /engine/v1/load``."""

    def get(self) -> None:
        """Answer with the load report."""
        self.send(self._engine.load())


def application(rates: EngineRates) -> web.Application:
    """Return the stand-in's application."""
    arguments = {"engine": Engine(rates)}
    return web.Application(
        [
            ("/engine/v1/streams", StreamsHandler, arguments),
            (r"/engine/v1/streams/([\w.-]+)", StreamHandler, arguments),
            ("/engine/v1/load", LoadHandler, arguments),
        ],
        log_function=lambda handler: None,
    )
