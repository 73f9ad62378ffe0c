"""Client of the model engines."""

import asyncio
from collections.abc import AsyncIterator
import dataclasses
import socket
from typing import Any

import msgspec
from tornado import httpclient
from tornado import simple_httpclient

from fireflyspur.clients import exceptions

_CONTROL_TIMEOUT_S = 2.0
_CONNECT_TIMEOUT_S = 1.0


@dataclasses.dataclass(frozen=True)
class EngineAddress:
    """Where an engine listens."""

    name: str
    address: str
    port: int

    @property
    def url(self) -> str:
        """Base URL of the engine's interface."""
        return f"http://{self.address}:{self.port}/engine/v1"


@dataclasses.dataclass(frozen=True)
class StreamStart:
    """Request to generate a stream.

    :param deadline: wall-clock time in seconds at which the engine drops
        the stream
    :param start_index: index of the first token wanted; the prompt is
        continued after the tokens in ``prefix``
    :param owner: name and incarnation of the node
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


@dataclasses.dataclass(frozen=True)
class StreamLine:
    """One line of a stream: a token, the end, or an error.

    :param type: ``token``, ``done`` or ``error``
    :param index: index of a token, from 0
    :param code: code of an error
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
    """Sends streams and orders to engines.

    :param http: the shared HTTP client
    :param client_name: name of the node
    """

    def __init__(
        self, http: httpclient.AsyncHTTPClient, client_name: str
    ) -> None:
        self._http = http
        self._headers = {"Client-Name": client_name}

    async def start_stream(
        self, engine: EngineAddress, start: StreamStart, timeout_s: float
    ) -> AsyncIterator[StreamLine]:
        """Start a stream and yield its lines.

        :param timeout_s: seconds until the stream is given up
        :raises EngineUnavailableError: if nothing was sent
        :raises EngineRefusedError: if the engine refused the stream
        :raises EngineConnectionLostError: if the connection broke
        """
        request = httpclient.HTTPRequest(
            f"{engine.url}/streams",
            method="POST",
            body=msgspec.json.encode(start),
            headers=self._headers,
            connect_timeout=min(_CONNECT_TIMEOUT_S, timeout_s),
            request_timeout=timeout_s,
        )
        async for line in self._read_lines(request):
            yield line

    async def resume_stream(
        self,
        engine: EngineAddress,
        request_id: str,
        attempt: int,
        start_index: int,
        timeout_s: float,
    ) -> AsyncIterator[StreamLine]:
        """Go on reading a stream after its connection broke.

        :param start_index: index of the first token wanted
        :raises EngineUnavailableError: if the engine does not answer
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
        async for line in self._read_lines(request):
            yield line

    async def cancel_stream(
        self, engine: EngineAddress, request_id: str, attempt: int
    ) -> None:
        """Cancel a stream; returns when the engine has acknowledged.

        :raises EngineUnavailableError: if there was no acknowledgement
        """
        await self.fetch(
            engine,
            f"/streams/{request_id}?attempt={attempt}",
            method="DELETE",
        )

    async def fetch(
        self,
        engine: EngineAddress,
        path: str,
        *,
        method: str = "GET",
        body: Any = None,
    ) -> Any:
        """Make one short call and return the decoded answer.

        :raises EngineUnavailableError: if the engine does not answer
        :raises EngineRefusedError: if the engine answers with an error
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
        self, request: httpclient.HTTPRequest
    ) -> AsyncIterator[StreamLine]:
        chunks: asyncio.Queue[bytes | None] = asyncio.Queue()
        request.streaming_callback = chunks.put_nowait
        fetch = asyncio.ensure_future(
            self._http.fetch(request, raise_error=False)
        )
        fetch.add_done_callback(lambda _: chunks.put_nowait(None))
        received, pending = False, b""
        try:
            while (chunk := await chunks.get()) is not None:
                received = True
                *lines, pending = (pending + chunk).split(b"\n")
                for raw in lines:
                    yield _decode_line(raw)
            _check_end(fetch, received, pending)
        finally:
            fetch.cancel()


def _decode_line(raw: bytes) -> StreamLine:
    try:
        return msgspec.json.decode(raw, type=StreamLine)
    except msgspec.MsgspecError as error:
        raise exceptions.EngineConnectionLostError(
            f"the engine sent a line that is not valid: {error}"
        ) from error


def _check_end(
    fetch: "asyncio.Future[httpclient.HTTPResponse]",
    received: bool,
    pending: bytes,
) -> None:
    error = fetch.exception()
    if error is None:
        response = fetch.result()
        if response.code == 200:
            return
        if 400 <= response.code < 599:
            raise exceptions.EngineRefusedError(
                _error_code(response.body or pending)
            )
        error = response.error
    if not received and _is_connect_error(error):
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
