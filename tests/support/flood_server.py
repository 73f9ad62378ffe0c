"""A server whose responses never end."""

import contextlib
import socket
import threading

from fireflyspur.gateway.common import address as addresses

_REQUEST_END = b"\r\n\r\n"
_READ_BYTES = 65_536


class FloodServer:
    """Sends a start, then one block again and again until the peer closes.

    It runs in threads, so that it never waits for the event loop that it
    floods.

    :param start: first bytes of each response
    :param block: bytes that are repeated without end
    :param pause_s: pause before each block
    """

    def __init__(self, start, block, pause_s=0.0):
        self._start = start
        self._block = block
        self._pause_s = pause_s
        self._closed = threading.Event()
        self._threads = []
        self.sent_bytes = 0
        self.connections = 0

    def __enter__(self):
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = addresses.Address(*self._listener.getsockname()[:2])
        self._run(self._accept)
        return self

    def __exit__(self, *error):
        self._closed.set()
        # Wakes the thread that waits for a connection.
        with contextlib.suppress(OSError):
            socket.create_connection(self._listener.getsockname()).close()
        self._listener.close()
        for thread in self._threads:
            thread.join(timeout=5.0)

    def _run(self, target, *arguments):
        thread = threading.Thread(target=target, args=arguments, daemon=True)
        self._threads.append(thread)
        thread.start()

    def _accept(self):
        while not self._closed.is_set():
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self.connections += 1
            self._run(self._flood, connection)

    def _flood(self, connection):
        with connection, contextlib.suppress(OSError):
            connection.settimeout(1.0)
            received = b""
            while _REQUEST_END not in received:
                data = connection.recv(_READ_BYTES)
                if not data:
                    return
                received += data
            connection.sendall(self._start)
            while not self._closed.wait(self._pause_s):
                connection.sendall(self._block)
                self.sent_bytes += len(self._block)
