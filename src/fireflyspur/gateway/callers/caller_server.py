"""A server that accepts connections from callers."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import traceback

from tornado import iostream
from tornado import tcpserver

from fireflyspur.gateway.callers import caller_connection
from fireflyspur.gateway.common import byte_budget
from fireflyspur.gateway.common import exceptions
from fireflyspur.gateway.common import messages
from fireflyspur.gateway.common import socket_options
from fireflyspur.gateway.configuration import routing_config
from fireflyspur.observability import logs

# Only the end of a traceback is logged, as it names the failing line.
_TRACE_CHARACTERS = 2_000
# A request whose connection closes is cancelled, which waits for nobody.
_CLOSE_TIMEOUT_S = 0.1

_log = logs.log_for("callers")

RequestHandler = Callable[
    [caller_connection.CallerConnection, messages.CallerRequest],
    Awaitable[None],
]
ErrorHandler = Callable[
    [
        caller_connection.CallerConnection,
        exceptions.MalformedRequestError,
    ],
    Awaitable[None],
]


class CallerServer(tcpserver.TCPServer):
    """Serves each connection in a task of its own.

    :param handle_request: responds to a request
    :param handle_error: responds to a malformed request
    :param limits: returns the current limits
    :param bytes_held: limits the bytes that are held for requests
    """

    def __init__(
        self,
        handle_request: RequestHandler,
        handle_error: ErrorHandler,
        limits: Callable[[], routing_config.CallerLimits],
        bytes_held: byte_budget.ByteBudget | None = None,
    ) -> None:
        super().__init__()
        self._bytes_held = bytes_held or byte_budget.ByteBudget.unlimited()
        self._handle_request = handle_request
        self._handle_error = handle_error
        self._limits = limits
        self._in_progress = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._connections: set[caller_connection.CallerConnection] = set()

    @property
    def in_progress(self) -> int:
        """Number of requests in progress, or of which a part has arrived."""
        receiving = sum(c.is_receiving for c in self._connections)
        return self._in_progress + receiving

    @property
    def open_connections(self) -> int:
        """Number of connections that are served."""
        return len(self._tasks)

    async def handle_stream(
        self, stream: iostream.IOStream, address: tuple[str, int]
    ) -> None:
        """Serve a connection until it closes."""
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            socket_options.apply(stream)
            stream.set_close_callback(task.cancel)
            await self._serve_connection(stream)
        except asyncio.CancelledError:
            # The caller has disconnected, which cancels its request.
            return
        except (iostream.StreamClosedError, OSError):
            return
        except Exception as error:
            # A bug must not affect other connections: close only this one.
            _log.error(
                "Connection failed",
                reason=repr(error),
                trace=traceback.format_exc()[-_TRACE_CHARACTERS:],
            )
        finally:
            self._tasks.discard(task)
            stream.set_close_callback(None)
            stream.close()

    def close_idle(self) -> int:
        """Close the connections that have sent no part of a request.

        :returns: number of connections that were closed
        """
        idle = [c for c in self._connections if c.is_idle]
        for connection in idle:
            connection.close()
        return len(idle)

    def close_connections(self) -> None:
        """Close all connections; unfinished responses look incomplete."""
        for connection in list(self._connections):
            connection.abort()

    async def close(self) -> None:
        """Stop, close all connections and let their requests end."""
        self.stop()
        self.close_connections()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=_CLOSE_TIMEOUT_S)

    async def _serve_connection(self, stream: iostream.IOStream) -> None:
        with self._bytes_held.open() as holding:
            connection = caller_connection.CallerConnection(
                stream, self._limits, holding
            )
            with self._registered(connection):
                await self._serve_requests(connection)

    @contextlib.contextmanager
    def _registered(
        self, connection: caller_connection.CallerConnection
    ) -> Iterator[None]:
        self._connections.add(connection)
        try:
            yield
        finally:
            self._connections.discard(connection)

    async def _serve_requests(
        self, connection: caller_connection.CallerConnection
    ) -> None:
        while True:
            try:
                request = await connection.read_request()
            except exceptions.MalformedRequestError as error:
                _log.info(
                    "Request malformed",
                    status=error.http_status,
                    reason=str(error),
                )
                if connection.can_respond:
                    await self._handle_error(connection, error)
                return
            if request is None:
                return
            self._in_progress += 1
            try:
                await self._handle_request(connection, request)
            finally:
                self._in_progress -= 1
            if not await connection.prepare_next_request():
                return
