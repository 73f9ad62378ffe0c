"""Passing of an endpoint's answer on to a caller."""

from collections.abc import Callable

from fireflyspur.gateway import caller_connection
from fireflyspur.gateway import clock
from fireflyspur.gateway import event_splitter
from fireflyspur.gateway import http_exchange
from fireflyspur.gateway import messages

# A plain answer up to this size is passed on once it is whole, so that a
# broken one can be replaced.
_MAX_BUFFERED_BYTES = 262_144


class ResponseRelay:
    """Passes one answer on, even if several endpoints contribute to it.

    :param connection: the caller's connection
    :param is_last: returns whether the connection ends with this answer
    """

    def __init__(
        self,
        connection: caller_connection.CallerConnection,
        is_last: Callable[[], bool],
    ) -> None:
        self._connection = connection
        self._is_last = is_last
        self._splitter = event_splitter.EventSplitter()
        self._is_started = False
        self._last_event_s: float | None = None
        self._longest_gap_s = 0.0

    @property
    def longest_gap_s(self) -> float:
        """Longest pause between events that were passed on."""
        return self._longest_gap_s

    @property
    def is_started(self) -> bool:
        """Whether the caller has got a part of the answer."""
        return self._is_started

    @property
    def last_event_id(self) -> str | None:
        """Id of the last event that the caller has got."""
        return self._splitter.last_id

    async def relay_body(
        self, exchange: http_exchange.HttpExchange, head: messages.ResponseHead
    ) -> int:
        """Pass on an answer without events.

        :returns: the bytes of its body
        :raises BrokenResponseError: if it ends early
        """
        buffered = bytearray()
        while (part := await exchange.read_part()) is not None:
            buffered += part
            if len(buffered) > _MAX_BUFFERED_BYTES:
                return await self._relay_long(exchange, head, bytes(buffered))
        self._is_started = True
        await self._connection.send_whole(
            head.status, head.headers, bytes(buffered), is_last=self._is_last()
        )
        return len(buffered)

    async def relay_events(
        self, exchange: http_exchange.HttpExchange, head: messages.ResponseHead
    ) -> None:
        """Pass on a stream, event by event.

        :raises BrokenResponseError: if it ends early; it can be continued
            after ``last_event_id``
        """
        self._splitter.drop_tail()
        while (part := await exchange.read_part()) is not None:
            events = self._splitter.take(part)
            if events:
                self._record_event()
                await self._start(head)
                await self._connection.send_body(events)
        await self._start(head)
        if self._splitter.tail:
            await self._connection.send_body(self._splitter.tail)
        await self._connection.finish()

    async def send_failure(
        self, head: messages.ResponseHead, body: bytes
    ) -> None:
        """Pass on a failure that an endpoint answered."""
        self._is_started = True
        await self._connection.send_whole(
            head.status, head.headers, body, is_last=self._is_last()
        )

    def _record_event(self) -> None:
        now = clock.now_s()
        if self._last_event_s is not None:
            gap_s = now - self._last_event_s
            self._longest_gap_s = max(self._longest_gap_s, gap_s)
        self._last_event_s = now

    async def _start(self, head: messages.ResponseHead) -> None:
        if not self._is_started:
            self._is_started = True
            await self._connection.send_head(
                head.status, head.headers, None, is_last=self._is_last()
            )

    async def _relay_long(
        self,
        exchange: http_exchange.HttpExchange,
        head: messages.ResponseHead,
        buffered: bytes,
    ) -> int:
        await self._start(head)
        await self._connection.send_body(buffered)
        size = len(buffered)
        while (part := await exchange.read_part()) is not None:
            await self._connection.send_body(part)
            size += len(part)
        await self._connection.finish()
        return size
