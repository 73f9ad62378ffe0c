"""Client of the model engines."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import dataclasses
import socket
from typing import Any

import msgspec
from tornado import httpclient
from tornado import simple_httpclient

from fireflyspur.clients import chunk_buffer
from fireflyspur.clients import exceptions

_CONTROL_TIMEOUT_S = 2.0
_CONNECT_TIMEOUT_S = 1.0
# An engine generates faster than a slow caller reads. The node buffers about
# 1,000 tokens of a stream, then stops reading from the engine.
_MAX_UNREAD_BYTES = 128 * 1024
# A line holds one token, or the end with its figures.
_MAX_LINE_BYTES = 65_536


@dataclasses.dataclass(frozen=True)
class EngineAddress:
    """Name and network address of an engine."""

    name: str
    address: str
    port: int

    @property
    def url(self) -> str:
        """Base URL of the engine's interface."""
        return f"http://{self.address}:{self.port}/engine/v1"


@dataclasses.dataclass(frozen=True)
class StreamRequest:
    """Request to an engine to generate a stream.

    :param deadline: wall-clock time in seconds at which the engine cancels
        the stream
    :param start_index: index of the first token to generate; generation
        continues after the tokens in ``prefix``
    :param owner: name and incarnation of the node
    :param reservation: id of the engine's memory reservation that the stream
        takes over
    :param group: id, address and port of the reservations on other engines
    """

    request_id: str
    attempt: int
    owner: str
    deadline: float
    model: str
    adapter: str
    prompt: str
    max_tokens: int
    priority: int
    start_index: int = 0
    prefix: str = ""
    reservation: str = ""
    group: list[dict[str, Any]] = dataclasses.field(default_factory=list)


@dataclasses.dataclass(frozen=True)
class Holding:
    """Memory that an engine has allocated to an owner.

    :param kind: ``stream``, ``reservation``, ``export`` or ``import``
    :param owner: name and incarnation of a node
    :param deadline: wall-clock time in seconds
    :param attempt: attempt of a stream
    """

    kind: str
    id: str
    owner: str
    deadline: float
    attempt: int = 0
    tokens: int = 0

    @property
    def path(self) -> str:
        """Path of the DELETE request that releases the holding."""
        if self.kind == "stream":
            return f"/streams/{self.id}?attempt={self.attempt}"
        return f"/{_HOLDING_PATHS[self.kind]}/{self.id}"


_HOLDING_PATHS = {
    "reservation": "reservations",
    "export": "kv/exports",
    "import": "kv/imports",
}


@dataclasses.dataclass(frozen=True)
class StreamLine:
    """One line of a stream: a token, the end, or an error.

    :param type: ``token``, ``done`` or ``error``
    :param index: index of a token, from 0
    :param code: error code
    """

    type: str
    request_id: str
    attempt: int
    index: int = 0
    text: str = ""
    finish_reason: str = ""
    usage: dict[str, int] = dataclasses.field(default_factory=dict)
    load: dict[str, Any] = dataclasses.field(default_factory=dict)
    code: str = ""


