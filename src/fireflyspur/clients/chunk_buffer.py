"""Chunks of an answer between its connection and its reader."""

import asyncio
import collections
from collections.abc import Awaitable


class ChunkBuffer:
    """Holds chunks in order and makes the connection wait when it is full.

    :param max_bytes: bytes unread from which on the connection waits
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._unread_bytes = 0
        self._chunks: collections.deque[bytes] = collections.deque()
        self._is_ended = False
        self._is_discarded = False
        self._arrival: asyncio.Future[None] | None = None
        self._room: asyncio.Future[None] | None = None

    @property
    def unread_bytes(self) -> int:
        """Bytes held."""
        return self._unread_bytes

    def put(self, chunk: bytes) -> Awaitable[None] | None:
        """Take a chunk.

        :returns: what to wait for before the next chunk, or None
        """
        # The connection outlives a stream that nobody reads any more.
        if self._is_discarded:
            return None
        self._chunks.append(chunk)
        self._unread_bytes += len(chunk)
        _set(self._arrival)
        if self._unread_bytes < self._max_bytes:
            return None
        if self._room is None or self._room.done():
            self._room = asyncio.get_running_loop().create_future()
        return self._room

    def end(self) -> None:
        """Let the reader end after the chunks that are there."""
        self._is_ended = True
        _set(self._arrival)

    def discard(self) -> None:
        """Drop the chunks, and those that still come."""
        self._is_discarded = True
        self._chunks.clear()
        self._unread_bytes = 0
        _set(self._room)

    async def get(self) -> bytes | None:
        """Wait for the next chunk; None after the last one."""
        while not self._chunks:
            if self._is_ended:
                return None
            self._arrival = asyncio.get_running_loop().create_future()
            await self._arrival
        chunk = self._chunks.popleft()
        self._unread_bytes -= len(chunk)
        if self._unread_bytes < self._max_bytes:
            _set(self._room)
        return chunk


def _set(future: "asyncio.Future[None] | None") -> None:
    if future is not None and not future.done():
        future.set_result(None)
