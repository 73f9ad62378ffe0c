"""Runs the load tool against a whole fleet on loopback.

Starts the log, the VM list, engines, services and nodes, publishes their
records, runs a mix or a comparison, and writes what the processes used.
"""

import argparse
import json
import os
import pathlib
import sys
import time
from typing import Any

from fireflyspur.console import application
from fireflyspur.generated import load_mix
from fireflyspur.load import mix_file
from fireflyspur.standins.engine import settings as engine_settings
from tools import fleet as fleets

_DOMAINS = ("sapporo-a", "sapporo-b", "asahikawa")
_START_TIMEOUT_S = 60.0
_CLAIM_PARTITIONS = 8


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the launcher's options."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("mix", help="YAML file with the mix")
    parser.add_argument("--engines", type=int, default=20)
    parser.add_argument("--nodes", type=int, default=8)
    parser.add_argument("--services", type=int, default=3)
    parser.add_argument("--time-factor", type=float, default=1.0)
    parser.add_argument("--memory-tokens", type=int, default=500_000)
    parser.add_argument("--policy", default="predicted")
    parser.add_argument("--compare", nargs=2, metavar="POLICY")
    parser.add_argument("--slices", type=int, default=4)
    parser.add_argument("--seed", type=int)
    parser.add_argument("--output", default="report")
    return parser


def main() -> int:
    """Run one experiment."""
    arguments = build_parser().parse_args()
    mix = mix_file.load(arguments.mix)
    with fleets.Fleet() as fleet:
        _start(fleet, arguments)
        offset = _publish(fleet, arguments, mix)
        _wait_for_nodes(fleet, arguments, offset)
        started, before = time.monotonic(), _cpu_seconds(fleet, arguments)
        code = application.main(_load_arguments(fleet, arguments))
        elapsed_s = time.monotonic() - started
        after = _cpu_seconds(fleet, arguments)
        usage = {
            "elapsed_s": elapsed_s,
            "cores": {k: (after[k] - before[k]) / elapsed_s for k in after},
            "engines": _engine_totals(fleet, arguments),
        }
        _write_usage(usage, pathlib.Path(arguments.output))
    return code


def _start(fleet: fleets.Fleet, arguments: argparse.Namespace) -> None:
    fleet.start_standin("log", "log")
    fleet.start_standin("vm-list", "vm-list")
    for name in _names("engine", arguments.engines):
        fleet.start_standin(
            name,
            "engine",
            *("--time-factor", str(arguments.time_factor)),
            *("--memory-tokens", str(arguments.memory_tokens)),
            "--model=quill=1",
        )
    for name in _names("service", arguments.services):
        fleet.start_standin(name, "service")
    for number, name in enumerate(_names("node", arguments.nodes)):
        domain = _DOMAINS[number % len(_DOMAINS)]
        fleet.start_node(name, domain, logging={"level": "WARNING"})
        fleet.list_vm(name, "node", domain)


def _publish(
    fleet: fleets.Fleet, arguments: argparse.Namespace, mix: load_mix.LoadMix
) -> int:
    """Publish the records of the fleet and return the last offset."""
    records = [
        _record("model", "quill", version="1"),
        _record("policy", "default", routing=arguments.policy),
        # Without it the number of claim partitions is not decided.
        _record("fleet", "default", claim_partitions=_CLAIM_PARTITIONS),
    ]
    for account in mix.accounts:
        spec = {
            "key_sha256": [fleets.key_digest(account.key)],
            "priority": account.priority,
        }
        records.append(_record("account", account.name, **spec))
    rates = engine_settings.EngineSettings()
    for number, name in enumerate(_names("engine", arguments.engines)):
        spec = {
            **_address(fleet, name, number),
            "models": ["quill"],
            "memory_tokens": arguments.memory_tokens,
            # Nodes predict in real time, which the time factor shortens.
            "prefill_tokens_per_s": rates.prefill_tokens_per_s
            * arguments.time_factor,
            "decode_tokens_per_s": rates.decode_tokens_per_s
            * arguments.time_factor,
        }
        records.append(_record("engine", name, **spec))
    services = _names("service", arguments.services)
    if services:
        endpoints = [_address(fleet, n, i) for i, n in enumerate(services)]
        records.append(_record("service", "bookings", endpoints=endpoints))
    url = fleet.url("log") + "/streams/config/records"
    return fleets.call(url, "POST", {"records": records})["offsets"][-1]


