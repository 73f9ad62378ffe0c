"""A stand-in for a worker that speaks the platform's wire."""

import asyncio
import dataclasses
import itertools

from tornado import iostream
from tornado import tcpserver

from fireflyspur.gateway.callers import caller_connection
from fireflyspur.gateway.configuration import routing_config
from tests.support import loopback

_arrival_numbers = itertools.count()


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request that reached the worker.

    :param number: orders the arrivals of all workers
    """

    number: int
    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def attempt_id(self):
        return self.headers.get("x-fireflyspur-attempt-id")


def response_head(arrival, worker, *extra, status="200 OK", seal=True):
    """Return the head of an answer as bytes."""
    lines = [
        f"HTTP/1.1 {status}",
        f"X-Fireflyspur-Attempt-Id: {arrival.attempt_id}",
        f"X-Fireflyspur-Instance-Id: {worker.instance}",
        *extra,
    ]
    if seal:
        lines.append(f"X-Fireflyspur-Response-Seal: seal-{worker.instance}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def chunk(data):
    """Return a chunk of a chunked body."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def event(number):
    """Return one event of a stream."""
    return f"id: {number}\ndata: token-{number}\n\n".encode()


class FakeEndpoint(tcpserver.TCPServer):
    """Answers each request by the next of its behaviours.

    A behaviour is a coroutine function of the worker, the arrival and the
    stream. When none is left, ``default_behaviour`` answers.
    """

    def __init__(self, instance, default_behaviour):
        super().__init__()
        self.instance = instance
        self.default_behaviour = default_behaviour
        self.behaviours = []
        self.arrivals = []
        self.cancelled = []
        self._streams = set()

    def start_listening(self):
        self.address = loopback.listen(self)

    def close(self):
        self.stop()
        for stream in list(self._streams):
            stream.close()

    def entry(self, service, **changes):
        """Return what the worker registers in the store."""
        return {
            "service": service,
            "address": str(self.address),
            "zone": "zone-a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": 1_700_000_000_000,
            **changes,
        }

    async def handle_stream(self, stream, address):
        self._streams.add(stream)
        connection = caller_connection.CallerConnection(
            stream, lambda: routing_config.CallerLimits()
        )
        request = await connection.read_request()
        if request is None:
            return
        arrival = Arrival(
            next(_arrival_numbers),
            request.method.decode(),
            request.target.decode(),
            {n.decode().lower(): v.decode() for n, v in request.headers},
            request.body,
        )
        self.arrivals.append(arrival)
        behaviour = (
            self.behaviours.pop(0)
            if self.behaviours
            else self.default_behaviour
        )
        task = asyncio.ensure_future(behaviour(self, arrival, stream))
        stream.set_close_callback(task.cancel)
        try:
            await task
        except asyncio.CancelledError:
            self.cancelled.append(arrival)
        except iostream.StreamClosedError:
            self.cancelled.append(arrival)
        finally:
            stream.set_close_callback(None)
            stream.close()
            self._streams.discard(stream)


async def respond_plain(worker, arrival, stream):
    """Answer with a body that has a length."""
    body = b"body of " + worker.instance.encode()
    extra = f"Content-Length: {len(body)}"
    await stream.write(response_head(arrival, worker, extra) + body)


def respond_events(count=5, pause_s=0.0, stop_after=None, partial=b""):
    """Return a behaviour that streams events.

    :param stop_after: event after which the connection is closed
    :param partial: bytes sent before it is closed
    """

    async def behaviour(worker, arrival, stream):
        begin = int(arrival.headers.get("last-event-id") or 0) + 1
        text = response_head(
            arrival,
            worker,
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        )
        await stream.write(text)
        for number in range(begin, count + 1):
            await asyncio.sleep(pause_s)
            await stream.write(chunk(event(number)))
            if number == stop_after:
                if partial:
                    await stream.write(chunk(partial))
                return
        await stream.write(b"0\r\n\r\n")

    return behaviour


def respond_raw(*parts):
    """Return a behaviour that writes bytes and closes."""

    async def behaviour(worker, arrival, stream):
        for part in parts:
            await stream.write(part)

    return behaviour


def respond_status(status, *extra, seal=False, body=b"failed"):
    """Return a behaviour that answers with a status."""

    async def behaviour(worker, arrival, stream):
        length = f"Content-Length: {len(body)}"
        text = response_head(
            arrival, worker, length, *extra, status=status, seal=seal
        )
        await stream.write(text + body)

    return behaviour


def respond_with_limits(*values):
    """Return a behaviour whose responses name rate limits."""
    lines = [f"Server-Limit: {value}" for value in values]

    async def behaviour(worker, arrival, stream):
        body = b"done"
        extra = (f"Content-Length: {len(body)}", *lines)
        await stream.write(response_head(arrival, worker, *extra) + body)

    return behaviour


async def never_respond(worker, arrival, stream):
    """Keep the connection open without an answer."""
    await asyncio.Event().wait()


async def crash_process(worker, arrival, stream):
    """End the worker: it takes no connection any more."""
    worker.close()


async def crash(worker, arrival, stream):
    """Close the connection without an answer."""
    stream.close()
