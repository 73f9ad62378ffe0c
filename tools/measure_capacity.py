"""Measures how a node's control cost grows with the size of the fleet.

Prints, for each part, the cost at several sizes and a straight line fitted to
them, for docs/CAPACITY.md. Calls over the network are in measure_calls.
"""

import argparse
from collections.abc import Callable
import dataclasses
import json
import time
import tracemalloc
from typing import Any

import numpy

from fireflyspur.admission import account_limiter
from fireflyspur.admission import authenticator
from fireflyspur.admission import share_coordinator
from fireflyspur.generated import records
from fireflyspur.records import catalog as catalogs
from fireflyspur.routing import engine_view
from fireflyspur.routing import prefix_index
from fireflyspur.routing import router

_MICRO = 1e6
_ROUNDS = 5


@dataclasses.dataclass(frozen=True)
class Series:
    """Cost of one part at several sizes.

    :param part: what was measured, with the unit of the cost
    :param size: what the size counts
    :param points: size and cost
    """

    part: str
    size: str
    points: list[tuple[float, float]]

    def fit(self) -> tuple[float, float]:
        """Return slope and intercept of the line through the points."""
        sizes, costs = zip(*self.points, strict=True)
        slope, intercept = numpy.polyfit(sizes, costs, 1)
        return float(slope), float(intercept)


def _cpu_us(function: Callable[[], Any], times: int) -> float:
    """Return the least processor time of a call over some rounds, in us."""
    best = float("inf")
    for _ in range(_ROUNDS):
        start = time.process_time()
        for _ in range(times):
            function()
        best = min(best, (time.process_time() - start) / times)
    return best * _MICRO


def _memory_bytes(function: Callable[[], Any]) -> float:
    """Return the memory that a function's result holds."""
    tracemalloc.start()
    kept = function()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return float(size)


def _account(index: int) -> dict[str, Any]:
    return {
        "schema_version": 1,
        "kind": "account",
        "name": f"account-{index:05}",
        "uid": f"{index:036}",
        "author": "operator",
        "spec": {
            "key_sha256": [f"{index:064x}"],
            "priority": 5,
            "tokens_per_s": 1000.0,
            "default_timeout_s": 60.0,
        },
    }


def _engine(index: int, port: int = 9000) -> dict[str, Any]:
    return {
        "schema_version": 1,
        "kind": "engine",
        "name": f"engine-{index:04}",
        "spec": {
            "address": "127.0.0.1",
            "port": port,
            "failure_domain": f"domain-{index % 7}",
            "models": ["quill"],
            "memory_tokens": 500_000,
        },
    }


def _catalog(*values: dict[str, Any]) -> catalogs.Catalog:
    catalog = catalogs.Catalog()
    for offset, value in enumerate(values, 1):
        catalog.apply(offset, 0.0, json.loads(json.dumps(value)))
    return catalog


def _measure_catalog(sizes: list[int]) -> list[Series]:
    memory, apply_us, index_us = [], [], []
    for size in sizes:
        values = [_account(i) for i in range(size)]
        memory.append((size, _memory_bytes(lambda: _catalog(*values))))
        apply_us.append((size, _cpu_us(lambda: _catalog(*values), 1)))
        catalog = _catalog(*values)

        def index() -> None:
            authenticator.Authenticator(catalog).authenticate(f"Bearer {0}")

        def quiet() -> None:
            try:
                index()
            except Exception:  # noqa: BLE001 the key is unknown on purpose
                return

        index_us.append((size, _cpu_us(quiet, 3)))
    return [
        Series("catalog memory, bytes", "accounts", memory),
        Series("catalog load, us of CPU", "accounts", apply_us),
        Series("key index after a change, us of CPU", "accounts", index_us),
    ]


def _measure_routing(sizes: list[int]) -> list[Series]:
    points = []
    request = router.RouteRequest("quill", "", "x" * 8000, 2000, 100)
    for size in sizes:
        catalog = _catalog(*(_engine(i) for i in range(size)))
        view = engine_view.EngineView(catalog, "node-1")
        routing = router.Router(catalog, view, "domain-0", seed=1)

        def choose() -> None:
            routing.finish(routing.choose(request))

        points.append((size, _cpu_us(choose, 200)))
    return [Series("choice of an engine, us of CPU", "engines", points)]


def _measure_prefixes(sizes: list[int]) -> list[Series]:
    memory = []
    for size in sizes:

        def fill() -> prefix_index.PrefixIndex:
            index = prefix_index.PrefixIndex()
            for i in range(size):
                index.add(
                    "engine-1", prefix_index.digests("m", "", f"{i:08}" * 500)
                )
            return index

        memory.append((size, _memory_bytes(fill)))
    digest_us = [
        (size, _cpu_us(lambda: prefix_index.digests("m", "", "x" * size), 3))
        for size in (4_000, 400_000, 4_000_000)
    ]
    return [
        Series("prefix index memory, bytes", "prompts of 4 KB", memory),
        Series("digests of a prompt, us of CPU", "prompt bytes", digest_us),
    ]


def _measure_limits(sizes: list[int]) -> list[Series]:
    report_us, memory = [], []
    for size in sizes:
        limits = {f"account-{i}": 1000.0 for i in range(size)}
        limiter = account_limiter.AccountLimiter()
        for name in limits:
            spec = records.AccountSpec(["0" * 64], tokens_per_s=1000.0)
            limiter.charge(authenticator.Account(name, spec), 1000, 0.0)
        report_us.append(
            (size, _cpu_us(lambda: limiter.demands(limits.get, 0.1), 3))
        )

        def fill() -> share_coordinator.ShareCoordinator:
            coordinator = share_coordinator.ShareCoordinator()
            for name in limits:
                coordinator.update_share(name, 1000.0, "node-1", 10.0, 0.0)
            return coordinator

        memory.append((size, _memory_bytes(fill)))
    return [
        Series("demands of a report, us of CPU", "accounts", report_us),
        Series("coordinator memory, bytes", "account reports", memory),
    ]


def measure() -> list[Series]:
    """Return all series."""
    series = _measure_catalog([650, 1300, 2600, 5200])
    series += _measure_routing([8, 16, 32, 800])
    series += _measure_prefixes([500, 1000, 2000])
    series += _measure_limits([100, 400, 1600, 5200])
    return series


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", action="store_true")
    arguments = parser.parse_args()
    for item in measure():
        slope, intercept = item.fit()
        if arguments.json:
            line = {**dataclasses.asdict(item), "slope": slope}
            print(json.dumps({**line, "intercept": intercept}))
            continue
        print(f"{item.part} by {item.size}")
        for size, cost in item.points:
            print(f"  {size:>9,.0f}  {cost:>14,.1f}")
        print(f"  fit: {slope:.4g} x + {intercept:.4g}")


if __name__ == "__main__":
    main()
