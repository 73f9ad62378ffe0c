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

# Suites that run beside one another begin at different places.
_offsets = itertools.count(os.getppid() * 97)


def listen(server):
    """Start a TCP server; returns its address."""
    sockets = netutil.bind_sockets(0, "127.0.0.1")
    server.add_sockets(sockets)
    return addresses.Address(*sockets[0].getsockname()[:2])


def _own_ports():
    """Return the ports of this process of a suite.

    Nodes that are started again find their ports free only if no other
    process of the suite takes them meanwhile.
    """
    processes = int(os.environ.get("PYTEST_XDIST_WORKER_COUNT", "1"))
    number = int(os.environ.get("PYTEST_XDIST_WORKER", "gw0")[2:])
    count = _PORTS // processes
    first = _FIRST_PORT + number * count
    return range(first, first + count)


def free_port():
    """Return a port that is free for TCP and UDP."""
    ports = _own_ports()
    while True:
        port = ports[next(_offsets) % len(ports)]
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
