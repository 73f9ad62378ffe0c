"""HTTP interface of the engine stand-in."""

import asyncio
from collections.abc import Iterator
import dataclasses
import json
import time
from typing import Any

from tornado import httpclient
from tornado import iostream
from tornado import web

from fireflyspur.standins import server
from fireflyspur.standins.engine import engine as engines  # noqa: H306
from fireflyspur.standins.engine import residency
from fireflyspur.standins.engine import settings as engine_settings
from fireflyspur.standins.engine import stream as streams

# Larger bodies are decoded, counted and hashed off the event loop.
_LARGE_BODY_BYTES = 262_144
_PEER_TIMEOUT_S = 2.0


class _EngineHandler(server.JsonHandler):
    def initialize(self, engine: engines.Engine) -> None:
        self._engine = engine

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        match kwargs.get("exc_info"):
            case (_, engines.RefusedError() as error, _):
                self.refuse(error.status, error.code)
            case _:
                self.refuse(status_code, "bad_request")

    def log_exception(self, kind: Any, value: Any, trace: Any) -> None:
        if not isinstance(value, engines.RefusedError):
            super().log_exception(kind, value, trace)

    async def read_large_json(self) -> dict[str, Any]:
        """Decode a body that may hold a long prompt."""
        if len(self.request.body) < _LARGE_BODY_BYTES:
            return self.read_json()
        return await asyncio.to_thread(self.read_json)

    async def read_prompt(self, body: dict[str, Any]) -> streams.Prompt:
        """Count and hash the prompt of a body."""
        arguments = body, self._engine.settings.block_tokens
        if len(body["prompt"]) < _LARGE_BODY_BYTES:
            return streams.Prompt.read(*arguments)
        return await asyncio.to_thread(streams.Prompt.read, *arguments)

    async def send_lines(self, stream: streams.Stream, start: int) -> None:
        """Send the lines of a stream as they come."""
        self.set_header("Content-Type", "application/jsonl")
        self.set_header("Engine-Load", json.dumps(self._engine.load()))
        sent = 0
        try:
            await self.flush()
            while True:
                # A line to be swapped waits for its neighbour.
                reorders = self._engine.faults.reorder_lines
                is_held = reorders and not stream.is_ended
                held = (len(stream.lines) - sent) % 2 if is_held else 0
                lines = stream.lines[sent : len(stream.lines) - held]
                sent += len(lines)
                for line in self._with_faults(stream, lines):
                    if line.get("index", start) >= start:
                        self.write(json.dumps(line) + "\n")
                await self.flush()
                if self._is_to_be_cut(stream):
                    stream.was_cut = True
                    self.request.connection.stream.close()
                    return
                if stream.is_ended and sent == len(stream.lines):
                    break
                await stream.wait_beyond(sent + held)
            await self.finish()
            stream.delivered_at = time.time()
        except iostream.StreamClosedError:
            return

    def _is_to_be_cut(self, stream: streams.Stream) -> bool:
        limit = self._engine.faults.cut_after_tokens
        return 0 < limit <= len(stream.lines) and not stream.was_cut

    def _with_faults(
        self, stream: streams.Stream, lines: list[dict[str, Any]]
    ) -> Iterator[dict[str, Any]]:
        faults = self._engine.faults
        if faults.reorder_lines:
            lines = _swap_neighbours(lines)
        for line in lines:
            if line["type"] == "token" and faults.late_lines:
                attempt = stream.key[1] - 1
                yield {**line, "attempt": attempt, "text": "stale "}
            yield line
            if line["type"] == "token" and faults.duplicate_lines:
                yield line


class StreamsHandler(_EngineHandler):
    """``POST /streams``."""

    async def post(self) -> None:
        """Start a stream and send its lines."""
        body = await self.read_large_json()
        self._engine.check_start(body)
        prompt = await self.read_prompt(body)
        group_tokens = await self._group_tokens(body.get("group"))
        stream = self._engine.start(body, prompt, group_tokens)
        await self.send_lines(stream, body.get("start_index", 0))

    async def _group_tokens(
        self, group: list[dict[str, Any]] | None
    ) -> int | None:
        """Ask the other engines of a group what they have reserved."""
        if not group:
            return None
        responses = await asyncio.gather(
            *(_fetch_holding("reservations", member) for member in group)
        )
        return sum(response["tokens"] for response in responses)


class StreamHandler(_EngineHandler):
    """``/streams/ID``."""

    async def get(self, request_id: str) -> None:
        """Resume a stream."""
        attempt = int(self.get_query_argument("attempt"))
        stream = self._engine.streams.get((request_id, attempt))
        if stream is None:
            raise engines.RefusedError(404, "unknown_stream")
        await self.send_lines(stream, int(self.get_query_argument("from")))

    def delete(self, request_id: str) -> None:
        """Cancel a stream, known or not."""
        attempt = int(self.get_query_argument("attempt"))
        self._engine.cancel(request_id, attempt)
        faults = self._engine.faults
        if faults.lose_cancel_answers:
            self._engine.set_faults(
                dataclasses.replace(
                    faults, lose_cancel_answers=faults.lose_cancel_answers - 1
                )
            )
            self.request.connection.stream.close()
            return
        self.send({})


class ReservationsHandler(_EngineHandler):
    """``POST /reservations``."""

    def post(self) -> None:
        """Reserve memory, or refuse at once."""
        holding = self._engine.reserve(self.read_json())
        self.send(holding.describe(self._engine.settings.block_tokens))


