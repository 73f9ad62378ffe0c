"""Measures what at-most-once calls cost.

Starts a log, a service and one node on loopback and calls the service
directly and through the node, with several numbers of callers at once.
"""

import argparse
import asyncio
import dataclasses
import json
import pathlib
import random
import statistics
import time

from tornado import httpclient
from tornado import simple_httpclient

from fireflyspur.claims import idempotency_key
from tools import fleet as fleets

_KEY = "measure"
_TICKS_PER_S = 100


@dataclasses.dataclass(frozen=True)
class Sample:
    """Latencies in milliseconds, and what the run used."""

    latencies_ms: list[float]
    elapsed_s: float
    appends: int
    cpu_s: float


def _cpu_s(pid: int) -> float:
    text = pathlib.Path(f"/proc/{pid}/stat").read_text(encoding="ascii")
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def _start(fleet: fleets.Fleet, partitions: int) -> None:
    fleet.start_standin("log", "log", "--max-appends-per-s", "300")
    fleet.start_standin("vm-list", "vm-list")
    fleet.start_standin("till", "service")
    endpoint = {
        "address": "127.0.0.1",
        "port": fleet.process("till").ports["port"],
    }
    values = [
        ("account", "a", {"key_sha256": [fleets.key_digest(_KEY)]}),
        ("fleet", "default", {"claim_partitions": partitions}),
        ("service", "till", {"endpoints": [endpoint]}),
    ]
    fleets.call(
        fleet.url("log") + "/streams/config/records",
        "POST",
        {
            "records": [
                {"schema_version": 1, "kind": k, "name": n, "spec": s}
                for k, n, s in values
            ]
        },
    )
    _start_node(fleet, "node")


def _start_node(fleet: fleets.Fleet, name: str) -> None:
    fleet.start_node(name, "sapporo-a")
    fleet.wait_ready(name)


async def _run(
    fleet: fleets.Fleet, url: str, callers: int, calls: int, seed: int
) -> Sample:
    http = simple_httpclient.SimpleAsyncHTTPClient(
        force_instance=True, max_clients=callers
    )
    bits = random.Random(seed)
    todo = [
        idempotency_key.generate(random_bytes=bits.randbytes(10))
        for _ in range(calls)
    ]
    latencies_ms: list[float] = []

    async def work() -> None:
        while todo:
            request = httpclient.HTTPRequest(
                url,
                method="POST",
                body=b"5",
                headers={
                    "Authorization": f"Bearer {_KEY}",
                    "Idempotency-Key": todo.pop(),
                },
            )
            started = time.perf_counter()
            await http.fetch(request)
            latencies_ms.append(1000 * (time.perf_counter() - started))

    info, pid = fleet.url("log") + "/info", fleet.process("node").pid
    appends, cpu_s = fleets.call(info)["appends"], _cpu_s(pid)
    started = time.perf_counter()
    await asyncio.gather(*(work() for _ in range(callers)))
    elapsed_s = time.perf_counter() - started
    http.close()
    return Sample(
        latencies_ms,
        elapsed_s,
        fleets.call(info)["appends"] - appends,
        _cpu_s(pid) - cpu_s,
    )


def _print_row(callers: int, direct: Sample, claimed: Sample) -> None:
    def percentiles(sample: Sample) -> str:
        cuts = statistics.quantiles(sample.latencies_ms, n=20)
        return f"{cuts[9]:.1f} / {cuts[18]:.1f}"

    count = len(claimed.latencies_ms)
    print(
        f"| {callers} | {count} | {percentiles(direct)} |"
        f" {percentiles(claimed)} | {count / claimed.elapsed_s:.0f} |"
        f" {claimed.appends / claimed.elapsed_s:.0f} |"
        f" {1000 * claimed.cpu_s / count:.2f} |"
    )


def _cold_row(fleet: fleets.Fleet, partitions: int, seed: int) -> str:
    """Read what a node reads that uses a partition for the first time."""
    sizes = []
    for number in range(partitions):
        url = f"{fleet.url('log')}/streams/claims-{number}/records?limit="
        page = fleets.call(url + "1000000")
        count, size = len(page["records"]), len(json.dumps(page))
        sizes.append((count, size))
    count, size = max(sizes)
    _start_node(fleet, "cold")
    url = fleet.url("cold", "http") + "/services/till/x"
    sample = asyncio.run(_run(fleet, url, 1, 2, seed))
    return (
        f"| {sum(c for c, _ in sizes)} | {count} | {size} |"
        f" {max(sample.latencies_ms):.0f} |"
    )


def main() -> None:
    """Measure and print tables."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--callers", type=int, nargs="+", default=[1, 16, 64])
    parser.add_argument("--calls-per-caller", type=int, default=30)
    parser.add_argument("--partitions", type=int, default=8)
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    cold_rows = []
    print(
        "| callers | calls | direct p50 / p95 ms | node p50 / p95 ms |"
        " calls/s | appends/s | node CPU ms/call |\n|" + "---|" * 7
    )
    for callers in arguments.callers:
        with fleets.Fleet() as fleet:
            _start(fleet, arguments.partitions)
            calls = max(60, callers * arguments.calls_per_caller)
            samples = [
                asyncio.run(_run(fleet, url, callers, calls, seed))
                for seed, url in (
                    (arguments.seed, fleet.url("till") + "/x"),
                    (
                        arguments.seed + 1,
                        fleet.url("node", "http") + "/services/till/x",
                    ),
                )
            ]
            _print_row(callers, *samples)
            cold_rows.append(
                _cold_row(fleet, arguments.partitions, arguments.seed + 2)
            )
    print(
        "\n| records | of the largest partition | its bytes |"
        " first calls of a new node, max ms |\n|" + "---|" * 4
    )
    print("\n".join(cold_rows))


if __name__ == "__main__":
    main()
