"""Starts, lists, publishes and replaces the processes of a scenario."""

import json
import pathlib
import time
from typing import Any
import urllib.error

from tests.support import history as histories
from tests.support import polling
from tests.support import records
from tools import fleet as fleets

DOMAINS = ("sapporo-a", "sapporo-b", "asahikawa")

_LISTED = ("node", "engine", "service")


class FleetDriver:
    """The processes of one scenario, by name.

    :param history: takes what the nodes report and what the log accepted
    """

    def __init__(
        self, fleet: fleets.Fleet, history: histories.History
    ) -> None:
        self._fleet = fleet
        self._history = history
        self._kinds: dict[str, str] = {}
        self._domains: dict[str, str] = {}
        self._options: dict[str, dict[str, Any]] = {}
        self._unlisted: list[str] = []

    def names(self, kind: str) -> list[str]:
        """Return the processes of a kind that run."""
        return [
            name
            for name, own in self._kinds.items()
            if own == kind and self._fleet.process(name).is_running
        ]

    def dead(self, kind: str) -> list[str]:
        """Return the processes of a kind that have ended."""
        return [
            name
            for name, own in self._kinds.items()
            if own == kind and not self._fleet.process(name).is_running
        ]

    def url(self, name: str) -> str:
        """Return the base URL of a stand-in."""
        return self._fleet.url(name)

    def caller_port(self, name: str) -> int:
        """Return the port of a node or balancer for callers."""
        ports = self._fleet.process(name).ports
        return ports["http" if self._kinds[name] == "node" else "port"]

    def start(
        self, kind: str, name: str, domain: str, options: dict[str, Any]
    ) -> None:
        """Start a process; several can be started side by side."""
        self._kinds[name], self._domains[name] = kind, domain
        self._options[name] = options
        if kind == "node":
            sections: dict[str, dict[str, Any]] = {}
            for key, value in options.items():
                section, _, field = key.partition(".")
                is_list = field == "pause_at"
                value = [value] if is_list else value
                sections.setdefault(section, {})[field] = value
            self._fleet.start_node(name, domain, **sections)
        else:
            self._fleet.start_standin(name, kind, *self._arguments(name))
        self._unlisted.append(name)
        if kind in ("log", "vm-list"):
            self.finish_starts()

    def finish_starts(self) -> None:
        """Wait for the processes that were started and list their VMs."""
        names, self._unlisted = self._unlisted, []
        for name in names:
            self._fleet.process(name).ports  # noqa: B018 waits for the start
            if self._kinds[name] in _LISTED and "vm-list" in self._kinds:
                self.list_vm(name, "live")

    def start_fleet(
        self, nodes: int, engines: int, options: dict[str, Any]
    ) -> None:
        """Start a whole fleet and wait until its nodes know one another.

        :param options: options of the engines and, with a section, the
            nodes; the section ``fleet`` is that of the fleet record
        """
        of_engines = {k: v for k, v in options.items() if "." not in k}
        of_fleet = {
            k.removeprefix("fleet."): v
            for k, v in options.items()
            if k.startswith("fleet.")
        }
        of_nodes = {
            k: v
            for k, v in options.items()
            if "." in k and not k.startswith("fleet.")
        }
        self.start("log", "log", "", {})
        self.start("vm-list", "vm-list", "", {"lag-s": 0.5})
        for number in range(1, nodes + 1):
            domain = DOMAINS[number % len(DOMAINS)]
            self.start("node", f"node-{number}", domain, of_nodes)
        for number in range(1, engines + 1):
            domain = DOMAINS[number % len(DOMAINS)]
            self.start("engine", f"engine-{number}", domain, of_engines)
        self.finish_starts()
        self.publish("model", "quill", {})
        self.publish("account", "counter", {})
        self.publish("fleet", "default", of_fleet)
        # The scenarios are about requests that were admitted.
        self.publish("policy", "default", {"admission": False})
        for number in range(1, engines + 1):
            self.publish("engine", f"engine-{number}", {})
        self.wait_for_configuration()
        self.wait_until_met()

    def replace(self, name: str) -> None:
        """Replace a node or engine in order, as the platform does."""
        kind, options = self._kinds[name], dict(self._options[name])
        if kind == "engine":
            self.order_leave(name)
            self.wait_idle(name)
        else:
            # The balancer knows its backends by address and port.
            options["node.http_port"] = self.caller_port(name)
        self.stop(name)
        self.start(kind, name, self._domains[name], options)
        self.finish_starts()
        if kind == "engine":
            self.publish("engine", name, {})
            self.wait_for_configuration()
        else:
            polling.wait_until(
                lambda: not self.readiness(name), f"{name} is ready"
            )

    def kill(self, name: str) -> None:
        """End a process at once."""
        self._history.add(histories.Killed(time.monotonic(), name))
        self._fleet.process(name).kill()

    def restart(self, name: str) -> None:
        """Start a process again on its ports, killed if it still runs."""
        kind, options = self._kinds[name], dict(self._options[name])
        option = "node.http_port" if kind == "node" else "port"
        options[option] = self.caller_port(name)
        self.kill(name)
        self.start(kind, name, self._domains[name], options)
        self.finish_starts()
        self._history.add(histories.Started(time.monotonic(), name))

    def stop(self, name: str) -> None:
        """Stop a process gracefully."""
        process = self._fleet.process(name)
        self._history.add(histories.GracefulStop(time.monotonic(), name))
        process.terminate()
        code = process.wait()
        if code:
            raise AssertionError(f"{name} ended with code {code}")

    def order_leave(self, engine: str) -> None:
        """Tell an engine to leave."""
        order = {"fencing": 1 << 40, "order": {"type": "leave"}}
        url = self.url(engine) + "/engine/v1/orders"
        fleets.call(url, "POST", order)

    def wait_idle(self, engine: str) -> None:
        """Wait until an engine holds nothing."""
        url = self.url(engine) + "/engine/v1/holdings"
        polling.wait_until(
            lambda: not fleets.call(url)["holdings"],
            f"{engine} holds nothing",
        )

    def list_vm(self, name: str, state: str) -> None:
        """Put a VM into the VM list."""
        ports = self._fleet.process(name).ports
        vm = {
            "role": self._kinds[name],
            "address": "127.0.0.1",
            "port": ports.get("peer") or ports.get("port", 0),
            "failure_domain": self._domains[name],
            "state": state,
        }
        fleets.call(f"{self.url('vm-list')}/vms/{name}", "PUT", vm)

    def remove_vm(self, name: str) -> None:
        """Take a VM out of the VM list."""
        fleets.call(f"{self.url('vm-list')}/vms/{name}", "DELETE")

    def publish(self, kind: str, name: str, options: dict[str, Any]) -> None:
        """Publish a record with the defaults of its kind."""
        options = dict(options)
        match kind:
            case "account":
                value = records.account(name, **options)
            case "engine":
                options.setdefault("failure_domain", self._domains[name])
                value = records.engine(self._fleet, name, **options)
            case "service":
                port = self._fleet.process(name).ports["port"]
                options["endpoints"] = [{"address": "127.0.0.1", "port": port}]
                value = records.make(kind, name, **options)
            case "model":
                value = records.make(kind, name, version="1", **options)
            case _:
                value = records.make(kind, name, **options)
        answer = fleets.call(
            self.url("log") + "/streams/config/records",
            "POST",
            {"records": [value]},
        )
        self._history.add(
            histories.ConfigAccepted(time.monotonic(), answer["offsets"][0])
        )

    def wait_for_configuration(self, *nodes: str) -> None:
        """Wait until nodes, by default all, have the latest record."""
        log = self.url("log") + "/streams/config/records?from=1&limit=1"
        tail = fleets.call(log)["tail"]
        for node in nodes or self.names("node"):
            polling.wait_until(
                lambda node=node: self.view(node)["config_offset"] >= tail - 1,
                f"{node} has the configuration",
            )

    def wait_until_met(self) -> None:
        """Wait until all nodes know one another."""
        nodes = set(self.names("node"))

        def met(node: str) -> bool:
            members = self.view(node)["members"]
            return nodes == {
                m["name"] for m in members if m["state"] == "alive"
            }

        for node in nodes:
            polling.wait_until(
                lambda node=node: met(node), f"{node} knows the others"
            )

    def view(self, node: str) -> dict[str, Any]:
        """Return what a node knows and note its configuration."""
        # What a node reports was in force at the start of the call or later.
        asked = time.monotonic()
        process = self._fleet.process(node)
        view = fleets.call(self._fleet.url(node, "admin") + "/admin/view")
        if view["config_offset"]:
            self._history.add(
                histories.ConfigApplied(
                    asked, node, view["config_offset"], str(process.pid)
                )
            )
        return view

    def readiness(self, node: str) -> str:
        """Return why a node is not ready, empty when it is."""
        url = self._fleet.url(node, "http") + "/readyz"
        try:
            return fleets.call(url)["reason"]
        except urllib.error.HTTPError as error:
            return json.loads(error.read()).get("reason", "")

    def is_frozen(self, name: str) -> bool:
        """Whether a process is stopped by a signal."""
        stat = pathlib.Path(f"/proc/{self._fleet.process(name).pid}/stat")
        return stat.read_text("utf-8").rpartition(")")[2].split()[0] == "T"

    def _arguments(self, name: str) -> list[str]:
        options = dict(self._options[name])
        kind = self._kinds[name]
        arguments = []
        if kind == "balancer":
            for node in self.names("node"):
                port = self.caller_port(node)
                arguments += ["--backend", f"127.0.0.1:{port}"]
        if kind == "engine":
            options.setdefault("model", "quill=1")
        for key, value in options.items():
            arguments.append(f"--{key}")
            if value is not True:
                arguments.append(str(value))
        return arguments
