"""Endpoints of a soak, which fail as they are told."""

import asyncio
import contextlib

from tests.gateway_soak import record as records
from tests.support import fake_endpoint

# What an endpoint may do to the requests that reach it.
FAULTS = ("reject", "error", "slow", "cut", "extra", "unframed", "hang")
_EVENTS = 5
_EVENT_GAP_S = 0.03
_SLOW_S = 0.6


class SoakEndpoint(fake_endpoint.FakeEndpoint):
    """Records each arrival, and runs it, rejects it or breaks it off.

    ``fault`` is None or one of :data:`FAULTS`; each second request meets it.
    ``rate`` is the rate limit that it names, or None.
    """

    def __init__(self, instance, is_engine, record, now):
        super().__init__(instance, self._respond)
        self._is_engine = is_engine
        self._record = record
        self._now = now
        self._count = 0
        self.fault = None
        self.rate = None

    def _head(self, arrival, *extra, **options):
        if self.rate is not None:
            extra = (*extra, f"Server-Limit: {self.rate}")
        return fake_endpoint.response_head(arrival, self, *extra, **options)

    async def _respond(self, worker, arrival, stream):
        if arrival.attempt_id is None:
            # A health check.
            head = self._head(arrival, "Content-Length: 0", seal=False)
            await stream.write(head)
            return
        self._count += 1
        fault = self.fault if self._count % 2 else None
        self._record.arrivals.append(
            records.Arrival(
                arrival.attempt_id,
                self.instance,
                self._now(),
                has_run=fault != "reject",
            )
        )
        if fault == "reject":
            head = self._head(
                arrival,
                "X-Fireflyspur-Not-Executed: 1",
                "Content-Length: 0",
                status="503 Service Unavailable",
                seal=False,
            )
            await stream.write(head)
            return
        if fault == "hang":
            await asyncio.Event().wait()
        if fault == "slow":
            await asyncio.sleep(_SLOW_S)
        if fault == "error":
            head = self._head(
                arrival, "Content-Length: 5", status="500 Internal Error"
            )
            await stream.write(head + b"error")
            return
        if self._is_engine:
            await self._stream_events(arrival, stream, fault)
        else:
            await self._send_body(arrival, stream, fault)

    async def _send_body(self, arrival, stream, fault):
        body = f"answer to {arrival.attempt_id}".encode()
        if fault == "unframed":
            await stream.write(self._head(arrival) + body)
            return
        head = self._head(arrival, f"Content-Length: {len(body)}")
        if fault == "cut":
            await stream.write(head + body[:4])
            return
        await stream.write(head + body)
        if fault == "extra":
            await stream.write(head + body)

    async def _stream_events(self, arrival, stream, fault):
        is_framed = fault != "unframed"
        framing = ("Transfer-Encoding: chunked",) if is_framed else ()
        head = self._head(arrival, "Content-Type: text/event-stream", *framing)
        await stream.write(head)
        begin = int(arrival.headers.get("last-event-id") or 0) + 1
        for number in range(begin, _EVENTS + 1):
            await asyncio.sleep(_EVENT_GAP_S)
            data = f"id: {number}\ndata: {arrival.attempt_id}\n\n".encode()
            if fault == "cut" and number == _EVENTS - 1:
                await stream.write(fake_endpoint.chunk(data[:7]))
                return
            await stream.write(
                fake_endpoint.chunk(data) if is_framed else data
            )
        if is_framed:
            await stream.write(b"0\r\n\r\n")
        if fault == "extra":
            with contextlib.suppress(OSError):
                await stream.write(head)
