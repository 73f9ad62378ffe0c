"""A node stops as planned while the release of memory is answered late."""

import asyncio
import json
import pathlib
import signal
import time

import platform_standins as standins

MODELS, DESK, HOST, KEY = "mender-assistant", "shop-desk", "h.example", "key-1"
SLOTS, KV_TOKENS = 8, 450_000
READ_PER_MS, PAIRS_MS_PER_M = 256.0, 0.0917
ENGINE = {
    "slots": SLOTS,
    "kv_capacity_tokens": KV_TOKENS,
    "kv_token_bytes": 327680,
    "link_mbps": 400000.0,
    "stride": 46,
    "models": [{"name": "m"}],
    "step_ms": 0.925,
    "per_seq_ms": 0.00966,
    "context_per_k": 0.00254,
    "read_per_s": READ_PER_MS * 1000,
    "pairs_per_m": PAIRS_MS_PER_M,
    "chunk": 2048,
    "report_lag_ms": 200.0,
    "usual": {"prompt": 13199, "answer": 1541},
    "hop_ms": 0.1,
}
ENGINES = 8
# Longer than the memory of one engine.
PROMPT_TOKENS, EVENTS, EVENT_TOKENS, EVENT_S = 460_000, 17, 46, 0.15
STOP_AFTER_S = 0.2
# A sound worker may be silent "for a second or so".
SILENT_S = 1.2
# Bookings on kept connections, from the end of the long answer on.
BOOKINGS, BOOKING_GAP_S, BOOKING_WORK_S = 16, 0.06, 0.3
# Callers are quiet for a moment before the first of them.
QUIET_S = 0.4
BOOKING_DEADLINE_MS = 1_500
GRACE_S = standins.BOUNDS["grace_s"]


def service(name, **more):
    return {
        "name": name,
        "health_check": "/health",
        "max_connections": 274,
        "protocol": "h1",
        "tls": False,
        **more,
    }


def route(name, kind, service_name, timeout_ms, **more):
    return {
        "name": f"r-{name}",
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": timeout_ms,
        "target_latency_ms": 125,
        "priority": 1,
        "service": service_name,
        "max_attempts": 2,
        "public": False,
        "sticky": False,
        **more,
    }


ROUTES = [
    route(
        "ledger",
        "streaming",
        MODELS,
        15_000,
        target_latency_ms=3_000,
        sticky=True,
        stream_resume=True,
        gap_aim_ms=800,
    ),
    route("booking", "unsafe", DESK, BOOKING_DEADLINE_MS),
]
SERVICES = [service(MODELS, engine=ENGINE), service(DESK)]
TENANTS = [{"name": "tenant-1", "api_keys": [KEY]}]


class Story:
    """What happened, for the engines and for the client."""

    def __init__(self, record):
        self.record = record
        self.ended = asyncio.Event()
        self.silent = None
        self.is_silent = False
        self.goes_on = asyncio.Event()

    async def hold(self):
        """Let one helper be silent from just before the answer's end."""
        if not standins.is_troubled():
            return
        self.is_silent = True
        self.record.add(f"{self.silent} is silent")
        await asyncio.sleep(SILENT_S)
        self.is_silent = False
        self.goes_on.set()
        self.record.add(f"{self.silent} goes on")


class Engine(standins.Worker):
    """An engine that takes memory orders and reads prompts with others."""

    def __init__(self, *options, story):
        super().__init__(*options, slots=SLOTS)
        self.story = story
        self.tickets = {}

    async def serve(self, method, target, headers, body, writer):
        if target != "/api/order":
            return await super().serve(method, target, headers, body, writer)
        order = json.loads(body)
        name = f"{order['operation']} {order['id']}"
        self.record.add(f"{self.instance}: order {name}")
        if self.story.is_silent and self.story.silent == self.instance:
            await self.story.goes_on.wait()
        if order["operation"] == "reserve":
            self.tickets[order["id"]] = order["tokens"]
            if self.story.silent is None:
                self.story.silent = self.instance
        else:
            self.tickets.pop(order["id"], None)
        free = KV_TOKENS - sum(self.tickets.values())
        answer = json.dumps({"free": free}).encode()
        head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        head += f"Content-Length: {len(answer)}\r\n\r\n"
        writer.write(head.encode() + answer)
        await writer.drain()
        return True


def read_s(helpers):
    """Return how long the engines need to read the prompt together."""
    pairs_m = PROMPT_TOKENS * (PROMPT_TOKENS + 1) / 2 / 1e6
    all_ms = PROMPT_TOKENS / READ_PER_MS + pairs_m * PAIRS_MS_PER_M
    return all_ms / (1 + helpers) / 1000


def make_stream(story):
    async def answer(worker, target, headers, body, writer):
        attempt = headers["x-fireflyspur-attempt-id"]
        helpers = headers.get("x-fireflyspur-helpers", "")
        count = len(helpers.split(",")) if helpers else 0
        story.record.add(
            f"{worker.instance} runs {attempt} with {count} helpers, reads"
            f" for {read_s(count):.2f} s"
        )
        await asyncio.sleep(read_s(count))
        writer.write(
            worker.head(
                headers,
                "Content-Type: text/event-stream",
                "Transfer-Encoding: chunked",
                f"X-Fireflyspur-Response-Seal: {worker.instance}.{attempt}",
            ).encode()
        )
        begin = int(headers.get("last-event-id") or 0) + 1
        for number in range(begin, EVENTS + 1):
            data = f"id: {number}\ndata: {attempt}-{number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(data), data))
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        asyncio.ensure_future(story.hold())
        await asyncio.sleep(0.01)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        story.record.add(f"{worker.instance} has ended {attempt}")
        story.ended.set()
        return True

    return answer