def _record(kind: str, name: str, **spec: Any) -> dict[str, Any]:
    return {"schema_version": 1, "kind": kind, "name": name, "spec": spec}


def _address(fleet: fleets.Fleet, name: str, number: int) -> dict[str, Any]:
    return {
        "address": "127.0.0.1",
        "port": fleet.process(name).ports["port"],
        "failure_domain": _DOMAINS[number % len(_DOMAINS)],
    }


def _wait_for_nodes(
    fleet: fleets.Fleet, arguments: argparse.Namespace, offset: int
) -> None:
    deadline = time.monotonic() + _START_TIMEOUT_S
    for name in _names("node", arguments.nodes):
        url = fleet.url(name, "admin") + "/admin/view"
        while fleets.call(url)["config_offset"] < offset:
            if time.monotonic() > deadline:
                raise RuntimeError(f"{name} does not follow the log")
            time.sleep(0.1)


def _load_arguments(
    fleet: fleets.Fleet, arguments: argparse.Namespace
) -> list[str]:
    found = ["load", "compare" if arguments.compare else "run", arguments.mix]
    for name in _names("node", arguments.nodes):
        found += ["--base-url", fleet.url(name, "http")]
    found += ["--time-factor", str(arguments.time_factor)]
    found += ["--output", arguments.output]
    if arguments.seed is not None:
        found += ["--seed", str(arguments.seed)]
    if arguments.compare:
        found += ["--log", fleet.url("log"), "--slices", str(arguments.slices)]
        for policy in arguments.compare:
            found += ["--policy", policy]
    return found


def _cpu_seconds(
    fleet: fleets.Fleet, arguments: argparse.Namespace
) -> dict[str, float]:
    """Return the processor time of each engine and node so far."""
    names = _names("engine", arguments.engines)
    names += _names("node", arguments.nodes)
    ticks_per_s = os.sysconf("SC_CLK_TCK")
    found = {}
    for name in names:
        path = pathlib.Path(f"/proc/{fleet.process(name).pid}/stat")
        fields = path.read_text(encoding="ascii").rpartition(")")[2].split()
        found[name] = (int(fields[11]) + int(fields[12])) / ticks_per_s
    return found


def _engine_totals(
    fleet: fleets.Fleet, arguments: argparse.Namespace
) -> dict[str, Any]:
    totals = {"streams": 0, "tokens_generated": 0, "live_blocks": 0}
    for name in _names("engine", arguments.engines):
        stats = fleets.call(fleet.url(name) + "/stats")
        totals["streams"] += len(stats["streams"])
        totals["tokens_generated"] += stats["tokens_generated"]
        totals["live_blocks"] += stats["blocks"]["live"]
    return totals


def _write_usage(usage: dict[str, Any], folder: pathlib.Path) -> None:
    text = json.dumps(usage, indent=2) + "\n"
    (folder / "fleet.json").write_text(text, encoding="utf-8")
    for kind in ("engine", "node"):
        cores = [v for k, v in usage["cores"].items() if k.startswith(kind)]
        mean = sum(cores) / len(cores)
        print(f"{kind}s: {mean:.3f} of a core on average, {max(cores):.3f}")
    print(f"engines: {usage['engines']}")


def _names(kind: str, count: int) -> list[str]:
    return [f"{kind}-{number}" for number in range(1, count + 1)]


if __name__ == "__main__":
    sys.exit(main())
