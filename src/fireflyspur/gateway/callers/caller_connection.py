"""The server side of a connection from a caller."""

import asyncio
from collections.abc import Callable
import re
import socket
import struct

import h11
from tornado import iostream

from fireflyspur.gateway.callers import hop_headers
from fireflyspur.gateway.common import byte_budget
from fireflyspur.gateway.common import clock
from fireflyspur.gateway.common import exceptions
from fireflyspur.gateway.common import io_wait
from fireflyspur.gateway.common import messages
from fireflyspur.gateway.common import part_buffer
from fireflyspur.gateway.configuration import routing_config

# A read takes up to the usual size of a socket buffer.
_READ_BYTES = 65_536
_FOLDED_HEADER = re.compile(rb"\n[ \t]")
_END_OF_HEAD = re.compile(rb"\r?\n\r?\n")
# Minimum average rate of a body after the idle timeout. At a lower rate, a
# body within its limit could occupy the connection for hours.
_MIN_BODY_BYTES_PER_S = 1_024
# A time limit that expires later than this was held up by this process.
_MIN_HELD_UP_S = 0.05
_STATUSES_WITHOUT_BODY = (204, 304)
# SO_LINGER with a time of zero: a close sends a reset.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class CallerConnection:
    """Reads requests and sends their responses, one at a time.

    :param stream: the accepted stream
    :param limits: returns the current limits
    :param holding: counts the bytes of the request that is read or served;
        None if they are not limited
    """

    def __init__(
        self,
        stream: iostream.IOStream,
        limits: Callable[[], routing_config.CallerLimits],
        holding: byte_budget.Holding | None = None,
    ) -> None:
        self._stream = stream
        self._limits = limits
        self._holding = holding or byte_budget.Holding(lambda _: None)
        # Why the body that is being read is given up, or None.
        self._given_up_reason: str | None = None
        self._reading: asyncio.Future[bool] | None = None
        self._connection = h11.Connection(
            h11.SERVER, max_incomplete_event_size=limits().max_header_bytes
        )
        self._raw_head = b""
        self._is_close_delimited = False
        self._is_receiving = False
        self._awaits_request = False
        # Once this process was held up: clock time until which the current
        # head or body may take, if that is later than its time limit.
        self._extended_to_s: float | None = None

    @property
    def remote_host(self) -> str:
        """Host at the other end; empty if the connection is lost."""
        try:
            return self._stream.socket.getpeername()[0]
        except (OSError, AttributeError):
            return ""

    @property
    def is_receiving(self) -> bool:
        """Whether a part of the next request has arrived."""
        return self._is_receiving

    @property
    def is_idle(self) -> bool:
        """Whether the connection waits for a request of which no byte came.

        What the stream has read counts before this connection has seen it.
        """
        return self._awaits_request and self._stream.reading()

    @property
    def can_respond(self) -> bool:
        """Whether a complete response can still be sent."""
        return self._connection.our_state in (h11.IDLE, h11.SEND_RESPONSE)

    def close(self) -> None:
        """Close the connection at once."""
        self._stream.close()

    def abort(self) -> None:
        """Close the connection so that its response looks incomplete.

        A caller that knows no chunks takes a plain close for the end of the
        response.
        """
        if self._is_close_delimited and not self._stream.closed():
            self._stream.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
        self._stream.close()

    async def read_request(self) -> messages.CallerRequest | None:
        """Read the next request; None if the caller has disconnected.

        :raises MalformedRequestError: if the request is malformed, too large
            or too slow
        """
        try:
            event = await self._read_head()
            if event is None:
                return None
            self._check_framing(event)
            body = await self._read_body()
        finally:
            self._is_receiving = False
        return messages.CallerRequest(
            method=event.method,
            target=event.target,
            headers=list(event.headers.raw_items()),
            body=body,
            received_at_s=clock.now_s(),
        )

    async def prepare_next_request(self) -> bool:
        """Prepare for the next request; False if the connection must close."""
        if self._connection.our_state is not h11.DONE:
            return False
        if self._connection.their_state is not h11.DONE:
            return False
        self._connection.start_next_cycle()
        self._holding.set(0, None)
        self._raw_head = self._connection.trailing_data[0]
        self._is_receiving = bool(self._raw_head)
        return True

    async def send_head(
        self,
        status: int,
        headers: messages.Headers,
        length: int | None,
        *,
        is_last: bool = False,
    ) -> None:
        """Send the status and headers of a response.

        :param length: bytes of the body; None if unknown
        :param is_last: whether the connection closes after this response
        """
        response_headers = hop_headers.remove(headers)
        if length is not None and status not in _STATUSES_WITHOUT_BODY:
            response_headers.append((b"Content-Length", str(length).encode()))
        if is_last:
            response_headers.append((b"Connection", b"close"))
        self._is_close_delimited = (
            length is None and self._connection.their_http_version == b"1.0"
        )
        response = h11.Response(
            status_code=status, headers=response_headers, reason=b""
        )
        await self._write(self._connection.send(response))

    async def send_body(self, data: bytes) -> None:
        """Send a chunk of the body and wait until it is written."""
        event = h11.Data(data=data)
        if len(data) <= _READ_BYTES:
            await self._write(self._connection.send(event))
            return
        # Written in pieces, as the sum would be a second copy.
        pieces = self._connection.send_with_data_passthrough(event)
        await asyncio.gather(*(self._stream.write(p) for p in pieces))

    async def finish(self) -> None:
        """End the response."""
        await self._write(self._connection.send(h11.EndOfMessage()))

    async def send_response(
        self,
        status: int,
        headers: messages.Headers,
        body: bytes,
        *,
        is_last: bool = False,
    ) -> None:
        """Send a complete response."""
        await self.send_head(status, headers, len(body), is_last=is_last)
        if body:
            await self.send_body(body)
        await self.finish()

    async def _write(self, data: bytes | None) -> None:
        if data:
            await self._stream.write(data)

    async def _read_head(self) -> h11.Request | None:
        try:
            return await self._wait_for_head()
        except h11.RemoteProtocolError as error:
            raise exceptions.MalformedRequestError(
                str(error), error.error_status_hint
            ) from error

    async def _wait_for_head(self) -> h11.Request | None:
        event = self._connection.next_event()
        if event is h11.NEED_DATA and not self._connection.trailing_data[0]:
            if not await self._wait_for_first_byte():
                return None
            event = self._connection.next_event()
        self._extended_to_s = None
        limit_s = self._limits().header_timeout_s
        deadline_s = clock.now_s() + limit_s
        try:
            while event is h11.NEED_DATA:
                if not await self._receive_before(deadline_s, limit_s):
                    return None
                event = self._connection.next_event()
        except TimeoutError as error:
            raise exceptions.MalformedRequestError(
                "the headers were not received in time", 408
            ) from error
        return event if isinstance(event, h11.Request) else None

    async def _wait_for_first_byte(self) -> bool:
        """Wait for the next request until the idle timeout expires.

        If the timeout is raised in the meantime, the wait is extended.
        """
        started_at_s = clock.now_s()
        limit_s = self._limits().idle_timeout_s
        reading = asyncio.ensure_future(self._receive())
        self._awaits_request = True
        try:
            while not reading.done():
                remaining_s = started_at_s + limit_s - clock.now_s()
                if remaining_s <= 0:
                    return False
                await io_wait.wait_for_input(reading, remaining_s)
                limit_s = max(limit_s, self._limits().idle_timeout_s)
            return reading.result()
        finally:
            self._awaits_request = False
            reading.cancel()

    async def _read_body(self) -> bytes:
        limits = self._limits()
        if self._connection.they_are_waiting_for_100_continue:
            response = h11.InformationalResponse(status_code=100, headers=[])
            await self._write(self._connection.send(response))
        body = part_buffer.PartBuffer()
        self._extended_to_s = None
        started_at_s = clock.now_s()
        while True:
            allowed_s = (
                limits.idle_timeout_s + len(body) / _MIN_BODY_BYTES_PER_S
            )
            event = await self._next_body_event(
                limits.idle_timeout_s, started_at_s + allowed_s
            )
            if isinstance(event, h11.EndOfMessage):
                # The response is owed from now on.
                self._holding.set(len(body), None)
                self._given_up_reason = None
                return body.pop_all()
            body.append(event.data)
            self._holding.set(len(body), self._give_up_body)
            if len(body) > limits.max_body_bytes:
                raise exceptions.MalformedRequestError(
                    f"the body is larger than {limits.max_body_bytes} bytes",
                    413,
                )

    async def _next_body_event(
        self, idle_timeout_s: float, deadline_s: float
    ) -> h11.Data | h11.EndOfMessage:
        """Wait for the next part of the body.

        :param deadline_s: clock time at which the body is given up
        """
        try:
            while True:
                event = self._connection.next_event()
                if isinstance(event, (h11.Data, h11.EndOfMessage)):
                    return event
                if event is not h11.NEED_DATA:
                    raise iostream.StreamClosedError
                if not await self._receive_before(
                    min(deadline_s, clock.now_s() + idle_timeout_s),
                    idle_timeout_s,
                ):
                    raise iostream.StreamClosedError
        except h11.RemoteProtocolError as error:
            raise exceptions.MalformedRequestError(str(error)) from error
        except TimeoutError as error:
            raise exceptions.MalformedRequestError(
                "the body was not received in time", 408
            ) from error

    async def _receive_before(self, deadline_s: float, limit_s: float) -> bool:
        """Read more bytes; False if the caller has disconnected.

        If this process was held up until after the deadline, what arrived
        meanwhile counts, and the rest gets as long again, up to the limit.

        :param limit_s: time limit that the deadline comes from
        :raises TimeoutError: if nothing arrives in time
        """
        if self._extended_to_s is not None:
            deadline_s = max(deadline_s, self._extended_to_s)
        remaining_s = deadline_s - clock.now_s()
        if remaining_s <= 0 and self._extended_to_s is not None:
            raise TimeoutError
        if self._given_up_reason is not None:
            raise exceptions.NodeFullError(self._given_up_reason)
        reading = self._reading = asyncio.ensure_future(self._receive())
        try:
            await io_wait.wait_for_input(reading, remaining_s)
            if self._given_up_reason is not None:
                raise exceptions.NodeFullError(self._given_up_reason)
            if not reading.done():
                raise TimeoutError
            now = clock.now_s()
            late_s = now - deadline_s
            if late_s > _MIN_HELD_UP_S and self._extended_to_s is None:
                self._extended_to_s = now + min(late_s, limit_s)
            return reading.result()
        finally:
            reading.cancel()

    def _give_up_body(self, reason: str) -> None:
        self._given_up_reason = reason
        if self._reading is not None:
            self._reading.cancel()

    async def _receive(self) -> bool:
        """Read more bytes; False if the caller has disconnected."""
        try:
            data = await self._stream.read_bytes(_READ_BYTES, partial=True)
        except iostream.StreamClosedError:
            return False
        self._is_receiving = True
        if self._connection.their_state is h11.IDLE:
            self._raw_head += data
        self._connection.receive_data(data)
        return True

    def _check_framing(self, request: h11.Request) -> None:
        head = _END_OF_HEAD.split(self._raw_head, 1)[0]
        self._raw_head = b""
        limits = self._limits()
        if len(head) > limits.max_header_bytes:
            raise exceptions.MalformedRequestError(
                f"the headers are larger than {limits.max_header_bytes} bytes",
                431,
            )
        if _FOLDED_HEADER.search(head):
            raise exceptions.MalformedRequestError(
                "a header is folded over several lines"
            )
        names = [name for name, _ in request.headers]
        if b"content-length" in names and b"transfer-encoding" in names:
            raise exceptions.MalformedRequestError(
                "the request has both Content-Length and Transfer-Encoding"
            )
        lengths = [v for n, v in request.headers if n == b"content-length"]
        if lengths and int(lengths[0]) > limits.max_body_bytes:
            raise exceptions.MalformedRequestError(
                f"the body is larger than {limits.max_body_bytes} bytes", 413
            )
