"""A small HTTP/1.1 server and client for the stand-ins."""

import asyncio
import contextlib
import dataclasses
import urllib.parse

MAX_HEAD_BYTES = 65_536


@dataclasses.dataclass
class Request:
    """A request that a stand-in has read.

    :param peer: host that sent it
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    peer: str

    @property
    def path(self) -> str:
        """Path without the query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        """Parameters of the query."""
        query = self.target.partition("?")[2]
        return dict(urllib.parse.parse_qsl(query))


@dataclasses.dataclass
class Response:
    """A response that a client has read.

    :param is_complete: whether its framing shows that it is whole
    """

    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict]:
    """Read a first line and the headers.

    :raises EOFError: if the connection ends before
    """
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return first, headers


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return body
        body += data[:-2]


async def read_request(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> Request | None:
    """Read a request; None if the connection has ended."""
    try:
        first, headers = await read_head(reader)
        method, target, _ = first.split(" ")
        if "chunked" in headers.get("transfer-encoding", ""):
            body = await _read_chunks(reader)
        else:
            length = int(headers.get("content-length", 0))
            body = await reader.readexactly(length)
    except (EOFError, OSError, asyncio.IncompleteReadError):
        return None
    peer = writer.get_extra_info("peername")[0]
    return Request(method, target, headers, body, peer)


def encode_head(
    status: int, headers: dict[str, str], length: int | None
) -> bytes:
    """Encode the head of a response; without a length it is chunked."""
    lines = [f"HTTP/1.1 {status} -"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if length is None:
        lines.append("Transfer-Encoding: chunked")
    else:
        lines.append(f"Content-Length: {length}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def encode_chunk(data: bytes) -> bytes:
    """Encode a chunk; an empty one ends the body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


async def read_response(reader: asyncio.StreamReader) -> Response:
    """Read a response.

    :raises EOFError: if the connection ends before its head
    """
    first, headers = await read_head(reader)
    status = int(first.split(" ")[1])
    body, is_complete = b"", True
    try:
        if "chunked" in headers.get("transfer-encoding", ""):
            body = await _read_chunks(reader)
        elif "content-length" in headers:
            length = int(headers["content-length"])
            body = await reader.readexactly(length)
        else:
            body = await reader.read()
    except (EOFError, OSError, ValueError):
        is_complete = False
    return Response(status, headers, body, is_complete)


async def close(writer: asyncio.StreamWriter) -> None:
    """Close a connection."""
    writer.close()
    with contextlib.suppress(OSError):
        await writer.wait_closed()
