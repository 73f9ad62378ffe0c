"""Stand-ins of the platform: its store, its workers, and clients.

They follow PROTOCOL.md. Everything runs in one event loop beside the nodes,
which are processes of their own. Only the standard library is used.
"""

import asyncio
import base64
import contextlib
import itertools
import json
import os
import pathlib
import random
import signal
import socket
import struct
import subprocess
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HEARTBEAT_S = 1.2
KEY = "n2ctnfzs989anu6wsjnb"
TENANT = "hule930"
HOST = "ficu95.example"


def now():
    """Return the steady time in seconds."""
    return time.monotonic()


def node_ip(number):
    """Return the loopback address of a node.

    No other run of a case is likely to use it.
    """
    return f"127.{40 + os.getpid() % 200}.{os.getpid() % 250}.{number}"


def free_ports(ips, count):
    """Return ports that are free at all of some loopback addresses.

    They lie below those that the system gives to outgoing connections, which
    could take a port while its process is restarted.
    """
    found = []
    while len(found) < count:
        port = random.randrange(10_000, 30_000)
        if port not in found and all(_is_free(ip, port) for ip in ips):
            found.append(port)
    return found


def _is_free(ip, port):
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as tried:
            try:
                tried.bind((ip, port))
            except OSError:
                return False
    return True


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder) / "record.txt", "w")
        self._start = now()

    def say(self, text):
        """Write one line with the time since the start."""
        self._file.write(f"{now() - self._start:8.3f}  {text}\n")
        self._file.flush()


async def read_message(reader):
    """Read one HTTP/1.1 message; returns its first line, headers and body.

    :raises EOFError: if the connection ends first
    """
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        while True:
            line = await reader.readline()
            if not line.endswith(b"\n"):
                raise EOFError
            size = int(line.split(b";")[0], 16)
            part = await reader.readexactly(size + 2)
            if not size:
                break
            body += part[:-2]
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return first, headers, body


class Store:
    """The platform's store: a log with keyed topics, kept in memory."""

    def __init__(self, record):
        self._record = record
        self._topics = {}
        self._grown = asyncio.Condition()
        self._server = None
        self.address = None
        # Called with method, path and query before a call is carried out;
        # returns "refuse" for 503, or None.
        self.rule = None

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0
        )
        self.address = "%s:%d" % self._server.sockets[0].getsockname()

    def close(self):
        self._server.close()

    async def put(self, topic, key, value):
        """Write a record as the operator or a worker does.

        :param value: a JSON value; None removes the key
        """
        data = b"" if value is None else json.dumps(value).encode()
        name = key.encode()
        offset = self._append(topic, [bytes((len(name),)) + name + data])
        async with self._grown:
            self._grown.notify_all()
        return offset

    def _topic(self, name):
        return self._topics.setdefault(name, ([], {}))

    def _append(self, topic, records):
        log, newest = self._topic(topic)
        offset = len(log)
        for record in records:
            if topic.startswith("keyed."):
                key = record[1 : 1 + record[0]].decode()
                value = record[1 + record[0] :]
                newest.pop(key, None)
                if value:
                    newest[key] = (value, len(log))
            log.append(record)
        return offset

    async def _serve(self, reader, writer):
        try:
            with contextlib.suppress(EOFError, ConnectionError):
                while True:
                    await self._serve_call(reader, writer)
        finally:
            writer.transport.abort()

    async def _serve_call(self, reader, writer):
        first, _, body = await read_message(reader)
        method, target, _ = first.split(" ")
        parts = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(parts.query))
        status, content = await self._do(method, parts.path, query, body)
        writer.write(
            f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(content)}\r\n\r\n".encode()
            + content
        )
        await writer.drain()

    async def _do(self, method, path, query, body):
        if self.rule is not None and self.rule(method, path, query):
            return 503, b"{}"
        await asyncio.sleep(0.004)
        topic = query.get("topic", "")
        log, newest = self._topic(topic)
        if path == "/api/log-newest":
            keys = sorted(newest)
            if "after" in query:
                keys = [key for key in keys if key > query["after"]]
            items = [
                {
                    "key": key,
                    "value": base64.b64encode(newest[key][0]).decode(),
                    "offset": newest[key][1],
                }
                for key in keys[:500]
            ]
            return 200, json.dumps(
                {"items": items, "has_more": len(keys) > 500, "end": len(log)}
            ).encode()
        if path == "/api/log-read":
            begin = int(query["from"])
            ends_at = now() + int(query.get("wait_ms", 0)) / 1000
            async with self._grown:
                while begin >= len(log) and now() < ends_at:
                    with contextlib.suppress(TimeoutError):
                        async with asyncio.timeout(ends_at - now()):
                            await self._grown.wait()
            content = len(log).to_bytes(8) + (0).to_bytes(8)
            for entry in log[begin:]:
                content += len(entry).to_bytes(4) + entry
            return 200, content
        if path == "/api/log-append":
            if topic in ("keyed.op", "keyed.servers"):
                return 403, b"{}"
            records = []
            while body:
                size = int.from_bytes(body[:4])
                records.append(body[4 : 4 + size])
                body = body[4 + size :]
            offset = self._append(topic, records)
            async with self._grown:
                self._grown.notify_all()
            return 200, json.dumps(
                {"offset": offset, "end": len(log)}
            ).encode()
        return 404, b"{}"


