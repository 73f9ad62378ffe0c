"""Stand-in of the platform's store, as far as the scripts need it."""

import asyncio
import base64
from collections.abc import Callable
import dataclasses
import json
import struct
import time

from standins3 import http1

# Time that the store takes for an answer.
ANSWER_S = 0.004
# Largest number of records in a page of newest records.
PAGE_ITEMS = 500
WORKERS_TOPIC = "keyed.servers"
# An entry of a worker is removed after three heartbeats without one.
EXPIRY_S = 3 * 1.2


@dataclasses.dataclass
class Topic:
    """Partition 0 of a keyed topic."""

    records: list[bytes] = dataclasses.field(default_factory=list)
    newest: dict[str, tuple[bytes, int]] = dataclasses.field(
        default_factory=dict
    )
    changed: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)
    # Steady clock of the latest record of each key.
    written_at_s: dict[str, float] = dataclasses.field(default_factory=dict)

    def append(self, key: str, value: bytes) -> int:
        """Append a record; without a value its key is dropped."""
        offset = len(self.records)
        name = key.encode()
        self.records.append(bytes((len(name),)) + name + value)
        self.written_at_s[key] = time.monotonic()
        if value:
            self.newest[key] = (value, offset)
        else:
            self.newest.pop(key, None)
        self.changed.set()
        self.changed = asyncio.Event()
        return offset


class Store:
    """A log with keyed topics that answers after a few milliseconds.

    :param is_refused: returns whether a call of a host is not answered
    """

    def __init__(
        self, is_refused: Callable[[str], bool] = lambda host: False
    ) -> None:
        self.topics: dict[str, Topic] = {}
        self.calls = 0
        self._is_refused = is_refused
        self._server: asyncio.Server | None = None
        self._expiry: asyncio.Task[None] | None = None

    def topic(self, name: str) -> Topic:
        """Return a topic, which is created on first use."""
        return self.topics.setdefault(name, Topic())

    def write(self, topic: str, key: str, content: object) -> None:
        """Write a record as an operator or a worker does, with success.

        :param content: JSON content, or None to drop the key
        """
        value = b"" if content is None else json.dumps(content).encode()
        self.topic(topic).append(key, value)

    async def start(self, host: str, port: int) -> None:
        """Listen on an address."""
        self._server = await asyncio.start_server(
            self._serve, host, port, backlog=1024
        )
        if self._expiry is None:
            self._expiry = asyncio.ensure_future(self._expire())

    async def _expire(self) -> None:
        """Remove the entries of workers that have become silent."""
        topic = self.topic(WORKERS_TOPIC)
        while True:
            await asyncio.sleep(0.05)
            latest_s = time.monotonic() - EXPIRY_S
            for key in list(topic.newest):
                if topic.written_at_s[key] < latest_s:
                    topic.append(key, b"")

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                request = await http1.read_request(reader, writer)
                if request is None:
                    return
                self.calls += 1
                if self._is_refused(request.peer):
                    # Nothing comes back, and the connection stays open.
                    await reader.read()
                    return
                await asyncio.sleep(ANSWER_S)
                status, kind, body = await self._answer(request)
                headers = {"Content-Type": kind}
                writer.write(
                    http1.encode_head(status, headers, len(body)) + body
                )
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            return
        finally:
            writer.close()

    async def _answer(self, request: http1.Request) -> tuple[int, str, bytes]:
        query = request.query
        topic = self.topic(query["topic"])
        match request.path:
            case "/api/log-newest":
                return 200, "application/json", self._newest(topic, query)
            case "/api/log-read":
                body = await self._read(topic, query)
                return 200, "application/octet-stream", body
            case "/api/log-append":
                return self._append(query["topic"], topic, request.body)
        return 404, "application/json", b"{}"

    def _newest(self, topic: Topic, query: dict[str, str]) -> bytes:
        after = query.get("after", "")
        keys = sorted(key for key in topic.newest if key > after)
        items = [
            {
                "key": key,
                "value": base64.b64encode(topic.newest[key][0]).decode(),
                "offset": topic.newest[key][1],
            }
            for key in keys[:PAGE_ITEMS]
        ]
        page = {
            "items": items,
            "has_more": len(keys) > PAGE_ITEMS,
            "end": len(topic.records),
        }
        return json.dumps(page).encode()

    async def _read(self, topic: Topic, query: dict[str, str]) -> bytes:
        start = int(query["from"])
        wait_s = min(int(query.get("wait_ms", 0)), 30_000) / 1000
        if start >= len(topic.records) and wait_s:
            changed = topic.changed
            try:
                async with asyncio.timeout(wait_s):
                    await changed.wait()
            except TimeoutError:
                pass
        body = struct.pack(">QQ", len(topic.records), 0)
        for record in topic.records[start:]:
            body += struct.pack(">I", len(record)) + record
        return body

    def _append(
        self, name: str, topic: Topic, body: bytes
    ) -> tuple[int, str, bytes]:
        if name in ("keyed.op", "keyed.servers"):
            return 403, "application/json", b"{}"
        first = len(topic.records)
        while body:
            (length,) = struct.unpack(">I", body[:4])
            content, body = body[4 : 4 + length], body[4 + length :]
            end = 1 + content[0]
            topic.append(content[1:end].decode(), content[end:])
        answer = {"offset": first, "end": len(topic.records)}
        return 200, "application/json", json.dumps(answer).encode()
