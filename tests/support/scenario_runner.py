"""Runs scenarios against a fleet of processes and checks their history."""

import json
import pathlib
import time
from typing import Any
import urllib.error

from tests.support import clients
from tests.support import history as histories
from tests.support import history_checker
from tests.support import polling
from tests.support import records
from tests.support import scenario_parser
from tools import fleet as fleets

# Only a hang reaches this.
_JOIN_S = 150.0


class ScenarioRunner:
    """Carries out the statements of one scenario."""

    def __init__(self, fleet: fleets.Fleet) -> None:
        self._fleet = fleet
        self.history = histories.History()
        self._clients = clients.Clients(self.history)
        self._kinds: dict[str, str] = {}
        self._domains: dict[str, str] = {}
        self._frozen: set[str] = set()
        self._keys: dict[str, str] = {}

    def run(self, scenario: scenario_parser.Scenario) -> list[str]:
        """Run a scenario and return the promises that were broken."""
        for statement in scenario.statements:
            try:
                self._run_statement(statement)
            except AssertionError as error:
                raise AssertionError(
                    f"{scenario.title}, line {statement.line}: {error}"
                ) from error
        return self._finish()

    def _run_statement(self, statement: scenario_parser.Statement) -> None:
        words, options = statement.words, statement.options
        match statement.kind, words:
            case "start_process", (kind, name, domain, *_):
                self._start(kind, name, domain or "sapporo-a", options)
            case "publish", (kind, name, *_):
                self._publish(kind, name, options)
            case "send_prompt", (name, node, *_):
                self._send_prompt(name, node, **options)
            case "send_call", (name, service, node, *_):
                self._send_call(name, service, node, **options)
            case "signal", (signal, name):
                self._signal(signal, name)
            case "set_faults", (name, *_):
                url = self._fleet.url(name) + "/faults"
                fleets.call(url, "POST", options)
            case "mark_leaving", (name,):
                self._list(name, "leaving")
            case "remove_vm", (name,):
                url = f"{self._fleet.url('vm-list')}/vms/{name}"
                fleets.call(url, "DELETE")
            case str() as kind, _ if kind.startswith("wait_"):
                self._wait(kind, *words)
            case _:
                self._expect(statement.kind, words, options)

    def _start(
        self, kind: str, name: str, domain: str, options: dict[str, Any]
    ) -> None:
        self._kinds[name], self._domains[name] = kind, domain
        if kind == "node":
            sections: dict[str, dict[str, Any]] = {}
            for key, value in options.items():
                section, _, field = key.partition(".")
                sections.setdefault(section, {})[field] = value
            self._fleet.start_node(name, domain, **sections)
        else:
            arguments = []
            for key, value in options.items():
                arguments.append(f"--{key}")
                if value is not True:
                    arguments.append(str(value))
            self._fleet.start_standin(name, kind, *arguments)
        self._fleet.process(name).ports  # noqa: B018 waits for the start
        if kind in ("node", "engine", "service") and "vm-list" in self._kinds:
            self._list(name, "live")

    def _list(self, name: str, state: str) -> None:
        kind = self._kinds[name]
        port = self._fleet.process(name).ports.get("peer")
        vm = {
            "role": kind,
            "address": "127.0.0.1",
            "port": port or self._fleet.process(name).ports.get("port", 0),
            "failure_domain": self._domains[name],
            "state": state,
        }
        fleets.call(f"{self._fleet.url('vm-list')}/vms/{name}", "PUT", vm)

    def _publish(self, kind: str, name: str, options: dict[str, Any]) -> None:
        match kind:
            case "account":
                value = records.account(name, **options)
            case "engine":
                value = records.engine(
                    self._fleet,
                    name,
                    failure_domain=self._domains[name],
                    **options,
                )
            case "service":
                port = self._fleet.process(name).ports["port"]
                endpoint = {"address": "127.0.0.1", "port": port}
                value = records.make(
                    kind, name, endpoints=[endpoint], **options
                )
            case "model":
                value = records.make(kind, name, version="1", **options)
            case _:
                value = records.make(kind, name, **options)
        answer = fleets.call(
            self._fleet.url("log") + "/streams/config/records",
            "POST",
            {"records": [value]},
        )
        self.history.add(
            histories.ConfigAccepted(time.monotonic(), answer["offsets"][0])
        )

    def _send_prompt(
        self,
        name: str,
        node: str,
        prompt: str = "",
        tokens: int = 100,
        answer: int = 20,
        timeout: float = 60.0,
    ) -> None:
        text = prompt or f"{name} "
        text = (text * (4 * tokens // len(text) + 1))[: max(4 * tokens, 1)]
        port = self._fleet.process(node).ports["http"]
        self._clients.send_prompt(name, node, port, text, answer, timeout)

    def _send_call(
        self,
        name: str,
        service: str,
        node: str,
        key: str = "",
        body: str = "one pickup",
        timeout: float = 60.0,
    ) -> None:
        label = key or name
        uuid7 = self._keys.setdefault(label, clients.uuid7())
        port = self._fleet.process(node).ports["http"]
        self._clients.send_call(
            name, node, port, service, uuid7, {"what": body}, timeout
        )

    def _signal(self, signal: str, name: str) -> None:
        process = self._fleet.process(name)
        match signal:
            case "kill":
                process.kill()
                self._frozen.discard(name)
            case "freeze":
                process.freeze()
                self._frozen.add(name)
            case "thaw":
                process.thaw()
                self._frozen.discard(name)
            case "stop":
                self.history.add(
                    histories.GracefulStop(time.monotonic(), name)
                )
                process.terminate()
                code = process.wait()
                if code:
                    raise AssertionError(f"{name} ended with code {code}")

    def _wait(self, kind: str, name: str, count: int = 0) -> None:
        match kind:
            case "wait_config":
                polling.wait_until(
                    lambda: self._has_configuration(name),
                    f"{name} has the configuration",
                )
            case "wait_answer":
                polling.wait_until(
                    lambda: self.history.answer(name), f"{name} is answered"
                )
            case "wait_tokens":
                polling.wait_until(
                    lambda: self._clients.tokens(name) >= count,
                    f"{name} has {count} tokens",
                )
            case "wait_frozen":
                pid = self._fleet.process(name).pid
                polling.wait_until(
                    lambda: _process_state(pid) == "T", f"{name} is frozen"
                )
                self._frozen.add(name)

    def _has_configuration(self, node: str) -> bool:
        log = self._fleet.url("log") + "/streams/config/records?from=1&limit=1"
        tail = fleets.call(log)["tail"]
        return self._view(node)["config_offset"] >= tail - 1

    def _view(self, node: str) -> dict[str, Any]:
        view = fleets.call(self._fleet.url(node, "admin") + "/admin/view")
        self.history.add(
            histories.ConfigInForce(
                time.monotonic(),
                node,
                view["config_offset"],
                str(self._fleet.process(node).pid),
            )
        )
        return view

    def _expect(
        self, kind: str, words: tuple[Any, ...], options: dict[str, Any]
    ) -> None:
        match kind, words:
            case "expect_answer", (name, *_):
                self._wait("wait_answer", name)
                answer = self.history.answer(name)
                for key, value in options.items():
                    seen = getattr(answer, key)
                    if seen != value:
                        raise AssertionError(
                            f"{name}: expected {key} {value}, got {answer}"
                        )
            case "expect_effects", (service, label, bound, count):
                self._expect_effects(service, label, bound, count)
            case "expect_ready", (node,):
                polling.wait_until(
                    lambda: self._ready_reason(node) == "", f"{node} is ready"
                )
            case "expect_not_ready", (node, reason):
                polling.wait_until(
                    lambda: self._ready_reason(node) == reason,
                    f"{node} is not ready because {reason}",
                )

    def _expect_effects(
        self, service: str, label: str, bound: str, count: int
    ) -> None:
        effects = fleets.call(self._fleet.url(service) + "/effects")["effects"]
        key = self._keys[label]
        seen = sum(1 for effect in effects if effect["key"] == key)
        kept = {
            "exactly": seen == count,
            "at most": seen <= count,
            "at least": seen >= count,
        }[bound]
        if not kept:
            raise AssertionError(
                f"{service}: expected {bound} {count} effects of {label},"
                f" found {seen}"
            )

    def _ready_reason(self, node: str) -> str:
        url = self._fleet.url(node, "http") + "/readyz"
        try:
            return fleets.call(url)["reason"]
        except urllib.error.HTTPError as error:
            return _json_reason(error)

    def _finish(self) -> list[str]:
        for name in list(self._frozen):
            self._signal("thaw", name)
        self._clients.join(_JOIN_S)
        for name, kind in self._kinds.items():
            if not self._fleet.process(name).is_running:
                continue
            match kind:
                case "service":
                    self._collect_effects(name)
                case "engine":
                    self._collect_holdings(name)
                case "node":
                    self._view(name)
        return history_checker.check(self.history)

    def _collect_effects(self, service: str) -> None:
        found = fleets.call(self._fleet.url(service) + "/effects")["effects"]
        for effect in found:
            self.history.add(
                histories.Effect(
                    0.0, service, effect["key"], effect.get("request", "")
                )
            )

    def _collect_holdings(self, engine: str) -> None:
        url = self._fleet.url(engine) + "/engine/v1/holdings"
        try:
            polling.wait_until(
                lambda: not fleets.call(url)["holdings"],
                f"{engine} has freed all",
            )
        except AssertionError:
            for held in fleets.call(url)["holdings"]:
                self.history.add(histories.Held(engine, str(held)))


def _process_state(pid: int) -> str:
    text = pathlib.Path(f"/proc/{pid}/stat").read_text("utf-8")
    return text.rpartition(")")[2].split()[0]


def _json_reason(error: urllib.error.HTTPError) -> str:
    return json.loads(error.read()).get("reason", "")