class Worker:
    """A worker that registers itself and answers requests.

    :param behave: coroutine function that gets the worker, the request and
        the writer, and answers
    """

    _numbers = itertools.count(1)

    def __init__(self, store, service, zone, behave, record, slots=8):
        self._store = store
        self.service = service
        self._zone = zone
        self._behave = behave
        self._record = record
        self._slots = slots
        self._server = None
        self._writers = set()
        self._tasks = set()
        self._sequence = 0
        self._beating = None
        self._port = free_ports(["127.0.0.1"], 1)[0]
        self.instance = None
        self.state = "ready"
        self.is_up = False

    @property
    def address(self):
        return f"127.0.0.1:{self._port}"

    async def start(self):
        """Start as a new incarnation, at the address that it had."""
        self.instance = f"i-{next(self._numbers):04d}"
        self._born = int(time.time() * 1000)
        self.state = "ready"
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self._port
        )
        self.is_up = True
        self._beating = asyncio.ensure_future(self._beat(self.instance))

    async def write_entry(self):
        """Write the entry of this worker to the store."""
        self._sequence += 1
        await self._store.put(
            "keyed.servers",
            self.instance,
            {
                "service": self.service,
                "address": self.address,
                "zone": self._zone,
                "version": "v1",
                "slots": self._slots,
                "state": self.state,
                "cold_remaining_ms": 0,
                "stage": "both",
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "sequence": self._sequence,
                "born": self._born,
            },
        )

    async def _beat(self, instance):
        while True:
            await self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    def crash(self):
        """End without a word; the entry expires after three heartbeats.

        :returns: number of connections that are reset
        """
        count = len(self._writers)
        self.is_up = False
        self._record.say(f"worker {self.instance} crashes, {count} served")
        self._beating.cancel()
        self._server.close()
        for writer in list(self._writers):
            reset(writer)
        instance = self.instance
        expiry = asyncio.ensure_future(self._expire(instance))
        self._tasks.add(expiry)
        expiry.add_done_callback(self._tasks.discard)
        return count

    def crash_and_return(self, down_s):
        """Crash, and start again after some seconds.

        :returns: number of connections that are reset
        """
        task = asyncio.ensure_future(self._return(down_s))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return self.crash()

    async def _return(self, down_s):
        await asyncio.sleep(down_s)
        await self.start()
        self._record.say(f"worker {self.instance} is back")

    async def _expire(self, instance):
        await asyncio.sleep(3 * HEARTBEAT_S)
        await self._store.put("keyed.servers", instance, None)

    def close(self):
        self._beating.cancel()
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            with contextlib.suppress(EOFError, ConnectionError):
                await self._serve_request(reader, writer)
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _serve_request(self, reader, writer):
        first, headers, body = await read_message(reader)
        if not self.is_up:
            # It has crashed since the connection was accepted.
            reset(writer)
            return
        method, target, _ = first.split(" ")
        expected = headers.get("x-fireflyspur-expect-instance")
        if expected in (None, self.instance):
            request = Request(method, target, headers, body)
            await self._behave(self, request, reader, writer)
            return
        await answer(
            writer,
            self,
            headers,
            421,
            b"",
            {"X-Fireflyspur-Instance-Id": self.instance},
            seal=False,
        )


def reset(writer):
    """Close a connection so that the peer gets a reset."""
    connection = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0)
        )
    writer.transport.abort()


