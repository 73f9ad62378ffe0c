"""One HTTP exchange over its own connection, at low cost for each token.

The request is HTTP/1.0, so that the body of the response arrives without
chunks and ends with the connection. The tornado client needs several times
the processor time for each token, which would bound the load.
"""

import asyncio
from collections.abc import Callable
import urllib.parse

_HEAD_END = b"\r\n\r\n"


def encode_request(
    path: str, host: str, headers: dict[str, str], body: bytes
) -> bytes:
    """Return the bytes of a POST request."""
    fields = {**headers, "Host": host, "Content-Length": str(len(body))}
    lines = [f"POST {path} HTTP/1.0"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join(lines).encode("latin-1") + _HEAD_END + body


async def exchange(
    base_url: str,
    request: bytes,
    on_body: Callable[[bytes], None],
    timeout_s: float,
) -> int:
    """Send a request and pass on the body of its response as it arrives.

    :returns: the status, 0 when the connection broke before it
    :raises TimeoutError: if the response did not end in time
    :raises OSError: if no connection was made
    """
    target = urllib.parse.urlsplit(base_url)
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(timeout_s):
        transport, protocol = await loop.create_connection(
            lambda: _Exchange(request, on_body), target.hostname, target.port
        )
        try:
            await protocol.ended
        finally:
            transport.abort()
    return protocol.status


class _Exchange(asyncio.Protocol):
    def __init__(
        self, request: bytes, on_body: Callable[[bytes], None]
    ) -> None:
        self._request = request
        self._on_body = on_body
        self._head = b""
        self.status = 0
        self.ended: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.WriteTransport)
        transport.write(self._request)
        self._request = b""

    def data_received(self, data: bytes) -> None:
        if self.status:
            self._on_body(data)
            return
        self._head += data
        head, found, body = self._head.partition(_HEAD_END)
        if found:
            self.status = int(head.split(b" ", 2)[1])
            if body:
                self._on_body(body)

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.ended.done():
            self.ended.set_result(None)
