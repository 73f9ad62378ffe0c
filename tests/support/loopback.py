"""Servers on free loopback ports."""

import itertools
import os
import socket

from tornado import netutil

from fireflyspur.gateway.common import address as addresses

# Below the range from which the system takes the ports of outgoing
# connections: one of these could take a port between its choice and its use.
_FIRST_PORT = 10_000
_PORTS = 22_000

# Test processes that run beside one another begin at different places.
_offsets = itertools.count(os.getpid() * 97)


def listen(server):
    """Start a TCP server; returns its address."""
    sockets = netutil.bind_sockets(0, "127.0.0.1")
    server.add_sockets(sockets)
    return addresses.Address(*sockets[0].getsockname()[:2])


def free_port():
    """Return a port that is free for TCP and UDP."""
    while True:
        port = _FIRST_PORT + next(_offsets) % _PORTS
        if _is_free(port):
            return port


def _is_free(port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                return False
    return True
