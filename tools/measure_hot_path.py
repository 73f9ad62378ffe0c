"""Measures what the serving layer itself costs.

Starts a log, an engine that answers at once and one node on loopback. Each
figure is taken at three sizes or more and given as the slope of the fitted
line, with the least and the greatest slope of the repeated runs.
"""

import argparse
import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib
import json
import os
import pathlib
import random
import statistics
import sys

from tools import fleet as fleets
from tools import raw_client

_KEY = "measure"
_DESIGN_REQUESTS_PER_S = 11.4
_DESIGN_TOKENS_PER_S = 3700
_KB, _MB = 1000, 1_000_000
_PROMPT_BYTES = (4 * _KB, 400 * _KB, 4 * _MB)
_IDLE_S = 1.0
_SETTLE_S = 0.3
# Long enough for the node to take all that it will of an unread stream.
_UNREAD_S = 1.5


class Figures:
    """Points of one run by the name of the figure, as (size, value)."""

    def __init__(self) -> None:
        self.points: dict[str, list[tuple[float, float]]] = {}

    def add(self, name: str, size: float, value: float) -> None:
        """Add a point."""
        self.points.setdefault(name, []).append((size, value))

    def line(self, name: str) -> tuple[float, float]:
        """Return slope and intercept of the line through the points."""
        sizes, values = zip(*self.points[name], strict=True)
        return statistics.linear_regression(sizes, values)