class Request:
    """A request that reached a worker."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    @property
    def attempt_id(self):
        return self.headers.get("x-fireflyspur-attempt-id")


async def answer(writer, worker, headers, status, body, extra=(), seal=True):
    """Send an answer with a length."""
    lines = {
        "X-Fireflyspur-Attempt-Id": headers.get("x-fireflyspur-attempt-id"),
        "Content-Length": str(len(body)),
        **dict(extra),
    }
    if seal:
        lines["X-Fireflyspur-Response-Seal"] = f"seal-{worker.instance}"
    head = "".join(f"{k}: {v}\r\n" for k, v in lines.items())
    writer.write(f"HTTP/1.1 {status} X\r\n{head}\r\n".encode() + body)
    await writer.drain()


async def answer_stream(writer, worker, request, events, pause_s):
    """Send a stream of events, after the one that the request names."""
    begin = int(request.headers.get("last-event-id") or 0) + 1
    writer.write(
        (
            "HTTP/1.1 200 OK\r\n"
            f"X-Fireflyspur-Attempt-Id: {request.attempt_id}\r\n"
            f"X-Fireflyspur-Response-Seal: seal-{worker.instance}\r\n"
            "X-Fireflyspur-Weight-Versions: 1\r\n"
            "Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        ).encode()
    )
    for number in range(begin, events + 1):
        await asyncio.sleep(pause_s)
        data = f"id: {number}\ndata: token-{number}\n\n".encode()
        writer.write(b"%x\r\n" % len(data) + data + b"\r\n")
        await writer.drain()
    writer.write(b"0\r\n\r\n")
    await writer.drain()


ENGINE = {
    "slots": 8,
    "kv_capacity_tokens": 450000,
    "kv_token_bytes": 327680,
    "link_mbps": 400000.0,
    "stride": 46,
    "models": [{"name": "m"}],
    "step_ms": 0.925,
    "per_seq_ms": 0.00966,
    "context_per_k": 0.00254,
    "read_per_s": 256000.0,
    "pairs_per_m": 0.0917,
    "chunk": 2048,
    "report_lag_ms": 200.0,
    "loads_per_s": 0.0,
    "loads_at_once": 8,
    "delays": [],
    "usual": {"prompt": 13199, "answer": 1541},
    "hop_ms": 0.1,
}
LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}


def config(version=7, **changes):
    """Return a configuration with two model routes and two others."""
    content = {
        "version": version,
        "routes": [
            {
                "name": "r-ask",
                "host": HOST,
                "path_prefix": "/ask/",
                "kind": "streaming",
                "timeout_ms": 10000,
                "target_latency_ms": 300,
                "priority": 1,
                "service": "models",
                "max_attempts": 2,
                "public": False,
                "sticky": True,
                "stream_resume": True,
                "gap_aim_ms": 200,
            },
            {
                # Streams that must not be resumed.
                "name": "r-chat",
                "host": HOST,
                "path_prefix": "/chat/",
                "kind": "streaming",
                "timeout_ms": 10000,
                "target_latency_ms": 300,
                "priority": 1,
                "service": "models",
                "max_attempts": 2,
                "public": False,
                "sticky": True,
                "stream_resume": False,
                "gap_aim_ms": 200,
            },
            {
                "name": "r-order",
                "host": HOST,
                "path_prefix": "/order/",
                "kind": "unsafe",
                "timeout_ms": 1500,
                "target_latency_ms": 150,
                "priority": 2,
                "service": "app",
                "max_attempts": 2,
                "public": False,
            },
            {
                "name": "r-look",
                "host": HOST,
                "path_prefix": "/look/",
                "kind": "safe",
                "timeout_ms": 1500,
                "target_latency_ms": 150,
                "priority": 2,
                "service": "app",
                "max_attempts": 2,
                "public": False,
            },
        ],
        "services": [
            {
                "name": "models",
                "health_check": "/health",
                "max_connections": 284,
                "protocol": "h1",
                "tls": False,
                "engine": ENGINE,
            },
            {
                "name": "app",
                "health_check": "/health",
                "max_connections": 51,
                "protocol": "h1",
                "tls": False,
            },
        ],
        "limits": LIMITS,
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
    }
    content.update(changes)
    return content


_SETTINGS = """\
node_name = "{name}"
role = "node"
machine_class = "front"
serves = ["front"]
ip = "{ip}"
zone = "{zone}"
region = "jo-south"
internal_port_range = [{inner}, {inner}]
seeds = []
bootstrap = true
fault_counted = false
discovery = "platform"
entry = "vip"
heartbeat_ms = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "platform", "spans"]

[zones]
aqaba-a = "jo-south"
aqaba-b = "jo-south"
maan-c = "jo-south"

