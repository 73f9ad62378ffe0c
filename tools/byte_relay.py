"""A TCP relay that counts the bytes that pass through it."""

import asyncio
import contextlib

_CHUNK_BYTES = 65536


class ByteRelay:
    """Relays connections to one port on loopback.

    :param target_port: the port
    """

    def __init__(self, target_port: int) -> None:
        self._target_port = target_port
        self._count = 0
        self._server: asyncio.Server | None = None

    @property
    def count(self) -> int:
        """Bytes passed so far, both directions together."""
        return self._count

    async def start(self) -> int:
        """Listen on a free port and return it."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1")
        return self._server.sockets[0].getsockname()[1]

    async def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        far_reader, far_writer = await asyncio.open_connection(
            "127.0.0.1", self._target_port
        )
        await asyncio.gather(
            self._pass(reader, far_writer), self._pass(far_reader, writer)
        )

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError):
            while chunk := await reader.read(_CHUNK_BYTES):
                self._count += len(chunk)
                writer.write(chunk)
                await writer.drain()
        writer.close()
