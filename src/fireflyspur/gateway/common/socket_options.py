"""Options of the gateway's TCP connections."""

import socket

from tornado import iostream

# Keepalive probes of an idle connection: time until the first one, interval
# between them, and number of unanswered ones that close the connection.
_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 2
# A network path can fail without a reset. A connection is closed when sent
# bytes stay unacknowledged for this time. It also ends the probes, so that a
# shorter time would close the connection after the first unanswered one.
_USER_TIMEOUT_MS = 1_000 * (
    _KEEPALIVE_IDLE_S + _KEEPALIVE_INTERVAL_S * _KEEPALIVE_PROBES
)


def apply(stream: iostream.IOStream) -> None:
    """Disable Nagle's algorithm and detect unreachable peers.

    :raises StreamClosedError: if the connection is closed already
    """
    if stream.closed():
        raise iostream.StreamClosedError
    stream.set_nodelay(True)
    connection = stream.socket
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, _KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS),
    ):
        connection.setsockopt(socket.IPPROTO_TCP, option, value)
