"""Relaying of endpoints' responses to a caller."""

from collections.abc import Callable

from fireflyspur.gateway.callers import caller_connection
from fireflyspur.gateway.common import byte_budget
from fireflyspur.gateway.common import clock
from fireflyspur.gateway.common import exceptions
from fireflyspur.gateway.common import messages
from fireflyspur.gateway.common import part_buffer
from fireflyspur.gateway.requests import event_splitter
from fireflyspur.gateway.requests import http_exchange

# A response without events of up to this size is relayed only when it is
# complete, so that another endpoint can be tried if it breaks off.
_MAX_BUFFERED_BYTES = 262_144
# An event holds some tokens.
_MAX_EVENT_BYTES = 1_048_576
# A response of a million tokens has a few megabytes.
_MAX_RESPONSE_BYTES = 64 * 1_048_576
# An endpoint cuts off an answer that stays unread for some seconds.
_UNREAD_S = 1.0
# What a connection to an endpoint has read ahead, at most.
_READ_AHEAD_BYTES = 65_536


class ResponseRelay:
    """Relays one response, to which several endpoints may contribute.

    :param connection: the caller's connection
    :param is_last: returns whether to close the connection after the response
    :param holding: counts the bytes that are held for the response
    """

    def __init__(
        self,
        connection: caller_connection.CallerConnection,
        is_last: Callable[[], bool],
        holding: byte_budget.Holding,
    ) -> None:
        self._connection = connection
        self._is_last = is_last
        self._holding = holding
        self._splitter = event_splitter.EventSplitter()
        self._is_started = False
        self._is_body_sent = False
        self._last_event_s: float | None = None
        self._longest_gap_s = 0.0
        # Bytes of all endpoints' responses to this request.
        self._size = 0
        self._progress = 0
        # Longest time for which the caller left a part of this endpoint's
        # response unread.
        self._unread_s = 0.0

    @property
    def was_unread(self) -> bool:
        """Whether the endpoint may have cut its response off as unread.

        A caller that does not read keeps this node from reading.
        """
        return self._unread_s >= _UNREAD_S

    @property
    def longest_gap_s(self) -> float:
        """Longest pause between relayed events in seconds."""
        return self._longest_gap_s

    @property
    def is_started(self) -> bool:
        """Whether a part of the response has been sent to the caller."""
        return self._is_started

    @property
    def progress(self) -> int:
        """Changes with each part that is relayed, comments aside."""
        return self._progress

    @property
    def can_continue(self) -> bool:
        """Whether the response of another endpoint may follow.

        Only a stream can go on after what the caller has; anything else
        would begin once more in the middle.
        """
        return not self._is_body_sent and self._splitter.is_resumable

    @property
    def last_event_id(self) -> str | None:
        """ID of the last event that was relayed, or None."""
        return self._splitter.last_event_id

    async def relay_body(
        self, exchange: http_exchange.HttpExchange, head: messages.ResponseHead
    ) -> int:
        """Relay a response without events.

        :returns: size of the body in bytes
        :raises BrokenResponseError: if the response breaks off or is too long
        """
        buffered = part_buffer.PartBuffer()

        def give_up(reason: str) -> None:
            buffered.clear()
            exchange.abandon(reason)

        while (part := await self._read_part(exchange)) is not None:
            exchange.record_progress()
            buffered.append(part)
            self._hold(len(buffered), give_up)
            if len(buffered) > _MAX_BUFFERED_BYTES:
                return await self._relay_long(exchange, head, buffered)
        self._progress += 1
        self._is_started = self._is_body_sent = True
        self._hold(len(buffered), self._abort)
        body = buffered.pop_all()
        await self._connection.send_response(
            head.status, head.headers, body, is_last=self._is_last()
        )
        return len(body)

    async def relay_events(
        self, exchange: http_exchange.HttpExchange, head: messages.ResponseHead
    ) -> None:
        """Relay a stream, event by event.

        :raises BrokenResponseError: if the stream breaks off or is too long;
            it can be resumed after ``last_event_id``
        """
        self._splitter.drop_tail()
        self._unread_s = 0.0
        has_events = False

        def give_up(reason: str) -> None:
            self._splitter.drop_tail()
            exchange.abandon(reason)

        while (part := await self._read_part(exchange)) is not None:
            events = self._splitter.feed(part)
            if self._splitter.tail_size > _MAX_EVENT_BYTES:
                raise exceptions.BrokenResponseError(
                    f"an event is longer than {_MAX_EVENT_BYTES} bytes"
                )
            self._hold(self._splitter.tail_size, give_up)
            if not events:
                continue
            if event_splitter.has_content(events):
                has_events = True
                self._progress += 1
                exchange.record_progress()
                self._record_event()
            await self._send_head_once(head)
            await self._send(events, self._splitter.tail_size)
        self._check_end(exchange, has_events)
        self._progress += 1
        await self._send_head_once(head)
        if self._splitter.tail:
            # Blank lines, which end the body that the endpoint sent.
            await self._connection.send_body(self._splitter.tail)
        await self._connection.finish()

    async def send_failure(
        self, head: messages.ResponseHead, body: bytes
    ) -> None:
        """Relay an error response of an endpoint."""
        self._progress += 1
        self._hold(len(body), self._abort)
        self._is_started = True
        await self._connection.send_response(
            head.status, head.headers, body, is_last=self._is_last()
        )

    async def _read_part(
        self, exchange: http_exchange.HttpExchange
    ) -> bytes | None:
        part = await exchange.read_chunk()
        if part is None:
            _check_request_written(exchange)
        self._size += len(part or b"")
        if self._size > _MAX_RESPONSE_BYTES:
            raise exceptions.BrokenResponseError(
                f"the response is longer than {_MAX_RESPONSE_BYTES} bytes"
            )
        return part

    def _hold(self, size: int, end: byte_budget.End) -> None:
        """Count the bytes that are held, and what was read ahead of them."""
        read_ahead = min(self._size, _READ_AHEAD_BYTES)
        self._holding.set(size + read_ahead, end)

    def _abort(self, reason: str) -> None:
        """End the response of a caller that does not read it."""
        self._connection.abort()

    async def _send(self, data: bytes, held: int) -> None:
        """Send a part of the body.

        :param held: bytes that are held beside it
        """
        self._hold(held + len(data), self._abort)
        started_at_s = clock.now_s()
        await self._connection.send_body(data)
        waited_s = clock.now_s() - started_at_s
        self._unread_s = max(self._unread_s, waited_s)
        self._hold(held, self._abort)
        self._holding.record_progress()

    def _check_end(
        self, exchange: http_exchange.HttpExchange, has_events: bool
    ) -> None:
        """Check that the end of a stream did not cut it off.

        :param has_events: whether the endpoint sent a complete event
        :raises BrokenResponseError: if it did
        """
        is_closed = exchange.ends_with_connection
        if self._splitter.tail.strip():
            raise exceptions.BrokenResponseError(
                "the stream ended in the middle of an event",
                is_connection_lost=is_closed,
            )
        if is_closed and not has_events:
            raise exceptions.BrokenResponseError(
                "the connection was closed before the first event",
                is_connection_lost=True,
            )

    def _record_event(self) -> None:
        now = clock.now_s()
        if self._last_event_s is not None:
            gap_s = now - self._last_event_s
            self._longest_gap_s = max(self._longest_gap_s, gap_s)
        self._last_event_s = now

    async def _send_head_once(self, head: messages.ResponseHead) -> None:
        if not self._is_started:
            self._is_started = True
            await self._connection.send_head(
                head.status, head.headers, None, is_last=self._is_last()
            )

    async def _relay_long(
        self,
        exchange: http_exchange.HttpExchange,
        head: messages.ResponseHead,
        buffered: part_buffer.PartBuffer,
    ) -> int:
        self._progress += 1
        self._is_body_sent = True
        await self._send_head_once(head)
        size = len(buffered)
        while part := buffered.pop_block():
            await self._send(part, len(buffered))
        while (part := await self._read_part(exchange)) is not None:
            exchange.record_progress()
            await self._send(part, 0)
            size += len(part)
        await self._connection.finish()
        return size


def _check_request_written(exchange: http_exchange.HttpExchange) -> None:
    """Check that the end of a connection may end a response.

    An endpoint that closes before it has read the request resets the
    connection, which can't always be told from its end.

    :raises BrokenResponseError: if the request was still being written
    """
    if exchange.ends_with_connection and not exchange.is_request_written:
        raise exceptions.BrokenResponseError(
            "the connection was closed before the request was written",
            is_connection_lost=True,
        )