class EngineClient:
    """Starts streams on engines and calls their control interface.

    :param http: the shared HTTP client
    :param client_name: name of the node
    """

    def __init__(
        self, http: httpclient.AsyncHTTPClient, client_name: str
    ) -> None:
        self._http = http
        self._headers = {"Client-Name": client_name}

    async def start_stream(
        self,
        engine: EngineAddress,
        start: StreamRequest,
        timeout_s: float,
        on_load: Callable[[dict[str, Any]], None] | None = None,
        interrupt: "asyncio.Future[None] | None" = None,
    ) -> AsyncIterator[StreamLine]:
        """Start a stream and yield its lines.

        :param timeout_s: seconds after which the stream is aborted
        :param on_load: called with the load report from the response headers
        :param interrupt: future that ends the stream once it is done
        :raises EngineUnavailableError: if nothing was sent to the engine
        :raises EngineRefusedError: if the engine refused the stream
        :raises EngineConnectionLostError: if the connection broke
        """
        body = _Body(msgspec.json.encode(start))
        request = httpclient.HTTPRequest(
            f"{engine.url}/streams",
            method="POST",
            body_producer=body.write_to,
            headers={**self._headers, "Content-Length": str(body.size)},
            connect_timeout=min(_CONNECT_TIMEOUT_S, timeout_s),
            request_timeout=timeout_s,
        )
        async for line in self._read_lines(request, on_load, interrupt):
            yield line

    async def resume_stream(
        self,
        engine: EngineAddress,
        request_id: str,
        attempt: int,
        start_index: int,
        timeout_s: float,
        on_load: Callable[[dict[str, Any]], None] | None = None,
        interrupt: "asyncio.Future[None] | None" = None,
    ) -> AsyncIterator[StreamLine]:
        """Resume reading a stream after its connection broke.

        :param start_index: index of the first token to read
        :raises EngineUnavailableError: if the engine does not respond
        :raises EngineRefusedError: if the engine no longer has the stream
        :raises EngineConnectionLostError: if the connection broke again
        """
        query = f"attempt={attempt}&from={start_index}"
        request = httpclient.HTTPRequest(
            f"{engine.url}/streams/{request_id}?{query}",
            headers=self._headers,
            connect_timeout=min(_CONNECT_TIMEOUT_S, timeout_s),
            request_timeout=timeout_s,
        )
        async for line in self._read_lines(request, on_load, interrupt):
            yield line

    async def release(self, engine: EngineAddress, holding: Holding) -> None:
        """Release a holding and wait for the acknowledgement.

        :raises EngineUnavailableError: if there was no acknowledgement
        """
        await self.fetch(engine, holding.path, method="DELETE")

    async def reserve(self, engine: EngineAddress, holding: Holding) -> None:
        """Reserve memory.

        :raises EngineUnavailableError: if there was no response; the memory
            may be reserved nevertheless
        :raises EngineRefusedError: if the memory is not free
        """
        body = {
            "reservation_id": holding.id,
            "owner": holding.owner,
            "deadline": holding.deadline,
            "tokens": holding.tokens,
        }
        await self.fetch(engine, "/reservations", method="POST", body=body)

    async def holdings(self, engine: EngineAddress) -> list[Holding]:
        """Return all holdings of the engine."""
        response = await self.fetch(engine, "/holdings")
        return msgspec.convert(response["holdings"], list[Holding])

    async def incarnation(self, engine: EngineAddress) -> str:
        """Return the engine's incarnation, which changes at each start."""
        response = await self.fetch(engine, "/state")
        return str(response["incarnation"])

    async def fetch(
        self,
        engine: EngineAddress,
        path: str,
        *,
        method: str = "GET",
        body: Any = None,
    ) -> Any:
        """Make a short call and return the decoded response.

        :raises EngineUnavailableError: if the engine does not respond
        :raises EngineRefusedError: if the engine responds with an error
        """
        try:
            response = await self._http.fetch(
                engine.url + path,
                method=method,
                headers=self._headers,
                body=None if body is None else msgspec.json.encode(body),
                connect_timeout=_CONNECT_TIMEOUT_S,
                request_timeout=_CONTROL_TIMEOUT_S,
                raise_error=False,
            )
        except (httpclient.HTTPError, OSError) as error:
            raise exceptions.EngineUnavailableError(str(error)) from error
        if response.code == 599:
            raise exceptions.EngineUnavailableError(str(response.error))
        if response.code >= 400:
            raise exceptions.EngineRefusedError(_error_code(response.body))
        return msgspec.json.decode(response.body)

    async def _read_lines(
        self,
        request: httpclient.HTTPRequest,
        on_load: Callable[[dict[str, Any]], None] | None,
        interrupt: "asyncio.Future[None] | None",
    ) -> AsyncIterator[StreamLine]:
        chunks = chunk_buffer.ChunkBuffer(_MAX_UNREAD_BYTES)

        def end_chunks(_: object) -> None:
            chunks.end()

        request.streaming_callback = chunks.put
        # Engines neither redirect nor compress. Unless both are switched off,
        # Tornado checks for them at each chunk.
        request.follow_redirects = False
        request.decompress_response = False
        if on_load:
            request.header_callback = _LoadHeaderParser(on_load)
        fetch = asyncio.ensure_future(
            self._http.fetch(request, raise_error=False)
        )
        fetch.add_done_callback(end_chunks)
        if interrupt:
            interrupt.add_done_callback(end_chunks)
        has_data, remainder = False, b""
        try:
            while (chunk := await chunks.get()) is not None:
                has_data = True
                *lines, remainder = (remainder + chunk).split(b"\n")
                for raw in lines:
                    yield _decode_line(raw)
                if len(remainder) > _MAX_LINE_BYTES:
                    raise exceptions.EngineConnectionLostError(
                        f"a line is longer than {_MAX_LINE_BYTES} bytes"
                    )
            if not fetch.done():
                raise exceptions.EngineConnectionLostError(
                    "the node interrupted the stream"
                )
            _raise_for_result(fetch, has_data, remainder)
        finally:
            chunks.discard()
            if interrupt:
                interrupt.remove_done_callback(end_chunks)
            fetch.cancel()


