"""Several nodes that find one another through the VM list."""

import json
from typing import Any
import urllib.error

from tests.support import polling
from tools import fleet as fleets

DOMAINS = ("sapporo-a", "sapporo-b", "asahikawa")
BOUND_S = 2.0


def start(fleet: fleets.Fleet, name: str, is_listed: bool = True) -> None:
    """Start a node with a short staleness bound and list its VM."""
    domain = DOMAINS[int(name.rpartition("-")[2]) % len(DOMAINS)]
    fleet.start_node(
        name,
        domain,
        log={"poll_wait_s": 0.5},
        vm_list={"poll_interval_s": 0.2},
        membership={"staleness_bound_s": BOUND_S},
    )
    port = fleet.process(name).ports["peer"]
    if is_listed:
        list_vm(fleet, name, "node", port, domain)


def list_vm(
    fleet: fleets.Fleet,
    name: str,
    role: str,
    port: int,
    domain: str,
    state: str = "live",
) -> None:
    """Put a VM into the VM list."""
    fleet.list_vm(name, role, domain, state, port)


def view(fleet: fleets.Fleet, name: str) -> dict[str, Any]:
    """Return what a node knows."""
    return fleets.call(fleet.url(name, "admin") + "/admin/view")


def state_of(fleet: fleets.Fleet, name: str, other: str) -> str:
    """Return the state of another node as a node sees it."""
    members = view(fleet, name)["members"]
    return next((m["state"] for m in members if m["name"] == other), "")


def incarnation_of(fleet: fleets.Fleet, name: str, other: str) -> int:
    """Return the incarnation of another node as a node sees it."""
    members = view(fleet, name)["members"]
    return next((m["incarnation"] for m in members if m["name"] == other), 0)


def actions(fleet: fleets.Fleet, name: str) -> set[tuple[str, str]]:
    """Return action and subject of each event of a node's audit trail."""
    answer = fleets.call(fleet.url(name, "admin") + "/admin/audit")
    return {(e["action"], e["subject"]) for e in answer["events"]}


def readiness(fleet: fleets.Fleet, name: str) -> dict[str, Any]:
    """Return the answer of ``/readyz``, ready or not."""
    try:
        return fleets.call(fleet.url(name, "http") + "/readyz")
    except urllib.error.HTTPError as error:
        return json.loads(error.read())


def wait_converged(fleet: fleets.Fleet, names: list[str], offset: int) -> None:
    """Wait until all nodes know one another and have an offset."""

    def is_converged() -> bool:
        for name in names:
            seen = view(fleet, name)
            alive = [
                m["name"] for m in seen["members"] if m["state"] == "alive"
            ]
            if alive != sorted(names) or seen["config_offset"] < offset:
                return False
        return True

    polling.wait_until(is_converged, "the nodes know one another")
