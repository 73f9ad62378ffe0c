"""Servers on free loopback ports."""

from tornado import netutil

from fireflyspur.gateway import address as addresses


def listen(server):
    """Start a TCP server; returns its address."""
    sockets = netutil.bind_sockets(0, "127.0.0.1")
    server.add_sockets(sockets)
    return addresses.Address(*sockets[0].getsockname()[:2])


def free_port():
    """Return a port that is free now."""
    sockets = netutil.bind_sockets(0, "127.0.0.1")
    port = sockets[0].getsockname()[1]
    for item in sockets:
        item.close()
    return port
