"""Bounded buffer between a response's connection and its reader."""

import asyncio
import collections
from collections.abc import Awaitable


class ChunkBuffer:
    """Queue of chunks that makes the connection wait when it is full.

    :param max_bytes: number of unread bytes at which the connection waits
    """

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self._unread_bytes = 0
        self._chunks: collections.deque[bytes] = collections.deque()
        self._is_ended = False
        self._is_discarded = False
        self._chunk_added: asyncio.Future[None] | None = None
        self._drained: asyncio.Future[None] | None = None

    @property
    def unread_bytes(self) -> int:
        """Number of buffered bytes."""
        return self._unread_bytes

    def put(self, chunk: bytes) -> Awaitable[None] | None:
        """Add a chunk.

        :returns: an awaitable to wait for before the next chunk, or None
        """
        # The connection may still deliver data after the reader has stopped.
        if self._is_discarded:
            return None
        self._chunks.append(chunk)
        self._unread_bytes += len(chunk)
        _resolve(self._chunk_added)
        if self._unread_bytes < self._max_bytes:
            return None
        if self._drained is None or self._drained.done():
            self._drained = asyncio.get_running_loop().create_future()
        return self._drained

    def end(self) -> None:
        """Mark the end: the reader stops after the buffered chunks."""
        self._is_ended = True
        _resolve(self._chunk_added)

    def discard(self) -> None:
        """Drop the buffered chunks and all later ones."""
        self._is_discarded = True
        self._chunks.clear()
        self._unread_bytes = 0
        _resolve(self._drained)

    async def get(self) -> bytes | None:
        """Return the next chunk when it arrives, or None after the last."""
        while not self._chunks:
            if self._is_ended:
                return None
            self._chunk_added = asyncio.get_running_loop().create_future()
            await self._chunk_added
        chunk = self._chunks.popleft()
        self._unread_bytes -= len(chunk)
        if self._unread_bytes < self._max_bytes:
            _resolve(self._drained)
        return chunk


def _resolve(future: "asyncio.Future[None] | None") -> None:
    if future is not None and not future.done():
        future.set_result(None)