class _Body:
    """Request body that is released once it is sent.

    Tornado itself keeps a request's body until its response has ended.
    """

    def __init__(self, data: bytes) -> None:
        self.size = len(data)
        self._data = data

    def write_to(self, write: Callable[[bytes], object]) -> None:
        """Pass the body to the connection, which frees it once sent."""
        # Not awaited: waiting for the write would miss an early refusal by
        # the engine.
        write(self._data)
        self._data = b""


class _LoadHeaderParser:
    """Extracts the load report from the lines of a header block.

    :param on_load: called with the report
    """

    _PREFIX = "engine-load:"

    def __init__(self, on_load: Callable[[dict[str, Any]], None]) -> None:
        self._on_load = on_load

    def __call__(self, line: str) -> None:
        """Parse one header line."""
        if not line.lower().startswith(self._PREFIX):
            return
        try:
            report = msgspec.json.decode(line[len(self._PREFIX) :])
        except msgspec.MsgspecError:
            return
        if isinstance(report, dict):
            self._on_load(report)


def _decode_line(raw: bytes) -> StreamLine:
    try:
        return msgspec.json.decode(raw, type=StreamLine)
    except msgspec.MsgspecError as error:
        raise exceptions.EngineConnectionLostError(
            f"the engine sent an invalid line: {error}"
        ) from error


def _raise_for_result(
    fetch: "asyncio.Future[httpclient.HTTPResponse]",
    has_data: bool,
    remainder: bytes,
) -> None:
    error = fetch.exception()
    if error is None:
        response = fetch.result()
        if response.code == 200:
            return
        # After an internal error, the engine may have started the stream;
        # only a refusal guarantees that it has not.
        if 400 <= response.code < 500 or response.code == 503:
            raise exceptions.EngineRefusedError(
                _error_code(response.body or remainder)
            )
        error = response.error
    if not has_data and _is_connect_error(error):
        raise exceptions.EngineUnavailableError(str(error)) from error
    raise exceptions.EngineConnectionLostError(str(error)) from error


def _is_connect_error(error: BaseException | None) -> bool:
    if isinstance(error, simple_httpclient.HTTPTimeoutError):
        return "connecting" in str(error)
    return isinstance(error, (ConnectionRefusedError, socket.gaierror))


def _error_code(body: bytes) -> str:
    try:
        return str(msgspec.json.decode(body)["code"])
    except (msgspec.MsgspecError, KeyError, TypeError):
        return "unknown"
