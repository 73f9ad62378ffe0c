"""A stand-in for the platform's store, with its faults."""

import asyncio
import base64
import collections
import copy
import dataclasses
import json
import time
import urllib.parse

from tornado import iostream

from fireflyspur.gateway.callers import caller_server
from fireflyspur.gateway.configuration import routing_config
from tests.support import loopback
from tests.support import platform_groups


@dataclasses.dataclass(frozen=True)
class Response:
    """Status and body of an answer."""

    status: int
    body: bytes = b""


def _json(status, **content):
    return Response(status, json.dumps(content).encode())


class Partition:
    """One partition of a topic."""

    def __init__(self):
        self.records = []
        self.first = 0
        self.newest = {}
        self.epochs = {}
        self.sequences = {}
        self.repeats = {}
        self.grown = asyncio.Event()

    @property
    def end(self):
        return self.first + len(self.records)

    def append(self, records, is_keyed):
        offset = self.end
        for record in records:
            if is_keyed:
                key = record[1 : 1 + record[0]].decode()
                value = record[1 + record[0] :]
                self.newest.pop(key, None)
                if value:
                    self.newest[key] = (value, self.end)
            self.records.append(record)
        self.grown.set()
        self.grown = asyncio.Event()
        return offset

    def trim(self, before):
        count = max(0, min(before, self.end) - self.first)
        del self.records[:count]
        self.first += count