def make_booking(story):
    async def answer(worker, target, headers, body, writer):
        attempt = headers["x-fireflyspur-attempt-id"]
        story.record.add(f"{worker.instance} runs {attempt}")
        await asyncio.sleep(BOOKING_WORK_S)
        data = b"booked " + attempt.encode()
        writer.write(
            worker.head(
                headers,
                f"Content-Length: {len(data)}",
                f"X-Fireflyspur-Response-Seal: {worker.instance}.{attempt}",
            ).encode()
            + data
        )
        await writer.drain()
        return True

    return answer


def request_headers(attempt, deadline_ms):
    return {
        "Host": HOST,
        "X-Fireflyspur-Attempt-Id": attempt,
        "X-Fireflyspur-Deadline-Ms": deadline_ms,
        "Authorization": f"Token {KEY}",
    }


class KeptClient:
    """A client that keeps its connection open."""

    def __init__(self, node, record):
        self._node = node
        self._record = record
        self._reader = None
        self._writer = None

    async def connect(self):
        host, _, port = self._node.front.rpartition(":")
        self._reader, self._writer = await asyncio.open_connection(
            host, int(port)
        )

    async def book(self, attempt):
        """Book on the kept connection.

        :returns: status; 0 if the connection closed without an answer, or
            None if it had closed before
        """
        if self._reader.at_eof():
            self._record.add(f"client {attempt}: not sent, closed before")
            return None
        headers = request_headers(attempt, BOOKING_DEADLINE_MS)
        lines = ["POST /booking/2f HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        body = b"x" * 600
        lines.append(f"Content-Length: {len(body)}")
        head = ("\r\n".join(lines) + "\r\n\r\n").encode()
        sent_at = time.monotonic()
        got = {}
        try:
            self._writer.write(head + body)
            await self._writer.drain()
            first, got = await standins.read_message(self._reader)
            await standins.read_body(got, self._reader)
            status = int(first.split()[1])
        except (asyncio.IncompleteReadError, ConnectionError):
            status = 0
        self._record.add(
            f"client {attempt}: {status or 'closed without an answer'}"
            f" after {time.monotonic() - sent_at:.3f} s"
        )
        if got.get("connection") == "close":
            self._writer.close()
        return status

    def close(self):
        self._writer.close()


async def book_later(client, number, story):
    """Book once, some time after the long answer has ended."""
    await story.ended.wait()
    await asyncio.sleep(QUIET_S + number * BOOKING_GAP_S)
    attempt = f"b{number:03d}"
    sent_at = time.monotonic()
    status = await client.book(attempt)
    return attempt, sent_at, time.monotonic(), status


def is_excused(sent_s, ended_s):
    """Return whether the rule excuses that a booking was cut.

    :param sent_s: time from the SIGTERM to the sending
    :param ended_s: time from the SIGTERM to the end of the connection
    """
    is_over = ended_s - sent_s >= BOOKING_DEADLINE_MS / 1000
    is_late = sent_s <= 3 and ended_s >= GRACE_S * 5 / 6
    return is_over or is_late or ended_s > GRACE_S + 1


async def add_workers(fleet, story):
    for number in range(ENGINES):
        engine = Engine(
            f"i-model-{number}",
            MODELS,
            f"zone-{number % 3}",
            fleet.record,
            make_stream(story),
            story=story,
        )
        await engine.start(f"{fleet.network}.{100 + number}")
        fleet.workers.append(engine)
        engine.beat(fleet.store)
    for number in range(3):
        await fleet.add_worker(
            f"i-desk-{number}", DESK, f"zone-{number}", make_booking(story)
        )


async def play(fleet, record):
    fleet.put_config(ROUTES, SERVICES, TENANTS)
    story = Story(record)
    await add_workers(fleet, story)
    for number in range(3):
        await fleet.add_node(f"front-{number}", f"zone-{number}")
    await fleet.wait_until_ready()
    await asyncio.sleep(2.0)
    stopped = fleet.nodes[0]
    clients = [KeptClient(stopped, record) for _ in range(BOOKINGS)]
    for number, client in enumerate(clients):
        await client.connect()
        await client.book(f"first{number:03d}")
    headers = request_headers("ledger-1", 15_000)
    headers["X-Fireflyspur-Model"] = "m"
    tokens = f"{PROMPT_TOKENS},{EVENTS * EVENT_TOKENS}"
    headers["X-Fireflyspur-Token-Count"] = tokens
    headers["X-Fireflyspur-Prompt-Prefix"] = f"5c1e07a2:{PROMPT_TOKENS}"
    ledger = asyncio.ensure_future(
        standins.request(
            stopped.front, "POST", "/ledger/2f", headers, b"x" * 900, 16.0
        )
    )
    booking = [
        asyncio.ensure_future(book_later(client, number, story))
        for number, client in enumerate(clients)
    ]
    await asyncio.sleep(STOP_AFTER_S)
    stopped.send_signal(signal.SIGTERM)
    stopped_at = time.monotonic()
    record.add(f"SIGTERM to {stopped.name}")
    answer = await ledger
    record.add(f"ledger-1: {answer.status} {answer.reason or 'whole'}")
    results = await asyncio.gather(*booking)
    passed_on = {attempt for worker in fleet.workers for attempt in worker.runs}
    lost = [
        attempt
        for attempt, sent_at, ended_at, status in results
        if status == 0
        and attempt in passed_on
        and not is_excused(sent_at - stopped_at, ended_at - stopped_at)
    ]
    record.add(f"bookings passed on and cut without an answer: {lost}")
    for client in clients:
        client.close()
    return bool(lost)


standins.run_case(play, pathlib.Path(__file__).resolve().parent)