class Bench:
    """A node in front of an engine that answers at once.

    :param stack: ends the processes
    :param seed: seed of the prompts
    """

    def __init__(self, stack: contextlib.ExitStack, seed: int) -> None:
        self.random = random.Random(seed)
        self.figures = Figures()
        fleet = stack.enter_context(fleets.Fleet())
        fleet.start_standin("log", "log")
        fleet.start_standin("vm-list", "vm-list")
        engine = fleets.Process(
            [],
            fleet.folder / "engine.log",
            [sys.executable, "-m", "tools.instant_engine"],
        )
        stack.callback(engine.kill)
        _publish(fleet, engine.ports["port"])
        self.node = fleet.start_node("node", "sapporo-a")
        fleet.wait_ready("node")
        self.through = raw_client.Target(
            self.node.ports["http"],
            "/v1/completions",
            b"data: ",
            b"data: [DONE]",
            _KEY,
        )
        self.direct = raw_client.Target(
            engine.ports["port"],
            "/engine/v1/streams",
            b'"index"',
            b'"done"',
        )

    def prompt(self, kind: str, size: int = 400) -> str:
        """Return a new prompt of a number of bytes."""
        words = f"{kind} {self.random.getrandbits(64):016x} "
        return (words + "lorem " * (size // 6 + 1))[:size]

    def cpu_s(self) -> float:
        """Return the processor time of all threads of the node."""
        tasks = pathlib.Path(f"/proc/{self.node.pid}/task")
        spent = 0
        for path in tasks.iterdir():
            spent += int((path / "schedstat").read_text().split()[0])
        return spent / 1e9

    def rss_bytes(self) -> int:
        """Return the resident memory of the node."""
        path = pathlib.Path(f"/proc/{self.node.pid}/statm")
        pages = int(path.read_text(encoding="ascii").split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE")

    async def spend(self, work: Awaitable[object]) -> float:
        """Return the processor time of the node during some work."""
        before = self.cpu_s()
        await work
        return self.cpu_s() - before


def _publish(fleet: fleets.Fleet, engine_port: int) -> None:
    engine = {
        "address": "127.0.0.1",
        "port": engine_port,
        "failure_domain": "sapporo-a",
        "models": ["quill"],
        "memory_tokens": 1_000_000_000,
        "prefill_tokens_per_s": 1e9,
        "decode_tokens_per_s": 1e9,
    }
    values = [
        ("model", "quill", {"version": "1"}),
        ("account", "a", {"key_sha256": [fleets.key_digest(_KEY)]}),
        ("engine", "engine", engine),
    ]
    records = [
        {"schema_version": 1, "kind": k, "name": n, "spec": s}
        for k, n, s in values
    ]
    url = fleet.url("log") + "/streams/config/records"
    fleets.call(url, "POST", {"records": records})


async def _calls(
    bench: Bench, callers: int, prompts: list[str], max_tokens: int
) -> None:
    """Send prompts through the node over a number of connections."""
    todo = [bench.through.request(prompt, max_tokens) for prompt in prompts]

    async def work() -> None:
        connection = await raw_client.Connection.open(bench.through)
        while todo:
            await connection.call(todo.pop())
        connection.close()

    await asyncio.gather(*(work() for _ in range(callers)))


async def measure_first_token(bench: Bench) -> None:
    """Compare the time to first token with a direct call."""
    through = await raw_client.Connection.open(bench.through)
    for size, count in zip((400, *_PROMPT_BYTES), (300, 300, 60, 10)):
        direct_ms, node_ms = [], []
        for _ in range(count):
            prompt = bench.prompt("at-once", size)
            direct = await raw_client.Connection.open(bench.direct)
            request = bench.direct.request(prompt, 1)
            direct_ms.append(1000 * await direct.call(request))
            direct.close()
            request = bench.through.request(prompt, 1)
            node_ms.append(1000 * await through.call(request))
        for name, part in (("p50", 49), ("p99", 98)):
            added = [
                statistics.quantiles(values, n=100, method="inclusive")[part]
                for values in (node_ms, direct_ms)
            ]
            bench.figures.add(
                f"added_ttft_{name}_ms", size / _MB, added[0] - added[1]
            )
    through.close()


async def measure_requests(bench: Bench) -> None:
    """Measure the processor time of short requests."""
    await _calls(bench, 4, [bench.prompt("at-once") for _ in range(100)], 1)
    idle_s = await bench.spend(asyncio.sleep(_IDLE_S))
    bench.figures.add("idle_core_percent", 0, 100 * idle_s / _IDLE_S)
    for count in (200, 400, 800):
        prompts = [bench.prompt("at-once") for _ in range(count)]
        spent_s = await bench.spend(_calls(bench, 4, prompts, 1))
        bench.figures.add("request_cpu_ms", count, 1000 * spent_s)


async def measure_tokens(bench: Bench) -> None:
    """Measure the processor time of tokens, paced and all at once."""
    for kind, streams, lengths in (
        ("paced", 100, (10, 40, 80)),
        ("at-once", 10, (500, 1000, 2000)),
    ):
        for tokens in lengths:
            prompts = [bench.prompt(kind) for _ in range(streams)]
            work = _calls(bench, streams, prompts, tokens)
            spent_s = await bench.spend(work)
            name = f"{kind.replace('-', '_')}_1000_tokens_cpu_ms"
            bench.figures.add(name, streams * tokens / 1000, 1000 * spent_s)


async def measure_prompts(bench: Bench) -> None:
    """Measure the processor time of long prompts."""
    for size, count in zip(_PROMPT_BYTES, (100, 30, 8), strict=True):
        prompts = [bench.prompt("at-once", size) for _ in range(count)]
        spent_s = await bench.spend(_calls(bench, 1, prompts, 1))
        bench.figures.add(
            "prompt_mb_cpu_ms", size / _MB, 1000 * spent_s / count
        )


async def measure_stalls(bench: Bench) -> None:
    """Measure short requests while a long prompt comes in."""
    for size in _PROMPT_BYTES:
        worst_ms = []
        for _ in range(6):
            worst_ms.append(await _worst_beside(bench, size))
        name = "short_ttft_beside_long_ms"
        bench.figures.add(name, size / _MB, statistics.median(worst_ms))


async def _worst_beside(bench: Bench, size: int) -> float:
    """Return the longest time to first token beside one prompt."""
    short = await raw_client.Connection.open(bench.through)
    long = await raw_client.Connection.open(bench.through)
    body = bench.through.request(bench.prompt("at-once", size), 1)
    requests = [
        bench.through.request(bench.prompt("at-once"), 1) for _ in range(50)
    ]
    await short.call(requests[0])
    task = asyncio.ensure_future(long.call(body))
    await asyncio.sleep(0)
    elapsed_s = []
    for request in requests:
        elapsed_s.append(await short.call(request))
        if task.done():
            break
    await task
    short.close()
    long.close()
    return 1000 * max(elapsed_s)


async def measure_open_streams(bench: Bench) -> None:
    """Measure the memory of streams that stay open."""
    await _calls(bench, 4, [bench.prompt("at-once") for _ in range(100)], 1)
    await _hold(bench, "stream_rss_kb", (100, 300, 1000), 400, 1 / _KB)
    await _hold(bench, "prompt_mb_rss_mb", (4, 8, 16), _MB, 1 / _MB)


async def _hold(
    bench: Bench, name: str, counts: tuple[int, ...], size: int, scale: float
) -> None:
    held: list[raw_client.Connection] = []
    for count in counts:
        while len(held) < count:
            connection = await raw_client.Connection.open(bench.through)
            held.append(connection)
            request = bench.through.request(bench.prompt("hold", size), 1000)
            await connection.first_token(request)
        await asyncio.sleep(_SETTLE_S)
        bench.figures.add(name, count, bench.rss_bytes() * scale)
    for connection in held:
        connection.close()
    await asyncio.sleep(_SETTLE_S)


async def measure_slow_reader(bench: Bench) -> None:
    """Measure the memory of streams whose callers do not read."""
    opened, total = [], 0
    for tokens in (100_000, 100_000, 200_000):
        connection = await raw_client.Connection.open(bench.through)
        opened.append(connection)
        request = bench.through.request(bench.prompt("at-once"), tokens)
        await connection.send_only(request)
        await asyncio.sleep(_UNREAD_S)
        total += tokens
        rss_kb = bench.rss_bytes() / _KB
        bench.figures.add("unread_1000_tokens_rss_kb", total / 1000, rss_kb)
    for connection in opened:
        connection.close()
    await asyncio.sleep(_SETTLE_S)


_MEASURES: dict[str, Callable[[Bench], Awaitable[None]]] = {
    "memory": measure_open_streams,
    "requests": measure_requests,
    "tokens": measure_tokens,
    "prompts": measure_prompts,
    "first-token": measure_first_token,
    "stalls": measure_stalls,
    "slow-reader": measure_slow_reader,
}


def _summary(runs: list[Figures]) -> dict[str, dict[str, object]]:
    result: dict[str, dict[str, object]] = {}
    for name, points in runs[0].points.items():
        by_size = {}
        for index, (size, _) in enumerate(points):
            values = [run.points[name][index][1] for run in runs]
            by_size[f"{size:g}"] = _spread(values)
        result[name] = {"points": by_size}
        if len(points) > 1:
            lines = [run.line(name) for run in runs]
            result[name]["slope"] = _spread([line[0] for line in lines])
            result[name]["intercept"] = _spread([line[1] for line in lines])
    _add_design_share(result)
    return result


def _spread(values: list[float]) -> dict[str, float]:
    return {
        "median": round(statistics.median(values), 3),
        "min": round(min(values), 3),
        "max": round(max(values), 3),
    }


def _add_design_share(result: dict[str, dict[str, object]]) -> None:
    names = ("request_cpu_ms", "paced_1000_tokens_cpu_ms")
    if not all(name in result for name in names):
        return
    share = {}
    for kind in ("median", "min", "max"):
        request_ms, tokens_ms = (result[n]["slope"][kind] for n in names)
        busy_ms = request_ms * _DESIGN_REQUESTS_PER_S
        busy_ms += tokens_ms * _DESIGN_TOKENS_PER_S / 1000
        share[kind] = round(busy_ms / 10, 2)
    result["design_size_core_percent"] = {"points": {"all": share}}


def _print_text(result: dict[str, dict[str, object]]) -> None:
    def text(value: dict[str, float]) -> str:
        return f"{value['median']:g} ({value['min']:g} to {value['max']:g})"

    print("| figure | size | median (least to greatest) |\n|---|---|---|")
    for name, figure in result.items():
        if "slope" in figure:
            print(f"| {name} | slope | {text(figure['slope'])} |")
            print(f"| {name} | intercept | {text(figure['intercept'])} |")
        for size, value in figure["points"].items():
            print(f"| {name} | {size} | {text(value)} |")


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=3)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--only", nargs="+", choices=_MEASURES, default=list(_MEASURES)
    )
    parser.add_argument("--limit-s", type=float, default=300.0)
    parser.add_argument("--json", action="store_true")
    arguments = parser.parse_args()
    runs: list[Figures] = []

    async def measure(bench: Bench) -> None:
        for name, function in _MEASURES.items():
            if name in arguments.only:
                await function(bench)

    async def all_runs() -> None:
        async with asyncio.timeout(arguments.limit_s):
            for number in range(arguments.runs):
                with contextlib.ExitStack() as stack:
                    bench = Bench(stack, arguments.seed + number)
                    await measure(bench)
                    runs.append(bench.figures)

    asyncio.run(all_runs())
    result = _summary(runs)
    if arguments.json:
        print(json.dumps(result, indent=2))
    else:
        _print_text(result)


if __name__ == "__main__":
    main()
