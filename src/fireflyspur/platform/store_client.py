"""Client of the platform's store."""

import asyncio
import base64
import contextlib
import dataclasses
import urllib.parse

import msgspec

from fireflyspur.gateway.common import address as addresses
from fireflyspur.gateway.common import exceptions
from fireflyspur.gateway.common import messages
from fireflyspur.gateway.requests import http_exchange

# A reachable store accepts a connection within a few round trips.
_CONNECT_TIMEOUT_S = 0.5
# The store responds within a few milliseconds, or within a fraction of a
# second when it is slow.
_CALL_TIMEOUT_S = 1.0
# A page of newest records has at most 1 MB, a read of the log usually less.
_MAX_RESPONSE_BYTES = 8 * 1024 * 1024
_LENGTH_BYTES = 4
_OFFSET_BYTES = 8
_STATUS_GONE = 410


class _NewestItem(msgspec.Struct):
    key: str
    value: str
    offset: int


class _NewestPage(msgspec.Struct):
    items: list[_NewestItem]
    has_more: bool
    # Offset of the next record of the partition.
    end: int


_page_decoder = msgspec.json.Decoder(_NewestPage)


@dataclasses.dataclass(frozen=True)
class NewestRecord:
    """The newest record of a key."""

    key: str
    value: bytes
    offset: int


@dataclasses.dataclass(frozen=True)
class NewestRecords:
    """The newest record of each key of a topic.

    :param end: offset of the next record to be appended
    """

    records: tuple[NewestRecord, ...]
    end: int


@dataclasses.dataclass(frozen=True)
class KeyedRecord:
    """A record of a keyed topic; an empty value deletes the key."""

    key: str
    value: bytes


@dataclasses.dataclass(frozen=True)
class LogPage:
    """Consecutive records of a topic.

    :param end: offset of the next record to be appended
    :param is_expired: whether the requested records are no longer retained
    """

    records: tuple[KeyedRecord, ...]
    end: int
    is_expired: bool = False


class StoreClient:
    """Sends each request to the store on a new connection.

    :param address: address of the store
    """

    def __init__(self, address: addresses.Address) -> None:
        self._address = address

    async def read_newest(self, topic: str) -> NewestRecords:
        """Read the newest record of each key of a topic.

        :raises StoreUnavailableError: if the request fails
        """
        records: list[NewestRecord] = []
        after = None
        while True:
            query = {"topic": topic, "part": "0"}
            if after is not None:
                query["after"] = after
            _, body = await self._call("GET", "/api/log-newest", query)
            try:
                page = _page_decoder.decode(body)
                records.extend(_decode_record(item) for item in page.items)
            except (msgspec.DecodeError, ValueError) as error:
                raise exceptions.StoreUnavailableError(
                    f"the store's response is invalid: {error}"
                ) from error
            if not page.has_more or not page.items:
                return NewestRecords(tuple(records), page.end)
            after = page.items[-1].key

    async def read_log(
        self, topic: str, offset: int, wait_s: float
    ) -> LogPage:
        """Read the records from an offset, or wait for the next record.

        :param wait_s: maximum time to wait for a record
        :raises StoreUnavailableError: if the request fails
        """
        query = {
            "topic": topic,
            "part": "0",
            "from": str(offset),
            "wait_ms": str(int(wait_s * 1000)),
        }
        status, body = await self._call(
            "GET",
            "/api/log-read",
            query,
            wait_s=wait_s,
            accepted=(_STATUS_GONE,),
        )
        if status == _STATUS_GONE:
            return LogPage((), offset, is_expired=True)
        return _parse_log_page(body)

    async def append(self, topic: str, record: KeyedRecord) -> None:
        """Append a record to a keyed topic.

        :raises StoreUnavailableError: if the store does not confirm the
            append; the record may have been appended nevertheless
        """
        key = record.key.encode()
        content = bytes((len(key),)) + key + record.value
        body = len(content).to_bytes(_LENGTH_BYTES) + content
        query = {"topic": topic, "part": "0"}
        await self._call("POST", "/api/log-append", query, body=body)

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        body: bytes = b"",
        wait_s: float = 0.0,
        accepted: tuple[int, ...] = (),
    ) -> tuple[int, bytes]:
        try:
            async with asyncio.timeout(wait_s + _CALL_TIMEOUT_S):
                head, response = await self._exchange(
                    method, path, query, body
                )
        except (
            TimeoutError,
            exceptions.EndpointUnreachableError,
            exceptions.BrokenResponseError,
        ) as error:
            raise exceptions.StoreUnavailableError(
                f"{path}: {str(error) or 'no answer in time'}"
            ) from error
        if head.status != 200 and head.status not in accepted:
            raise exceptions.StoreUnavailableError(
                f"{path}: status {head.status}"
            )
        return head.status, response

    async def _exchange(
        self, method: str, path: str, query: dict[str, str], body: bytes
    ) -> tuple[messages.ResponseHead, bytes]:
        exchange = await http_exchange.HttpExchange.connect(
            self._address, _CONNECT_TIMEOUT_S
        )
        with contextlib.closing(exchange):
            target = f"{path}?{urllib.parse.urlencode(query)}"
            headers = [(b"Host", str(self._address).encode())]
            if method == "POST":
                length = str(len(body)).encode()
                headers.append((b"Content-Length", length))
            exchange.send(method.encode(), target.encode(), headers, body)
            head = await exchange.read_head()
            return head, await exchange.read_body(_MAX_RESPONSE_BYTES)


def _decode_record(item: _NewestItem) -> NewestRecord:
    return NewestRecord(item.key, base64.b64decode(item.value), item.offset)


def _parse_log_page(body: bytes) -> LogPage:
    end = int.from_bytes(body[:_OFFSET_BYTES])
    # Skips the offset of the oldest retained record, which comes second.
    position = 2 * _OFFSET_BYTES
    records = []
    while position + _LENGTH_BYTES <= len(body):
        length = int.from_bytes(body[position : position + _LENGTH_BYTES])
        position += _LENGTH_BYTES
        content = body[position : position + length]
        position += length
        if not content:
            continue
        key_end = 1 + content[0]
        key = content[1:key_end].decode("utf-8", "replace")
        records.append(KeyedRecord(key, content[key_end:]))
    return LogPage(tuple(records), end)
