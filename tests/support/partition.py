"""Cuts nodes off from endpoints although all run in one event loop."""

import asyncio
import contextlib
import contextvars
import enum
from unittest import mock

from tornado import iostream

# Name of the node whose code runs; the tasks of a node inherit it.
_node = contextvars.ContextVar("node", default=None)


class Cut(enum.Enum):
    """What a node that is cut off meets.

    ``HANG``: connections hang, old and new ones.
    ``RESET``: old connections are reset, new ones hang.
    ``REFUSE``: old connections live on, new ones are refused.
    """

    HANG = "hang"
    RESET = "reset"
    REFUSE = "refuse"


@contextlib.contextmanager
def owned_by(name):
    """Let what starts within belong to a node."""
    token = _node.set(name)
    try:
        yield
    finally:
        _node.reset(token)


class Partition:
    """Cuts nodes off from some addresses.

    ``connects`` are the names of the nodes that opened connections there.
    """

    def __init__(self, addresses):
        self._addresses = {(a.host, a.port) for a in addresses}
        self._cuts = {}
        self._streams = []
        self._healed = asyncio.Event()
        self.connects = []

    def __enter__(self):
        self._patch = mock.patch.object(
            iostream, "IOStream", self._stream_class()
        )
        self._patch.start()
        return self

    def __exit__(self, *error):
        self.heal()
        self._patch.stop()

    def cut(self, name, how=Cut.HANG):
        """Cut a node off."""
        self._cuts[name] = how
        if how is Cut.RESET:
            for stream in self._streams:
                if stream.node == name and not stream.closed():
                    reset = ConnectionResetError("reset by the partition")
                    stream.close((type(reset), reset, None))

    def heal(self):
        """Give all nodes their paths back."""
        self._cuts.clear()
        self._healed.set()
        self._healed = asyncio.Event()

    def _stream_class(partition):
        class Stream(iostream.IOStream):
            node = None

            def connect(self, address, *options):
                if address not in partition._addresses:
                    return super().connect(address, *options)
                self.node = _node.get()
                partition._streams.append(self)
                match partition._cuts.get(self.node):
                    case None:
                        partition.connects.append(self.node)
                        return super().connect(address, *options)
                    case Cut.REFUSE:
                        raise ConnectionRefusedError("refused")
                    case _:
                        return asyncio.get_running_loop().create_future()

            def read_bytes(self, *size, **options):
                reading = super().read_bytes(*size, **options)
                if self.node is None:
                    return reading
                return asyncio.ensure_future(self._read_late(reading))

            async def _read_late(self, reading):
                data = await reading
                while partition._cuts.get(self.node) is Cut.HANG:
                    await partition._healed.wait()
                return data

        return Stream
