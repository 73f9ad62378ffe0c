"""Measures memory and idle processor time of one node by size of its catalog.

A node process follows a log with a growing number of client accounts; no
request is sent. The figures are those of the whole process.
"""

import argparse
import json
import os
import pathlib
import time

from tools import fleet as fleets

_PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
_BATCH = 100
_MIB = 2**20


def _account(index: int) -> dict[str, object]:
    return {
        "schema_version": 1,
        "kind": "account",
        "name": f"account-{index:05}",
        "uid": f"{index:036}",
        "author": "operator",
        "spec": {"key_sha256": [f"{index:064x}"], "tokens_per_s": 1000.0},
    }


def _resident_bytes(pid: int) -> int:
    text = pathlib.Path(f"/proc/{pid}/statm").read_text("utf-8")
    return int(text.split()[1]) * _PAGE_BYTES


def _cpu_s(pid: int) -> float:
    text = pathlib.Path(f"/proc/{pid}/stat").read_text("utf-8")
    fields = text.rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--json", action="store_true")
    arguments = parser.parse_args()
    with fleets.Fleet() as fleet:
        fleet.start_standin("log", "log", "--max-appends-per-s", "10000")
        fleet.start_standin("vm-list", "vm-list")
        fleet.start_node("node-1", "domain-0", logging={"level": "WARNING"})
        fleet.list_vm("node-1", "node", "domain-0")
        pid = fleet.process("node-1").pid
        view = fleet.url("node-1", "admin") + "/admin/view"
        log = fleet.url("log") + "/streams/config/records"
        published = 0
        for size in (0, 1300, 2600, 5200):
            while published < size:
                batch = [_account(published + i) for i in range(_BATCH)]
                fleets.call(log, "POST", {"records": batch})
                published += _BATCH
            while fleets.call(view)["config_offset"] < published:
                time.sleep(0.1)
            time.sleep(1.0)
            before = _cpu_s(pid)
            time.sleep(arguments.seconds)
            idle = (_cpu_s(pid) - before) / arguments.seconds
            values = {
                "accounts": size,
                "resident_mib": round(_resident_bytes(pid) / _MIB, 1),
                "idle_core_percent": round(idle * 100, 2),
            }
            print(json.dumps(values) if arguments.json else values)


if __name__ == "__main__":
    main()
