"""Stand-in of the platform's append-only log."""

import asyncio
import collections
import dataclasses
import time
from typing import Any

from tornado import web

from fireflyspur.standins import counted_faults
from fireflyspur.standins import server


@dataclasses.dataclass(frozen=True)
class LogFaults:
    """Faults that the log produces.

    :param down: every call gets 503
    :param lose_answers: this many appends take effect and then get 503
    :param delay_ms: delay before each call takes effect
    :param late_appends: this many appends get 503 and take effect later
    :param late_append_ms: time after which a late append takes effect
    :param cut_clients: calls of these clients get 503
    """

    down: bool = False
    lose_answers: int = 0
    delay_ms: int = 0
    late_appends: int = 0
    late_append_ms: int = 0
    cut_clients: tuple[str, ...] = ()


class Stream:
    """Records of one stream, oldest first."""

    def __init__(self) -> None:
        self._records: collections.deque[dict[str, Any]] = collections.deque()
        self._tail = 1
        self._changed = asyncio.Condition()

    @property
    def tail(self) -> int:
        """Offset of the next append."""
        return self._tail

    @property
    def first(self) -> int:
        """Lowest offset that is retained."""
        return self._records[0]["offset"] if self._records else self._tail

    async def append(self, values: list[Any]) -> list[int]:
        """Append records and wake the readers."""
        offsets = list(range(self._tail, self._tail + len(values)))
        now = time.time()
        for offset, value in zip(offsets, values, strict=True):
            self._records.append(
                {"offset": offset, "time": now, "value": value}
            )
        self._tail += len(values)
        async with self._changed:
            self._changed.notify_all()
        return offsets

    def expire(self, retention_s: float) -> None:
        """Drop the records that are older than the retention."""
        limit = time.time() - retention_s
        while self._records and self._records[0]["time"] < limit:
            self._records.popleft()

    async def read(
        self, start: int, limit: int, wait_s: float
    ) -> list[dict[str, Any]]:
        """Return records from an offset on, waiting when there are none."""
        try:
            async with asyncio.timeout(wait_s), self._changed:
                await self._changed.wait_for(lambda: self._tail > start)
        except TimeoutError:
            pass
        skip = max(0, start - self.first)
        page = [
            self._records[i]
            for i in range(skip, min(skip + limit, len(self._records)))
        ]
        return page


class Log:
    """The streams with their limits and faults.

    :param retention_s: seconds for which records are kept
    :param max_appends_per_s: appends a second over all streams
    """

    def __init__(self, retention_s: float, max_appends_per_s: float) -> None:
        self._retention_s = retention_s
        self._max_appends_per_s = max_appends_per_s
        self._streams: dict[str, Stream] = {}
        self._allowance = max_appends_per_s
        self._refilled_at = time.monotonic()
        self._appends = 0
        self.faults = LogFaults()

    @property
    def info(self) -> dict[str, Any]:
        """Retention, rate and the number of appends so far."""
        return {
            "retention_s": self._retention_s,
            "max_appends_per_s": self._max_appends_per_s,
            "appends": self._appends,
        }

    def stream(self, name: str) -> Stream:
        """Return a stream, with expired records dropped."""
        stream = self._streams.setdefault(name, Stream())
        stream.expire(self._retention_s)
        return stream

    def take_append(self) -> bool:
        """Count an append; False when the rate is exceeded."""
        now = time.monotonic()
        refill = (now - self._refilled_at) * self._max_appends_per_s
        self._allowance = min(
            self._max_appends_per_s, self._allowance + refill
        )
        self._refilled_at = now
        if self._allowance < 1:
            return False
        self._allowance -= 1
        self._appends += 1
        return True

    def take(self, fault: str) -> bool:
        """Use up one of the faults that are counted."""
        self.faults, is_used = counted_faults.take(self.faults, fault)
        return is_used


class _LogHandler(server.JsonHandler):
    def initialize(self, log: Log) -> None:
        self._store = log

    async def prepare(self) -> None:
        faults = self._store.faults
        client = self.request.headers.get("Client-Name", "")
        if faults.delay_ms:
            await asyncio.sleep(faults.delay_ms / 1000)
        if faults.down or client in faults.cut_clients:
            self.refuse(503, "outage")


class RecordsHandler(_LogHandler):
    """``/streams/NAME/records``."""

    async def post(self, name: str) -> None:
        """Append records."""
        values = self.read_json()["records"]
        if not self._store.take_append():
            self.refuse(429, "rate_exceeded", Retry_After="1")
            return
        if self._store.take("late_appends"):
            self.refuse(503, "late")
            await asyncio.sleep(self._store.faults.late_append_ms / 1000)
            await self._store.stream(name).append(values)
            return
        offsets = await self._store.stream(name).append(values)
        if self._store.take("lose_answers"):
            self.refuse(503, "answer_lost")
            return
        self.send({"offsets": offsets})

    async def get(self, name: str) -> None:
        """Read records."""
        start = int(self.get_query_argument("from", "1"))
        limit = int(self.get_query_argument("limit", "1000"))
        wait_s = int(self.get_query_argument("wait_ms", "0")) / 1000
        stream = self._store.stream(name)
        records = await stream.read(start, limit, wait_s)
        following = records[-1]["offset"] + 1 if records else start
        self.send(
            {
                "records": records,
                "next": max(following, stream.first),
                "first": stream.first,
                "tail": stream.tail,
            }
        )


class InfoHandler(_LogHandler):
    """``/info``."""

    def get(self) -> None:
        """Respond with the log's limits."""
        self.send(self._store.info)


class FaultsHandler(server.JsonHandler):
    """``/faults``: sets the faults that the log produces."""

    def initialize(self, log: Log) -> None:
        """Set the handler up for one request."""
        self._store = log

    def post(self) -> None:
        """Replace the faults; keys left out are off."""
        wanted = self.read_json()
        wanted["cut_clients"] = tuple(wanted.get("cut_clients", ()))
        self._store.faults = LogFaults(**wanted)
        self.send(dataclasses.asdict(self._store.faults))


def application(
    retention_s: float, max_appends_per_s: float
) -> web.Application:
    """Return the stand-in's application."""
    arguments = {"log": Log(retention_s, max_appends_per_s)}
    return web.Application(
        [
            (r"/streams/([\w.-]+)/records", RecordsHandler, arguments),
            ("/info", InfoHandler, arguments),
            ("/faults", FaultsHandler, arguments),
        ],
        log_function=lambda handler: None,
    )