class HoldingHandler(_EngineHandler):
    """A reservation, export or import by its id."""

    def initialize(self, engine: engines.Engine, kind: str) -> None:
        """Set the handler up for one request."""
        super().initialize(engine)
        self._kind = kind

    def get(self, name: str) -> None:
        """Respond with the holding and its cached blocks."""
        holding = self._engine.holdings.get(self._kind, name)
        if holding is None:
            raise engines.RefusedError(404, f"unknown_{self._kind}")
        block_tokens = self._engine.settings.block_tokens
        hashes = holding.allocation.shared
        self.send({**holding.describe(block_tokens), "hashes": hashes})

    def delete(self, name: str) -> None:
        """Free the holding, known or not."""
        self._engine.holdings.free(self._kind, name)
        self.send({})


class ExportsHandler(_EngineHandler):
    """``POST /kv/exports``."""

    async def post(self) -> None:
        """Keep the cached blocks of a prompt for another engine."""
        body = await self.read_large_json()
        holding = self._engine.export(body, await self.read_prompt(body))
        self.send(holding.describe(self._engine.settings.block_tokens))


class ImportsHandler(_EngineHandler):
    """``POST /kv/imports``."""

    async def post(self) -> None:
        """Fetch exported blocks; returns when the transfer is done."""
        body = self.read_json()
        export = await _fetch_holding("kv/exports", body["export"])
        tokens = await self._engine.import_blocks(body, export["hashes"])
        self.send({"import_id": body["import_id"], "tokens": tokens})


class ReportHandler(_EngineHandler):
    """Reports that take no body."""

    def initialize(self, engine: engines.Engine, report: str) -> None:
        """Set the handler up for one request."""
        super().initialize(engine)
        self._report = report

    def get(self) -> None:
        """Respond with the report."""
        engine = self._engine
        match self._report:
            case "holdings":
                self.send({"holdings": engine.list_holdings()})
            case "load":
                self.send(engine.load())
            case "state":
                self.send(engine.state())
            case _:
                self.send(engine.statistics())


class CacheEventsHandler(_EngineHandler):
    """``GET /cache_events``."""

    def get(self) -> None:
        """Respond with the events after a sequence number."""
        after = int(self.get_query_argument("after", "0"))
        self.send(
            {
                "incarnation": self._engine.incarnation,
                "block_tokens": self._engine.settings.block_tokens,
                "events": self._engine.events.after(after),
            }
        )


class OrdersHandler(_EngineHandler):
    """``POST /orders``."""

    def post(self) -> None:
        """Take an order; its loading goes on after the response."""
        body = self.read_json()
        if self._engine.faults.refuse_orders:
            raise engines.RefusedError(503, "orders_refused")
        held = self._engine.residency
        try:
            held.obey(body["fencing"], body["order"])
        except residency.OrderError as error:
            raise engines.RefusedError(409, str(error)) from error
        self.send({"fencing": held.fencing})


class FaultsHandler(_EngineHandler):
    """``POST /faults``."""

    def post(self) -> None:
        """Replace the faults; keys left out are off."""
        self._engine.set_faults(engines.faults_from(self.read_json()))
        self.send(dataclasses.asdict(self._engine.faults))


def _swap_neighbours(lines: list[dict[str, Any]]) -> list[dict[str, Any]]:
    """Swap each pair of token lines; the last line stays the last."""
    tokens = [line for line in lines if line["type"] == "token"]
    even = len(tokens) // 2 * 2
    for first in range(0, even, 2):
        tokens[first : first + 2] = tokens[first + 1], tokens[first]
    return tokens + lines[len(tokens) :]


async def _fetch_holding(path: str, member: dict[str, Any]) -> dict[str, Any]:
    """Read a holding of another engine."""
    url = f"http://{member['address']}:{member['port']}/engine/v1"
    response = await httpclient.AsyncHTTPClient().fetch(
        f"{url}/{path}/{member['id']}",
        request_timeout=_PEER_TIMEOUT_S,
        raise_error=False,
    )
    if response.code != 200:
        raise engines.RefusedError(409, "unknown_holding")
    return json.loads(response.body)


def application(settings: engine_settings.EngineSettings) -> web.Application:
    """Return the stand-in's application; needs a running event loop."""
    engine = engines.Engine(settings)
    arguments = {"engine": engine}
    base, name = "/engine/v1", r"([\w.:-]+)"
    routes: list[Any] = [
        (f"{base}/streams", StreamsHandler, arguments),
        (f"{base}/streams/{name}", StreamHandler, arguments),
        (f"{base}/reservations", ReservationsHandler, arguments),
        (f"{base}/kv/exports", ExportsHandler, arguments),
        (f"{base}/kv/imports", ImportsHandler, arguments),
        (f"{base}/cache_events", CacheEventsHandler, arguments),
        (f"{base}/orders", OrdersHandler, arguments),
        ("/faults", FaultsHandler, arguments),
        ("/stats", ReportHandler, {**arguments, "report": "stats"}),
    ]
    for kind, path in (
        ("reservation", "reservations"),
        ("export", "kv/exports"),
        ("import", "kv/imports"),
    ):
        route = f"{base}/{path}/{name}"
        routes.append((route, HoldingHandler, {**arguments, "kind": kind}))
    for report in ("holdings", "load", "state"):
        route = f"{base}/{report}"
        routes.append((route, ReportHandler, {**arguments, "report": report}))
    result = web.Application(routes, log_function=lambda handler: None)
    # The application owns the task, so that it is not collected.
    task = result.settings["engine_task"] = asyncio.ensure_future(engine.run())
    task.add_done_callback(lambda t: t.cancelled() or t.result())
    return result
