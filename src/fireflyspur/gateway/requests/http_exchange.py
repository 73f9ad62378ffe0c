"""An HTTP client that uses a new connection for each request."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import socket

import h11
from tornado import iostream

from fireflyspur.gateway.common import address as addresses
from fireflyspur.gateway.common import clock
from fireflyspur.gateway.common import exceptions
from fireflyspur.gateway.common import io_wait
from fireflyspur.gateway.common import messages
from fireflyspur.gateway.common import socket_options

# Called with the seconds without progress so far. Returns the seconds until
# the next call, or raises BrokenResponseError to end the wait.
SilenceCallback = Callable[[float], Awaitable[float]]

# Most responses fit into one read. Larger reads would be held for each
# connection whose caller is slow.
_READ_BYTES = 16_384
# Response heads are a few hundred bytes; a longer one is invalid.
_MAX_HEAD_BYTES = 65_536
# Servers send one or two interim responses, if any, before the final one.
_MAX_INTERIM_RESPONSES = 16
# Data that has already arrived is read without waiting. Other tasks run after
# this many bytes or parts of it.
_MAX_UNINTERRUPTED_BYTES = 65_536
_MAX_UNINTERRUPTED_PARTS = 64
# Higher numbers are no status codes (RFC 9110, section 15).
_MAX_STATUS = 599
_FRAMING_HEADERS = frozenset((b"content-length", b"transfer-encoding"))


class HttpExchange:
    """Sends one request and reads the response.

    A connection is used only once: if it were kept alive, extra bytes that
    a faulty server sends after a response would be read as the next one.

    :param stream: a connected stream, which the exchange owns
    :param on_silence: called while the response makes no progress; None to
        wait forever
    """

    def __init__(
        self,
        stream: iostream.IOStream,
        on_silence: SilenceCallback | None = None,
    ) -> None:
        self._stream = stream
        self._on_silence = on_silence
        self._connection = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES
        )
        # Time spent waiting for data since the last progress.
        self._waited_s = 0.0
        self._ends_with_connection = False
        self._abandoned_reason: str | None = None
        self._uninterrupted_bytes = 0
        self._uninterrupted_parts = 0
        self._writes: list[asyncio.Future[None]] = []

    @property
    def is_request_written(self) -> bool:
        """Whether all of the request has been handed to the network."""
        return all(w.done() and w.exception() is None for w in self._writes)

    @property
    def ends_with_connection(self) -> bool:
        """Whether only the end of the connection ends the body."""
        return self._ends_with_connection

    @classmethod
    async def connect(
        cls,
        address: addresses.Address,
        timeout_s: float,
        on_silence: SilenceCallback | None = None,
    ) -> "HttpExchange":
        """Connect to a server.

        :raises EndpointUnreachableError: if it cannot connect in time
        """
        stream = iostream.IOStream(
            socket.socket(), read_chunk_size=_READ_BYTES
        )
        try:
            connecting = stream.connect((address.host, address.port))
            await io_wait.wait_for_input(connecting, timeout_s)
            if not connecting.done():
                raise TimeoutError
            await connecting
            socket_options.apply(stream)
        except (OSError, iostream.StreamClosedError) as error:
            stream.close()
            raise exceptions.EndpointUnreachableError(
                f"no connection to {address}: {_describe(error)}"
            ) from error
        except BaseException:
            stream.close()
            raise
        return cls(stream, on_silence)

    def close(self) -> None:
        """Close the connection; the server then cancels the request."""
        self._stream.close()

    def abandon(self, reason: str) -> None:
        """Close the connection, so that a read of the response fails."""
        self._abandoned_reason = reason
        self._stream.close()

    def send(
        self,
        method: bytes,
        target: bytes,
        headers: messages.Headers,
        body: bytes,
    ) -> None:
        """Send the request without waiting until it is written."""
        request = h11.Request(method=method, target=target, headers=headers)
        data = self._connection.send(request)
        if len(body) > _READ_BYTES:
            # Written apart, as the sum would be a second copy.
            self._write(data)
            data = self._connection.send(h11.Data(data=body))
        elif body:
            data += self._connection.send(h11.Data(data=body))
        self._write(data + self._connection.send(h11.EndOfMessage()))

    def _write(self, data: bytes) -> None:
        written = self._stream.write(data)
        self._writes.append(written)
        # If the write fails, the read of the response fails too.
        written.add_done_callback(lambda future: future.exception())

    async def read_head(self) -> messages.ResponseHead:
        """Read the status and headers of the response.

        :raises BrokenResponseError: if no valid response is received
        """
        for _ in range(_MAX_INTERIM_RESPONSES + 1):
            event = await self._next_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise exceptions.BrokenResponseError(
                    "the connection was closed before the response",
                    is_connection_lost=True,
                )
            if event.status_code > _MAX_STATUS:
                raise exceptions.BrokenResponseError(
                    f"invalid status {event.status_code}"
                )
            self.record_progress()
            names = {name for name, _ in event.headers}
            self._ends_with_connection = names.isdisjoint(_FRAMING_HEADERS)
            headers = list(event.headers.raw_items())
            return messages.ResponseHead(event.status_code, headers)
        raise exceptions.BrokenResponseError(
            f"more than {_MAX_INTERIM_RESPONSES} interim responses"
        )

    def record_progress(self) -> None:
        """Record that the response advances, which ends a silence.

        The reader decides what counts: bytes that complete nothing don't.
        """
        self._waited_s = 0.0

    async def read_chunk(self) -> bytes | None:
        """Read the next chunk of the body; None at its end.

        :raises BrokenResponseError: if the body ends early
        """
        event = await self._next_event()
        match event:
            case h11.Data():
                return bytes(event.data)
            case h11.EndOfMessage():
                return None
            case _:
                raise exceptions.BrokenResponseError(
                    "the connection was closed during the response",
                    is_connection_lost=True,
                )

    async def read_body(self, max_bytes: int) -> bytes:
        """Read the whole body.

        :raises BrokenResponseError: if it ends early or is too long
        """
        body = bytearray()
        while (chunk := await self.read_chunk()) is not None:
            self.record_progress()
            body += chunk
            if len(body) > max_bytes:
                raise exceptions.BrokenResponseError(
                    f"the response is longer than {max_bytes} bytes"
                )
        return bytes(body)

    async def _next_event(self) -> h11.Event | type[h11.PAUSED]:
        while True:
            if self._abandoned_reason is not None:
                raise exceptions.BrokenResponseError(self._abandoned_reason)
            try:
                event = self._connection.next_event()
            except h11.RemoteProtocolError as error:
                is_closed = self._stream.closed()
                reason = f"invalid response: {error}"
                if is_closed:
                    reason = "the connection was closed during the response"
                raise exceptions.BrokenResponseError(
                    reason, is_connection_lost=is_closed
                ) from error
            if event is not h11.NEED_DATA:
                await self._let_others_run()
                return event
            data = await self._read()
            self._uninterrupted_bytes += len(data)
            if self._abandoned_reason is None:
                self._connection.receive_data(data)

    async def _let_others_run(self) -> None:
        """Let other tasks run if much has been read without waiting."""
        self._uninterrupted_parts += 1
        if (
            self._uninterrupted_bytes >= _MAX_UNINTERRUPTED_BYTES
            or self._uninterrupted_parts >= _MAX_UNINTERRUPTED_PARTS
        ):
            await asyncio.sleep(0)
            self._uninterrupted_bytes = 0
            self._uninterrupted_parts = 0

    async def _read(self) -> bytes:
        try:
            reading = self._stream.read_bytes(_READ_BYTES, partial=True)
            if self._on_silence is not None:
                await self._wait_for_data(asyncio.ensure_future(reading))
            return await reading
        except iostream.StreamClosedError as error:
            if error.real_error is None:
                return b""
            raise exceptions.BrokenResponseError(
                f"the connection was lost: {error.real_error}",
                is_connection_lost=True,
            ) from error

    async def _wait_for_data(self, reading: "asyncio.Future[bytes]") -> None:
        waited_s = self._waited_s
        started_at_s = clock.now_s()
        interval_s = await self._on_silence(waited_s)
        while not reading.done():
            await asyncio.wait((reading,), timeout=interval_s)
            self._waited_s = waited_s + clock.now_s() - started_at_s
            if not reading.done():
                interval_s = await self._on_silence(self._waited_s)


def _describe(error: Exception) -> str:
    match error:
        case TimeoutError():
            return "timed out"
        case iostream.StreamClosedError() if error.real_error:
            return str(error.real_error)
        case _:
            return str(error) or type(error).__name__
