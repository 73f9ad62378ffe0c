"""Serves requests that other nodes hand over."""

from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses

from fireflyspur.errors import exceptions as base_exceptions
from fireflyspur.gateway.callers import caller_connection
from fireflyspur.gateway.callers import caller_server
from fireflyspur.gateway.common import byte_budget
from fireflyspur.gateway.common import messages
from fireflyspur.gateway.configuration import routing_config
from fireflyspur.gateway.fleet import peer_table
from fireflyspur.gateway.handover import exceptions
from fireflyspur.gateway.handover import handover_codec
from fireflyspur.observability import logs

_log = logs.log_for("handover")

# Responds to a request that another node handed over.
Serve = Callable[
    [
        caller_connection.CallerConnection,
        messages.CallerRequest,
        handover_codec.HandoverInfo,
    ],
    Awaitable[None],
]
# Sends an error and closes the connection.
SendError = Callable[
    [caller_connection.CallerConnection, base_exceptions.FireflyspurError],
    Awaitable[None],
]


class HandoverServer:
    """Accepts requests of the other nodes, and of nobody else.

    :param peers: the other nodes
    :param serve: responds to a request
    :param send_error: sends an error
    :param limits: returns the current limits for callers
    :param bytes_held: limits the bytes that are held for requests
    """

    def __init__(
        self,
        peers: peer_table.PeerTable,
        serve: Serve,
        send_error: SendError,
        limits: Callable[[], routing_config.CallerLimits],
        bytes_held: byte_budget.ByteBudget,
    ) -> None:
        self._peers = peers
        self._serve = serve
        self._send_error = send_error
        self._limits = limits
        self._server = caller_server.CallerServer(
            self._handle_request, send_error, self._node_limits, bytes_held
        )

    @property
    def server(self) -> caller_server.CallerServer:
        """The server that accepts the connections."""
        return self._server

    def _node_limits(self) -> routing_config.CallerLimits:
        limits = self._limits()
        return dataclasses.replace(
            limits,
            max_header_bytes=limits.max_header_bytes
            + 2 * handover_codec.MAX_INFO_BYTES,
        )

    async def _handle_request(
        self,
        connection: caller_connection.CallerConnection,
        request: messages.CallerRequest,
    ) -> None:
        try:
            info, headers = handover_codec.decode_request(request.headers)
            if not self._peers.is_at(info.node, connection.remote_host):
                raise exceptions.HandoverRefusedError("not a known node")
        except exceptions.HandoverRefusedError as error:
            _log.warning(
                "Handover refused",
                sender=connection.remote_host,
                reason=str(error),
            )
            await self._send_error(connection, error)
            return
        transit_s = self._peers.transit_s(info.node, info.sent_at_s)
        elapsed_s = max(0.0, info.elapsed_s) + transit_s
        original = dataclasses.replace(
            request,
            headers=headers,
            received_at_s=request.received_at_s - elapsed_s,
        )
        await self._serve(connection, original, info)
