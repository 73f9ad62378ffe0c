"""Buffer of bytes that arrive in parts."""

# Parts are joined up to this size, so that small ones cost little.
_BLOCK_BYTES = 16_384


class PartBuffer:
    """Keeps parts in blocks until they are joined.

    A single buffer that grows is moved again and again; what it leaves behind
    is of use to no other buffer, and the memory of the process grows.
    """

    def __init__(self) -> None:
        self._blocks: list[bytearray] = []
        self._size = 0

    def __len__(self) -> int:
        return self._size

    def append(self, data: bytes) -> None:
        """Add bytes at the end."""
        if not data:
            return
        self._size += len(data)
        if self._blocks and len(self._blocks[-1]) < _BLOCK_BYTES:
            self._blocks[-1] += data
        else:
            self._blocks.append(bytearray(data))

    def end(self, count: int) -> bytes:
        """Return up to a number of bytes, at most a block, from the end."""
        found = b""
        for block in reversed(self._blocks):
            found = bytes(block[-(count - len(found)) :]) + found
            if len(found) >= count:
                break
        return found

    def pop_block(self) -> bytes:
        """Remove and return the first block, or nothing if it is empty."""
        if not self._blocks:
            return b""
        block = self._blocks.pop(0)
        self._size -= len(block)
        return bytes(block)

    def pop_all(self) -> bytes:
        """Remove and return all bytes."""
        data = self.join()
        self.clear()
        return data

    def join(self) -> bytes:
        """Return all bytes."""
        return b"".join(self._blocks)

    def clear(self) -> None:
        """Discard all bytes."""
        self._blocks.clear()
        self._size = 0