[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"

[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0

[fault_tolerance]
machines = 2
zones = 0
regions = 0

[bounds]
seed_lag_s = 3
addr_reuse_s = 2
stability_window_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
outer_ms = 5000
revoke_fail_closed = false
revoke_ms = 5000
retry_budget_ratio = 0.2
budget_window_s = 10
retry_budget_extra = 104
recover_s = 12
pass_ms = 120
retry_after_s = 0
stall_ms = 1500
hold_max_ms = 20000
free_ms = 4000
idle_max_ms = 9000

[platform]
address = "{store}"
form = "log"
writes_per_s = 400
reads_per_s = 2000
parts = 12
append_ms = 2.0
part_mb_s = 20.0
read_mb_s = 80.0
record_bytes = 262144
call_bytes = 2097152
keep_s = 300
part_mb = 200
ttl_min_ms = 1000
"""


def deploy_command():
    """Return the command of the deploy file."""
    text = (ROOT / "deploy" / "system.toml").read_text()
    line = next(x for x in text.splitlines() if x.startswith("run = "))
    return line.split('"')[1].split(" ")


class Node:
    """A machine of the system: one process, started with the deploy file.

    Each node has a loopback address of its own, so that all of them can use
    the same ports, as on machines of their own. The port of the metrics is
    that of the deploy file.

    :param ports: for clients, for the platform's question, and between nodes
    """

    def __init__(self, number, ip, ports, zone, store, folder, record):
        self.name = f"front-{zone}-{number}"
        self.ip = ip
        self._front_port, self._ready_port, self._inner_port = ports
        self._zone = zone
        self._store = store
        self._folder = pathlib.Path(folder)
        self._record = record
        self._process = None
        self.started_at = None
        self.signalled_at = None

    @property
    def front(self):
        return self.ip, self._front_port

    @property
    def is_running(self):
        return self._process is not None and self._process.poll() is None

    @property
    def exit_code(self):
        return self._process.poll()

    def start(self):
        """Start the process."""
        path = self._folder / f"{self.name}.toml"
        path.write_text(
            _SETTINGS.format(
                name=self.name,
                ip=self.ip,
                zone=self._zone,
                store=self._store.address,
                front=self._front_port,
                ready=self._ready_port,
                inner=self._inner_port,
            )
        )
        with open(self._folder / f"{self.name}.log", "ab") as log:
            self._process = subprocess.Popen(
                deploy_command(),
                cwd=ROOT,
                env={
                    "PATH": os.environ["PATH"],
                    "HOME": os.environ.get("HOME", "/"),
                    "LANG": "C.UTF-8",
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "FIREFLYSPUR_SETTINGS": str(path),
                },
                stdout=log,
                stderr=log,
            )
        self.started_at = now()
        self.signalled_at = None
        self._record.say(f"node {self.name} started")

    def send(self, number):
        """Send a signal to the process."""
        if number not in (signal.SIGCONT, signal.SIGHUP):
            self.signalled_at = now()
        self._record.say(f"node {self.name} gets {number.name}")
        self._process.send_signal(number)

    async def wait_ended(self, limit_s):
        """Wait until the process has ended; returns whether it has."""
        ends_at = now() + limit_s
        while self.is_running and now() < ends_at:
            await asyncio.sleep(0.02)
        return not self.is_running

    async def is_ready(self):
        """Ask as the balancer does; returns whether the answer is 200."""
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(
                    self.ip, self._ready_port
                )
                writer.write(b"GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                first, _, _ = await read_message(reader)
                writer.close()
                return " 200" in first
        except (OSError, EOFError, TimeoutError):
            return False

    async def wait_ready(self, limit_s=20):
        ends_at = now() + limit_s
        while not await self.is_ready():
            if now() > ends_at or not self.is_running:
                raise CannotRun(f"{self.name} is not ready")
            await asyncio.sleep(0.05)
        self._record.say(f"node {self.name} ready")

    def kill(self):
        if self._process is not None and self.is_running:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
            self._process.wait()


class CannotRun(Exception):
    """The case could not run."""


class Answer:
    """What a client got.

    :param status: 0 if the connection ended without a complete answer
    """

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


_attempts = itertools.count(1)


def attempt_id():
    """Return a new id of a client's attempt."""
    return f"{os.getpid():06x}{next(_attempts):010x}"


def request_bytes(method, target, attempt, body, deadline_ms, extra=()):
    """Return a client's request as bytes."""
    headers = {
        "Host": HOST,
        "X-Fireflyspur-Attempt-Id": attempt,
        "X-Fireflyspur-Deadline-Ms": str(deadline_ms),
        "Authorization": f"Token {KEY}",
        "Content-Length": str(len(body)),
        **dict(extra),
    }
    head = "".join(f"{k}: {v}\r\n" for k, v in headers.items())
    return f"{method} {target} HTTP/1.1\r\n{head}\r\n".encode() + body


async def ask(node, method, target, attempt, body, deadline_ms, extra=()):
    """Send one attempt to a node on a new connection."""
    data = request_bytes(method, target, attempt, body, deadline_ms, extra)
    try:
        async with asyncio.timeout(deadline_ms / 1000):
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(*node.front)
            try:
                writer.write(data)
                first, headers, content = await read_message(reader)
                return Answer(int(first.split(" ")[1]), headers, content)
            finally:
                writer.transport.abort()
    except (OSError, EOFError, TimeoutError, asyncio.IncompleteReadError):
        return Answer(0, {}, b"")


PROMPT = {
    "X-Fireflyspur-Model": "m",
    "X-Fireflyspur-Token-Count": "5000,400",
}
