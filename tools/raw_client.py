"""A cheap HTTP client for measurements: sockets and no parser of answers."""

import asyncio
import dataclasses
import json
import time

_CHUNK_BYTES = 256 * 1024
_END = b"0\r\n\r\n"


@dataclasses.dataclass(frozen=True)
class Target:
    """Where streams are asked for.

    :param marker: what the first token's line contains
    :param end: what the last line of a whole answer contains
    """

    port: int
    path: str
    marker: bytes
    end: bytes
    key: str = ""

    def request(self, prompt: str, max_tokens: int) -> bytes:
        """Return a request for a stream as it is sent."""
        body = json.dumps(
            {
                "model": "quill",
                "prompt": prompt,
                "max_tokens": max_tokens,
                "stream": True,
                "request_id": "direct",
                "attempt": 1,
            }
        ).encode()
        head = (
            f"POST {self.path} HTTP/1.1\r\nHost: node\r\n"
            f"Authorization: Bearer {self.key}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        return head.encode() + body


class Connection:
    """One connection that carries one request after another."""

    def __init__(
        self,
        target: Target,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._target = target
        self._reader = reader
        self._writer = writer

    @classmethod
    async def open(cls, target: Target) -> "Connection":
        """Connect to a target."""
        streams = await asyncio.open_connection(
            "127.0.0.1", target.port, limit=_CHUNK_BYTES
        )
        return cls(target, *streams)

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()

    async def first_token(self, request: bytes) -> float:
        """Send a request and return the seconds to its first token."""
        started = time.perf_counter()
        await self._send(request)
        await self._read_until(self._target.marker)
        return time.perf_counter() - started

    async def call(self, request: bytes) -> float:
        """Read a whole answer; returns the seconds to its first token.

        :raises RuntimeError: if the answer is not whole
        """
        started = time.perf_counter()
        await self._send(request)
        data = await self._read_until(self._target.marker)
        elapsed_s = time.perf_counter() - started
        while not data.endswith(_END):
            data = data[-256:] + await self._read(data)
        if self._target.end not in data:
            raise RuntimeError(f"the answer is not whole: {data[-200:]!r}")
        return elapsed_s

    async def send_only(self, request: bytes) -> None:
        """Send a request whose answer is never read."""
        self._writer.transport.pause_reading()
        await self._send(request)

    async def _send(self, request: bytes) -> None:
        self._writer.write(request)
        await self._writer.drain()

    async def _read(self, data: bytes) -> bytes:
        chunk = await self._reader.read(_CHUNK_BYTES)
        if not chunk:
            raise RuntimeError(f"the answer ended: {data[-200:]!r}")
        return chunk

    async def _read_until(self, marker: bytes) -> bytes:
        data = b""
        while marker not in data:
            if data.endswith(_END):
                raise RuntimeError(f"the answer has no token: {data!r:.400}")
            data += await self._read(data)
        return data
