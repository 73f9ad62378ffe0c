"""A sound engine is silent for a second while a node stops as planned."""

import asyncio
import pathlib
import signal
import time

import platform_standins as standins

SERVICE, HOST, KEY = "mender-assistant", "mender.example", "key-1"
# Figures of the sheet's engines.
SLOTS = 8
ENGINE = {
    "slots": SLOTS,
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
    "usual": {"prompt": 13199, "answer": 1541},
    "hop_ms": 0.1,
}
SERVICES = [
    {
        "name": SERVICE,
        "health_check": "/health",
        "max_connections": 274,
        "protocol": "h1",
        "tls": False,
        "engine": ENGINE,
    }
]
TENANTS = [{"name": "tenant-1", "api_keys": [KEY]}]
DEADLINE_MS = 10_000
ROUTES = [
    {
        "name": "r-quote",
        "host": HOST,
        "path_prefix": "/quote/",
        "kind": "streaming",
        "timeout_ms": DEADLINE_MS,
        "target_latency_ms": 300,
        "priority": 1,
        "service": SERVICE,
        "max_attempts": 2,
        "public": False,
        "sticky": True,
        "stream_resume": True,
        "gap_aim_ms": 200,
    }
]
PROMPT_TOKENS, EVENTS, EVENT_TOKENS = 4_960, 87, 46
# A pass of a full engine takes 54 ms.
EVENT_S = 0.054
NODES, WORKERS = 4, 2
STOP_AFTER_S = 1.0
GRACE_S = standins.BOUNDS["grace_s"]
# A sound worker may be silent "for a second or so"; clients stay for 2 s.
SILENT_AFTER_S, SILENT_S = 1.0, 1.2


class Pause:
    """When a worker is silent."""

    def __init__(self):
        self._goes_on = asyncio.Event()
        self._goes_on.set()

    async def hold(self, seconds):
        self._goes_on.clear()
        await asyncio.sleep(seconds)
        self._goes_on.set()

    async def wait(self):
        await self._goes_on.wait()


def make_answer(record, pause):
    async def answer(worker, target, headers, body, writer):
        attempt = headers["x-fireflyspur-attempt-id"]
        begin = int(headers.get("last-event-id") or 0) + 1
        record.add(f"{worker.instance} runs {attempt} from event {begin}")
        writer.write(
            worker.head(
                headers,
                "Content-Type: text/event-stream",
                "Transfer-Encoding: chunked",
                f"X-Fireflyspur-Response-Seal: {worker.instance}.{attempt}",
            ).encode()
        )
        try:
            for number in range(begin, EVENTS + 1):
                await pause.wait()
                data = f"id: {number}\ndata: {attempt}-{number}\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(data), data))
                await writer.drain()
                await asyncio.sleep(EVENT_S)
        except asyncio.CancelledError:
            record.add(f"{worker.instance}: connection of {attempt} closed")
            raise
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        record.add(f"{worker.instance} has ended {attempt}")
        return True

    return answer


async def send(node, number, record):
    """Send one request; returns its node, answer, and times."""
    attempt = f"q{number:03d}"
    sent_at = time.monotonic()
    answer = await standins.request(
        node.front,
        "POST",
        "/quote/2f",
        {
            "Host": HOST,
            "X-Fireflyspur-Attempt-Id": attempt,
            "X-Fireflyspur-Model": "m",
            "X-Fireflyspur-Token-Count": (
                f"{PROMPT_TOKENS},{EVENTS * EVENT_TOKENS}"
            ),
            "X-Fireflyspur-Prompt-Prefix": f"{number:08x}:{PROMPT_TOKENS}",
            "X-Fireflyspur-Deadline-Ms": DEADLINE_MS,
            "Authorization": f"Token {KEY}",
        },
        body=b"x" * 1200,
        timeout_s=DEADLINE_MS / 1000 + 1,
    )
    ended_at = time.monotonic()
    events = answer.body.count(b"\n\n")
    record.add(
        f"client {attempt} at {node.name}: {answer.status},"
        f" {events or 'part'} of {EVENTS} events after"
        f" {ended_at - sent_at:.2f} s; {answer.reason or 'complete'}"
    )
    return node, attempt, answer, sent_at, ended_at


async def play(fleet, record):
    fleet.put_config(ROUTES, SERVICES, TENANTS)
    pauses = [Pause() for _ in range(WORKERS)]
    for number in range(WORKERS):
        await fleet.add_worker(
            f"i-{number}",
            SERVICE,
            f"zone-{number}",
            make_answer(record, pauses[number]),
            slots=SLOTS,
        )
    for number in range(NODES):
        await fleet.add_node(f"front-{number}", f"zone-{number % 3}")
    await fleet.wait_until_ready()
    await asyncio.sleep(4.0)
    sending = []
    for number in range(WORKERS * SLOTS):
        node = fleet.nodes[number % NODES]
        sending.append(asyncio.ensure_future(send(node, number, record)))
        await asyncio.sleep(0.03)
    await asyncio.sleep(STOP_AFTER_S)
    stopped = fleet.nodes[-1]
    stopped.send_signal(signal.SIGTERM)
    stopped_at = time.monotonic()
    record.add(f"SIGTERM to {stopped.name}")
    await asyncio.sleep(SILENT_AFTER_S)
    if standins.is_troubled():
        at_stopped = {
            f"q{number:03d}"
            for number in range(WORKERS * SLOTS)
            if fleet.nodes[number % NODES] is stopped
        }
        counts = [len(at_stopped.intersection(w.runs)) for w in fleet.workers]
        silent = counts.index(max(counts))
        name = fleet.workers[silent].instance
        record.add(f"{name} is silent; it has {max(counts)} of {stopped.name}")
        await pauses[silent].hold(SILENT_S)
        record.add(f"{name} goes on")
    lost = []
    for node, attempt, answer, sent_at, ended_at in await asyncio.gather(
        *sending
    ):
        is_cut = answer.status is None or not answer.is_complete
        # No worker broke off. The rule excuses a time limit that was reached,
        # and the last sixth of the grace.
        is_excused = (
            ended_at - sent_at >= DEADLINE_MS / 1000
            or ended_at - stopped_at >= GRACE_S * 5 / 6
        )
        if node is stopped and is_cut and not is_excused:
            lost.append(attempt)
    for line in stopped.log().splitlines():
        if any(f'"{attempt}"' in line for attempt in lost):
            record.add(f"log: {line}")
    record.add(f"{len(lost)} requests lost at the stopped node: {lost}")
    return bool(lost)


standins.run_case(play, pathlib.Path(__file__).resolve().parent)
