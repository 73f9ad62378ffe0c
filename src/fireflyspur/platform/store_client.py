"""Client of the platform's store."""

import asyncio
import base64
from collections.abc import Callable
import contextlib
import dataclasses
import urllib.parse

import msgspec

from fireflyspur.gateway.common import address as addresses
from fireflyspur.gateway.common import exceptions
from fireflyspur.gateway.common import messages
from fireflyspur.gateway.requests import http_exchange
from fireflyspur.observability import logs
from fireflyspur.platform import headers as header_names

# A reachable store accepts a connection within a few round trips.
_CONNECT_TIMEOUT_S = 0.5
# The store responds within a few milliseconds, or within a fraction of a
# second when it is slow.
_CALL_TIMEOUT_S = 1.0
# A page of newest records has at most 1 MB, a read of the log usually less.
_MAX_RESPONSE_BYTES = 8 * 1024 * 1024
# Pages of newest records of one topic, of up to 1 MB each.
_MAX_PAGES = 32
_LENGTH_BYTES = 4
_OFFSET_BYTES = 8
_STATUS_GONE = 410
# Epochs are counted from zero; longer numbers are no count.
_MAX_EPOCH_DIGITS = 9

_log = logs.log_for("platform")


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

    :param end: offset before which all records have been regarded
    :param epoch: epoch of the store; offsets are valid within one epoch
    """

    records: tuple[NewestRecord, ...]
    end: int
    epoch: int = 0


@dataclasses.dataclass(frozen=True)
class KeyedRecord:
    """A record of a keyed topic; an empty value deletes the key."""

    key: str
    value: bytes


@dataclasses.dataclass(frozen=True)
class LogPage:
    """Consecutive records of a topic.

    :param next: offset after the last of the records; lower than the end if
        the page holds only a part of them
    :param end: offset of the next record to be appended
    :param is_expired: whether the requested records are not there
    :param epoch: epoch of the store; offsets are valid within one epoch
    """

    records: tuple[KeyedRecord, ...]
    next: int
    end: int
    is_expired: bool = False
    epoch: int = 0


@dataclasses.dataclass(frozen=True)
class _Answer:
    """Answer to a call."""

    status: int
    body: bytes
    epoch: int


class StoreClient:
    """Sends each request to the store on a new connection.

    :param address: address of the store
    """

    def __init__(self, address: addresses.Address) -> None:
        self._address = address
        self._epoch: int | None = None
        self._is_epoch_invalid = False
        self._on_call: Callable[[str, str], None] = lambda topic, outcome: None

    def on_call(self, callback: Callable[[str, str], None]) -> None:
        """Set the callback for each call, with its topic and outcome.

        The outcome is ``answered``, ``refused`` or ``unanswered``.
        """
        self._on_call = callback

    async def read_newest(self, topic: str) -> NewestRecords:
        """Read the newest record of each key of a topic.

        :raises StoreUnavailableError: if the request fails
        """
        records: list[NewestRecord] = []
        after = None
        first_epoch = None
        end = None
        for _ in range(_MAX_PAGES):
            query = {"topic": topic, "part": "0"}
            if after is not None:
                query["after"] = after
            answer = await self._call("GET", "/api/log-newest", query)
            if first_epoch not in (None, answer.epoch):
                raise exceptions.StoreUnavailableError(
                    "the store was restored between two pages"
                )
            first_epoch = answer.epoch
            try:
                page = _page_decoder.decode(answer.body)
                records.extend(_decode_record(item) for item in page.items)
            except (msgspec.DecodeError, ValueError) as error:
                raise exceptions.StoreUnavailableError(
                    f"the store's response is invalid: {error}"
                ) from error
            # A record may be replaced after the page that held it.
            end = page.end if end is None else min(end, page.end)
            if not page.has_more:
                return NewestRecords(tuple(records), end, first_epoch)
            if not page.items:
                raise exceptions.StoreUnavailableError(
                    "the store sent a page without records before the last"
                )
            after = page.items[-1].key
        raise exceptions.StoreUnavailableError(
            f"{topic} has more than {_MAX_PAGES} pages"
        )

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
        answer = await self._call(
            "GET",
            "/api/log-read",
            query,
            wait_s=wait_s,
            accepted=(_STATUS_GONE,),
        )
        if answer.status == _STATUS_GONE:
            return LogPage(
                (), offset, offset, is_expired=True, epoch=answer.epoch
            )
        return _parse_log_page(answer, offset)

    async def append(self, topic: str, record: KeyedRecord) -> int:
        """Append a record to a keyed topic.

        :returns: epoch of the store
        :raises StoreUnavailableError: if the store does not confirm the
            append; the record may have been appended nevertheless
        """
        key = record.key.encode()
        content = bytes((len(key),)) + key + record.value
        body = len(content).to_bytes(_LENGTH_BYTES) + content
        query = {"topic": topic, "part": "0"}
        answer = await self._call("POST", "/api/log-append", query, body=body)
        return answer.epoch

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        body: bytes = b"",
        wait_s: float = 0.0,
        accepted: tuple[int, ...] = (),
    ) -> _Answer:
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
            self._on_call(query["topic"], "unanswered")
            raise exceptions.StoreUnavailableError(
                f"{path}: {str(error) or 'no answer in time'}"
            ) from error
        epoch = self._read_epoch(head)
        is_accepted = head.status == 200 or head.status in accepted
        outcome = "answered" if is_accepted else "refused"
        self._on_call(query["topic"], outcome)
        if not is_accepted:
            raise exceptions.StoreUnavailableError(
                f"{path}: status {head.status}"
            )
        return _Answer(head.status, response, epoch)

    def _read_epoch(self, head: messages.ResponseHead) -> int:
        """Return the epoch that a response names, or 0 if it names none."""
        text = _find_epoch(head)
        is_valid = text.isdigit() and len(text) <= _MAX_EPOCH_DIGITS
        if text and not is_valid and not self._is_epoch_invalid:
            self._is_epoch_invalid = True
            _log.warning("Epoch not used", value=text[:60].decode("latin-1"))
        epoch = int(text) if is_valid else 0
        if self._epoch is not None and epoch > self._epoch:
            _log.warning("Store restored", epoch=epoch, before=self._epoch)
        self._epoch = epoch
        return epoch

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


def _find_epoch(head: messages.ResponseHead) -> bytes:
    name = header_names.STORE_ERA.lower()
    for key, value in head.headers:
        if key.lower() == name:
            return value.strip()
    return b""


def _parse_log_page(answer: _Answer, offset: int) -> LogPage:
    """Return the records of a page.

    :param offset: offset of the first record
    :raises StoreUnavailableError: if the page is incomplete
    """
    body = answer.body
    end = int.from_bytes(body[:_OFFSET_BYTES])
    # Skips the offset of the oldest retained record, which comes second.
    position = 2 * _OFFSET_BYTES
    if len(body) < position:
        raise exceptions.StoreUnavailableError("the store's page is too short")
    records = []
    while position + _LENGTH_BYTES <= len(body):
        length = int.from_bytes(body[position : position + _LENGTH_BYTES])
        position += _LENGTH_BYTES
        content = body[position : position + length]
        if len(content) < length:
            break
        position += length
        offset += 1
        if not content:
            continue
        key_end = 1 + content[0]
        key = content[1:key_end].decode("utf-8", "replace")
        records.append(KeyedRecord(key, content[key_end:]))
    return LogPage(tuple(records), offset, end, epoch=answer.epoch)
