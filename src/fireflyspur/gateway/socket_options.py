"""Options of the gateway's TCP connections."""

import socket

from tornado import iostream

# A link can go silent without a reset. Bytes that stay unacknowledged this
# long end the connection; a healthy peer acknowledges within a round trip.
_UNACKNOWLEDGED_MS = 2_500
# Probes of a silent peer: first after this time, then at this interval.
_KEEPALIVE_IDLE_S = 2
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2


def apply(stream: iostream.IOStream) -> None:
    """Send small writes at once and notice peers that are gone."""
    stream.set_nodelay(True)
    connection = stream.socket
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_MS),
    ):
        connection.setsockopt(socket.IPPROTO_TCP, option, value)
