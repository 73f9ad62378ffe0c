"""Runs scenarios against a fleet of processes and checks their history."""

import time
from typing import Any

from fireflyspur.claims import idempotency_key
from tests.support import clients
from tests.support import fleet_driver
from tests.support import history as histories
from tests.support import history_checker
from tests.support import polling
from tests.support import scenario_parser
from tests.support import work_watcher
from tools import fleet as fleets

# Only a hang reaches this.
_JOIN_S = 150.0


class ScenarioRunner:
    """Carries out the statements of one scenario."""

    def __init__(self, fleet: fleets.Fleet) -> None:
        self._fleet = fleet
        self.history = histories.History()
        self._driver = fleet_driver.FleetDriver(fleet, self.history)
        self._clients = clients.Clients(self.history)
        self._watcher: work_watcher.WorkWatcher | None = None
        self._frozen: set[str] = set()
        self._keys: dict[str, str] = {}

    def run(self, scenario: scenario_parser.Scenario) -> list[str]:
        """Run a scenario and return the promises that were broken."""
        try:
            for statement in scenario.statements:
                self._run_checked(scenario.title, statement)
            return self._finish()
        finally:
            if self._watcher:
                self._watcher.stop()

    def _run_checked(
        self, title: str, statement: scenario_parser.Statement
    ) -> None:
        if statement.kind != "start_process":
            self._driver.finish_starts()
        try:
            self._run_statement(statement)
        except AssertionError as error:
            raise AssertionError(
                f"{title}, line {statement.line}: {error}"
            ) from error

    def _run_statement(self, statement: scenario_parser.Statement) -> None:
        words, options = statement.words, statement.options
        driver = self._driver
        match statement.kind, words:
            case "start_process", (kind, name, domain, *_):
                driver.start(kind, name, domain or "sapporo-a", options)
            case "start_fleet", (nodes, engines, *_):
                driver.start_fleet(nodes, engines, options)
            case "publish", (kind, name, *_):
                driver.publish(kind, name, options)
            case (("send_prompt" | "send_call" | "start_load"), _):
                self._send(statement.kind, words, options)
            case "end_load", (name,):
                self._clients.end_load(name, _JOIN_S)
            case "hang_up", (name,):
                self._clients.disconnect(name)
            case "let_pass", (seconds,):
                time.sleep(seconds)
            case "signal", (signal, name):
                self._signal(signal, name)
            case "replace", (name,):
                driver.replace(name)
            case "restart", (name,):
                driver.restart(name)
            case "set_faults", (name, *_):
                self._set_faults(name, options)
            case "order_leave", (name,):
                driver.order_leave(name)
            case "mark_leaving", (name,):
                driver.list_vm(name, "leaving")
            case "remove_vm", (name,):
                driver.remove_vm(name)
            case str() as kind, _ if kind.startswith("wait_"):
                self._wait(kind, *words)
            case _:
                self._expect(statement.kind, words, options)

    def _send(
        self, kind: str, words: tuple[Any, ...], options: dict[str, Any]
    ) -> None:
        match kind, words:
            case "send_prompt", (name, node, *_):
                self._send_prompt(name, node, **options)
            case "send_call", (name, service, node, *_):
                self._send_call(name, service, node, **options)
            case "start_load", (name, node, *_):
                port = self._driver.caller_port(node)
                workers = options.pop("workers", 4)
                load = clients.Load(name, node, port, **options)
                self._clients.start_load(load, workers)

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
        port = self._driver.caller_port(node)
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
        sent_key = self._keys.setdefault(
            key or name, idempotency_key.generate()
        )
        self._keys[name] = sent_key
        port = self._driver.caller_port(node)
        self._clients.send_call(
            name, node, port, service, sent_key, {"what": body}, timeout
        )

    def _set_faults(self, name: str, options: dict[str, Any]) -> None:
        if "cut_clients" in options:
            options = {**options, "cut_clients": [options["cut_clients"]]}
        fleets.call(self._driver.url(name) + "/faults", "POST", options)

    def _signal(self, signal: str, name: str) -> None:
        process = self._fleet.process(name)
        match signal:
            case "kill":
                self._driver.kill(name)
                self._frozen.discard(name)
            case "freeze":
                process.freeze()
                self._frozen.add(name)
            case "thaw":
                process.thaw()
                self._frozen.discard(name)
            case "stop":
                self._driver.stop(name)

    def _wait(self, kind: str, name: str = "", count: int = 0) -> None:
        match kind:
            case "wait_config":
                self._driver.wait_for_configuration(name)
            case "wait_all":
                self._driver.wait_for_configuration()
                self._driver.wait_until_met()
            case "wait_answer":
                polling.wait_until(
                    lambda: self.history.response(name), f"{name} is answered"
                )
            case "wait_tokens":
                polling.wait_until(
                    lambda: self._clients.tokens(name) >= count,
                    f"{name} has {count} tokens",
                )
            case "wait_frozen":
                polling.wait_until(
                    lambda: self._driver.is_frozen(name), f"{name} is frozen"
                )
                self._frozen.add(name)
            case "wait_leaving":
                self._watch()
                polling.wait_until(
                    lambda: name in self._watcher.leaving,
                    f"a node sees {name} leaving",
                )

    def _watch(self) -> None:
        if self._watcher is None:
            self._watcher = work_watcher.WorkWatcher(
                self._driver, self.history
            )
            self._watcher.start()

    def _expect(
        self, kind: str, words: tuple[Any, ...], options: dict[str, Any]
    ) -> None:
        match kind, words:
            case "expect_answer", (name, *_):
                self._wait("wait_answer", name)
                self._check_answer(self.history.response(name), options)
            case "expect_all", (load, *_):
                self._check_load(load, options)
            case "expect_effects", (service, label, bound, count):
                seen = self._count_effects(service, self._keys[label])
                _check_bound(f"effects of {label}", seen, bound, count)
            case "expect_dead", (bound, count):
                dead = len(self._driver.dead("engine"))
                _check_bound("dead engines", dead, bound, count)
            case "expect_ready", (node,):
                polling.wait_until(
                    lambda: not self._driver.readiness(node),
                    f"{node} is ready",
                )
            case "expect_not_ready", (node, reason):
                polling.wait_until(
                    lambda: self._driver.readiness(node) == reason,
                    f"{node} is not ready because {reason}",
                )

    def _check_load(self, load: str, options: dict[str, Any]) -> None:
        names = [
            sent.request
            for sent in self.history.of_type(histories.RequestSent)
            if sent.request.startswith(f"{load}-")
        ]
        if not names:
            raise AssertionError(f"{load} sent no request")
        for name in names:
            self._check_answer(self.history.response(name), options)

    def _check_answer(
        self,
        answer: histories.ResponseReceived | None,
        options: dict[str, Any],
    ) -> None:
        for key, value in options.items():
            if getattr(answer, key, None) != value:
                raise AssertionError(f"expected {key} {value}, got {answer}")

    def _effects(self, service: str) -> list[dict[str, Any]]:
        url = self._driver.url(service) + "/effects"
        return fleets.call(url)["effects"]

    def _count_effects(self, service: str, key: str) -> int:
        return sum(e["key"] == key for e in self._effects(service))

    def _finish(self) -> list[str]:
        for name in list(self._frozen):
            self._signal("thaw", name)
        self._clients.end_loads(_JOIN_S)
        self._clients.join(_JOIN_S)
        for service in self._driver.names("service"):
            self._collect_effects(service)
        for engine in self._driver.names("engine"):
            self._collect_holdings(engine)
        for node in self._driver.names("node"):
            self._driver.view(node)
        return history_checker.check(self.history)

    def _collect_effects(self, service: str) -> None:
        for effect in self._effects(service):
            request = effect["headers"].get(clients.REQUEST_HEADER, "")
            self.history.add(
                histories.Effect(0.0, service, effect["key"], request)
            )

    def _collect_holdings(self, engine: str) -> None:
        url = self._driver.url(engine) + "/engine/v1/holdings"
        try:
            self._driver.wait_idle(engine)
        except AssertionError:
            for held in fleets.call(url)["holdings"]:
                self.history.add(histories.HoldingLeft(engine, str(held)))


def _check_bound(what: str, seen: int, bound: str, count: int) -> None:
    kept = {
        "exactly": seen == count,
        "at most": seen <= count,
        "at least": seen >= count,
    }[bound]
    if not kept:
        raise AssertionError(f"expected {bound} {count} {what}, found {seen}")
