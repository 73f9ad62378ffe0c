"""Client of the platform's append-only log."""

import dataclasses
from typing import Any

import msgspec
from tornado import httpclient

from fireflyspur.clients import exceptions
from fireflyspur.observability import logs

_READ_TIMEOUT_S = 5.0
_RETRY_AFTER_S = 1.0
_MAX_REASON_CHARACTERS = 200

_log = logs.log_for("log")


@dataclasses.dataclass(frozen=True)
class LogRecord:
    """Record in a stream of the log.

    :param offset: position in the stream, from 1
    :param time: time of the append by the log's clock, in seconds
    :param value: the decoded JSON value
    """

    offset: int
    time: float
    value: dict[str, Any]


@dataclasses.dataclass(frozen=True)
class LogPage:
    """Response to a read.

    :param records: records in the order of their offsets
    :param next: offset at which to continue reading
    :param first: lowest offset that the log retains
    :param tail: offset of the next append
    """

    records: list[LogRecord]
    next: int
    first: int
    tail: int


@dataclasses.dataclass(frozen=True)
class LogInfo:
    """Limits that the log reports.

    :param retention_s: seconds for which a record is kept
    :param max_appends_per_s: appends per second that the log accepts
    """

    retention_s: float
    max_appends_per_s: float


class LogClient:
    """Appends to streams of the log and reads them.

    :param http: the shared HTTP client
    :param url: base URL of the log
    :param client_name: name sent with each request to identify the client
    :param append_timeout_s: seconds to wait for the response to an append
    """

    def __init__(
        self,
        http: httpclient.AsyncHTTPClient,
        url: str,
        client_name: str,
        append_timeout_s: float = 1.0,
    ) -> None:
        self._http = http
        self._url = url
        self._headers = {"Client-Name": client_name}
        self._append_timeout_s = append_timeout_s

    async def append(
        self, stream: str, values: list[dict[str, Any]]
    ) -> list[int]:
        """Append records in one request.

        :param stream: name of the stream
        :param values: the records, each with its own ``uid``
        :returns: the offsets
        :raises LogUnavailableError: if the log does not respond in time; the
            records may be in the log nevertheless
        """
        body = await self._fetch(
            f"/streams/{stream}/records",
            self._append_timeout_s,
            method="POST",
            body=msgspec.json.encode({"records": values}),
        )
        return msgspec.json.decode(body)["offsets"]

    async def read(
        self,
        stream: str,
        start: int,
        *,
        limit: int = 1000,
        wait_s: float = 0.0,
    ) -> LogPage:
        """Read records, starting at an offset.

        :param stream: name of the stream
        :param start: offset of the first record to read
        :param limit: maximum number of records
        :param wait_s: seconds to wait for a record when there is none
        :returns: a page; a record that is no JSON object, or is nested too
            deeply, is left out
        :raises LogUnavailableError: if the log does not respond
        """
        query = f"from={start}&limit={limit}&wait_ms={int(wait_s * 1000)}"
        body = await self._fetch(
            f"/streams/{stream}/records?{query}", wait_s + _READ_TIMEOUT_S
        )
        try:
            return msgspec.json.decode(body, type=LogPage)
        except (msgspec.MsgspecError, RecursionError) as error:
            if limit > 1:
                # The records before the odd one are read without it.
                return await self.read(stream, start, limit=limit // 2)
            _log.warning(
                "Record at offset {} of {} left out: {}",
                start,
                stream,
                repr(error)[:_MAX_REASON_CHARACTERS],
            )
            # The tail is not known: another read follows.
            return LogPage([], start + 1, start, start + 2)

    async def info(self) -> LogInfo:
        """Return the log's retention period and append rate limit.

        :raises LogUnavailableError: if the log does not respond
        """
        body = await self._fetch("/info", _READ_TIMEOUT_S)
        return msgspec.json.decode(body, type=LogInfo)

    async def _fetch(
        self, path: str, timeout_s: float, **kwargs: Any
    ) -> bytes:
        try:
            response = await self._http.fetch(
                self._url + path,
                headers=self._headers,
                connect_timeout=timeout_s,
                request_timeout=timeout_s,
                **kwargs,
            )
        except (httpclient.HTTPError, OSError) as error:
            raise exceptions.LogUnavailableError(
                f"the log did not respond: {error}",
                retry_after_s=_RETRY_AFTER_S,
            ) from error
        return response.body