class PlatformStore:
    """Keeps topics in memory and fails as told.

    ``fault`` is None or one of ``busy`` (503), ``many`` (429), ``silent``
    (no answer), ``reset`` (the connection is closed), ``lost`` (done and
    not answered) and ``late`` (done after ``late_s`` and not answered).
    """

    def __init__(self):
        self._partitions = collections.defaultdict(Partition)
        self._server = caller_server.CallerServer(
            self._serve, None, lambda: routing_config.CallerLimits()
        )
        self._groups = {}
        self.era = 0
        self.fault = None
        self.delay_s = 0.0
        self.late_s = 0.0
        self.calls = collections.Counter()
        self.reads_left = None
        self.ttl_min_ms = 10

    def start(self):
        self.address = loopback.listen(self._server)

    def open_view(self):
        """Return another front of the same topics, with its own faults."""
        view = PlatformStore()
        view._partitions = self._partitions
        view.start()
        return view

    def stop(self):
        self._server.close_connections()
        self._server.stop()

    def partition(self, topic, part=0):
        return self._partitions[topic, part]

    def put(self, topic, key, value):
        """Write a record of a keyed topic; returns its offset."""
        name = key.encode()
        data = value if isinstance(value, bytes) else json.dumps(value)
        data = data if isinstance(data, bytes) else data.encode()
        record = bytes((len(name),)) + name + data
        return self.partition(topic).append([record], is_keyed=True)

    def copy_records(self):
        """Return a copy of all topics, to which to restore the store."""
        copies = {}
        for key, partition in self._partitions.items():
            copies[key] = copied = Partition()
            copied.records = list(partition.records)
            copied.first = partition.first
            copied.newest = copy.copy(partition.newest)
        return copies

    def restore(self, copies):
        """Come back from an older copy: what came later is lost."""
        self.era += 1
        self._partitions.clear()
        self._partitions.update(copies)
        self._server.close_connections()

    def newest(self, topic):
        """Return the newest values of a keyed topic by key."""
        records = self.partition(topic).newest
        return {key: value for key, (value, _) in records.items()}

    async def _serve(self, connection, request):
        target = urllib.parse.urlsplit(request.target.decode())
        self.calls[target.path] += 1
        fault, era = self.fault, self.era
        if fault == "silent":
            await asyncio.Event().wait()
        if fault == "reset":
            connection.close()
            raise iostream.StreamClosedError
        answer = _json(503) if fault == "busy" else None
        if fault == "many" or self._is_over_rate():
            answer = _json(429)
        if answer is None:
            await asyncio.sleep(self.delay_s)
            if fault == "late":
                await asyncio.sleep(self.late_s)
            query = dict(urllib.parse.parse_qsl(target.query))
            answer = await self._do(target.path, query, request.body)
        if fault in ("lost", "late"):
            await asyncio.Event().wait()
        if era != self.era:
            connection.close()
            raise iostream.StreamClosedError
        await connection.send_response(
            answer.status,
            [
                (b"Content-Type", b"application/json"),
                (b"Store-Era", str(era).encode()),
            ],
            answer.body,
        )

    def _is_over_rate(self):
        if self.reads_left is None:
            return False
        self.reads_left -= 1
        return self.reads_left < 0

    async def _do(self, path, query, body):
        match path:
            case "/api/log-newest":
                return self._newest(query)
            case "/api/log-read":
                return await self._read(query)
            case "/api/log-append":
                return self._append(query, body)
            case "/api/log-trim":
                self.partition(query["topic"], int(query["part"])).trim(
                    int(query["before"])
                )
                return _json(200)
            case "/api/log-join":
                return self._join(json.loads(body))
            case "/api/log-leave":
                return self._leave(json.loads(body))
            case "/api/log-commit":
                return self._commit(json.loads(body))
            case "/api/log-owners":
                return _json(200, rows=self._group(query["group"]).rows())
            case _:
                return _json(404)

    def _newest(self, query):
        partition = self.partition(query["topic"], int(query["part"]))
        keys = list(partition.newest)
        if "after" in query:
            keys = keys[keys.index(query["after"]) + 1 :]
        items = [
            {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
            for key in keys[:500]
            for value, offset in (partition.newest[key],)
        ]
        return _json(
            200, items=items, has_more=len(keys) > 500, end=partition.end
        )

    async def _read(self, query):
        partition = self.partition(query["topic"], int(query["part"]))
        begin = int(query["from"])
        if not partition.first <= begin <= partition.end:
            return _json(410, first=partition.first)
        wait_s = int(query.get("wait_ms", 0)) / 1000
        if begin >= partition.end and wait_s:
            try:
                await asyncio.wait_for(partition.grown.wait(), wait_s)
            except TimeoutError:
                pass
        if begin < partition.first:
            return _json(410, first=partition.first)
        body = partition.end.to_bytes(8) + partition.first.to_bytes(8)
        left = int(query.get("max_kb", 1_024)) * 1_024
        for record in partition.records[begin - partition.first :]:
            left -= 4 + len(record)
            if left < 0:
                break
            body += len(record).to_bytes(4) + record
        return Response(200, body)

    def _append(self, query, body):
        topic, part = query["topic"], int(query["part"])
        partition = self.partition(topic, part)
        if topic in ("keyed.op", "keyed.servers"):
            return _json(403)
        if "at" in query and int(query["at"]) != partition.end:
            return _json(412, end=partition.end)
        if "producer" in query:
            refusal = self._fence(partition, query)
            if refusal is not None:
                return refusal
        records = []
        while body:
            size = int.from_bytes(body[:4])
            records.append(body[4 : 4 + size])
            body = body[4 + size :]
        offset = partition.append(records, topic.startswith("keyed."))
        answer = _json(200, offset=offset, end=partition.end)
        if "producer" in query:
            key = query["producer"], query["epoch"], query["sequence"]
            partition.repeats[key] = answer
        return answer

    def _fence(self, partition, query):
        producer, epoch = query["producer"], int(query["epoch"])
        sequence = int(query["sequence"])
        repeat = producer, query["epoch"], query["sequence"]
        if repeat in partition.repeats:
            return partition.repeats[repeat]
        known = partition.epochs.get(producer, -1)
        if epoch < known:
            return _json(409, reason="fenced")
        expected = partition.sequences.get(producer, sequence - 1) + 1
        if epoch == known and sequence != expected:
            return _json(409, reason="seq", expected=expected)
        partition.epochs[producer] = epoch
        partition.sequences[producer] = sequence
        return None

    def _group(self, name):
        group = self._groups.setdefault(name, platform_groups.Group())
        group.expire(time.monotonic())
        return group

    def _join(self, wanted):
        if wanted["ttl_ms"] < self.ttl_min_ms:
            return _json(400)
        group = self._group(wanted["group"])
        parts = group.join(
            wanted["member"],
            wanted["topics"],
            wanted["ttl_ms"] / 1000,
            wanted["generation"],
            time.monotonic(),
        )
        return _json(200, generation=group.generation, parts=parts)

    def _leave(self, wanted):
        self._group(wanted["group"]).leave(wanted["member"])
        return _json(200)

    def _commit(self, wanted):
        key = wanted["topic"], wanted["part"]
        is_done = self._group(wanted["group"]).commit(
            wanted["member"], wanted["generation"], key, wanted["offset"]
        )
        return _json(200 if is_done else 409)
