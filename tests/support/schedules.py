"""Schedules of sends and faults, drawn by Hypothesis.

A schedule is a text of the scenario language, so that one that breaks a
promise can be read, cut down and kept as a scenario.
"""

import dataclasses

import hypothesis
from hypothesis import strategies

NODES = 3
ENGINES = 3
# "till" runs each call that it gets; "ledger" fences and replays.
SERVICES = {"till": "", "ledger": "fencing=true replays-results=true"}

_MIN_STEPS = 14
_MAX_STEPS = 24
_LOG_FAULTS = ("down=true", "delay_ms=1500", "lose_answers=2", "")
_SERVICE_FAULTS = (
    "lose_answers=1",
    "reset_before=1",
    "delay_ms=700",
    "answer_delay_ms=700",
    "",
)
_ENGINE_FAULTS = (
    "late_lines=true duplicate_lines=true",
    "cut_after_tokens=5",
    "reorder_lines=true",
    "lose_cancel_answers=2",
    "",
)
_ACTIONS = (
    "prompt",
    "prompt",
    "call",
    "call",
    "resend",
    "resend",
    "hang_up",
    "log_faults",
    "cut_log",
    "service_faults",
    "engine_faults",
    "kill_engine",
    "kill_node",
    "stop_node",
    "freeze_node",
    "freeze_engine",
    "thaw",
    "wait",
    "pass",
    "pass",
    "pass",
    "publish",
)


@dataclasses.dataclass(frozen=True)
class Step:
    """One drawn step; numbers choose among what is possible then."""

    action: str
    first: int
    second: int


_STEPS = strategies.lists(
    strategies.builds(
        Step,
        strategies.sampled_from(_ACTIONS),
        strategies.integers(0, 11),
        strategies.integers(0, 11),
    ),
    min_size=_MIN_STEPS,
    max_size=_MAX_STEPS,
)


def draw(seed: int, count: int) -> list[str]:
    """Return schedules; equal seeds give equal ones."""
    drawn: list[str] = []

    @hypothesis.seed(seed)
    @hypothesis.settings(
        database=None,
        deadline=None,
        # The first example is always the smallest one.
        max_examples=count + 1,
        phases=[hypothesis.Phase.generate],
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    @hypothesis.given(_STEPS)
    def collect(steps: list[Step]) -> None:
        drawn.append(_Writer(seed, len(drawn)).text(steps))

    collect()
    return drawn[1 : count + 1]


class _Writer:
    """Writes the statements of a schedule and keeps track of the fleet."""

    def __init__(self, seed: int, number: int) -> None:
        self._lines = [
            f'scenario "Schedule {number} of seed {seed}"',
            f"start a fleet of {NODES} nodes and {ENGINES} engines with"
            " time-factor=2",
        ]
        for name, options in SERVICES.items():
            start = f"start service {name}"
            publish = f"publish service {name}"
            if options:
                start += f" with {options}"
                publish += f" with {options.replace('-', '_')}"
            self._lines += [start, publish]
        self._lines += [
            "wait until all nodes have the configuration",
            "start load L through node-1 with service=till workers=2",
            "start load M through node-2 with service=ledger workers=2",
        ]
        self._loads = {"node-1": "L", "node-2": "M"}
        self._frozen: list[str] = []
        self._running = [f"node-{n + 1}" for n in range(NODES)]
        self._calls: list[tuple[str, str]] = []
        self._open: list[str] = []
        self._sent = 0
        self._published = 0

    def text(self, steps: list[Step]) -> str:
        for step in steps:
            self._write(step)
        for name in self._frozen:
            self._lines.append(f"thaw {name}")
        for name in ("log", *SERVICES):
            self._lines.append(f"set faults of {name}")
        for load in self._loads.values():
            self._lines.append(f"end load {load}")
        self._lines.append("wait until all nodes have the configuration")
        return "\n".join(self._lines) + "\n"

    def _write(self, step: Step) -> None:
        node = self._running[step.first % len(self._running)]
        engine = f"engine-{step.first % ENGINES + 1}"
        services = list(SERVICES)
        match step.action:
            case "prompt":
                name = self._name("P")
                answer = 10 + 15 * step.second
                self._open.append(name)
                self._add(
                    f"send prompt {name} through {node} with answer={answer}"
                )
            case "call":
                name = self._name("B")
                service = services[step.second % len(services)]
                self._calls.append((name, service))
                self._add(f"send call {name} to {service} through {node}")
            case "resend" if self._calls:
                key, service = self._calls[step.second % len(self._calls)]
                self._add(
                    f"send call {self._name('B')} to {service} through {node}"
                    f" with key={key}"
                )
            case "hang_up" if self._open:
                self._add(f"hang up {self._open.pop()}")
            case "wait" if self._open and not self._frozen:
                self._add(f"wait for {self._open.pop(0)}")
            case "pass":
                self._add(f"let 0.{step.second // 2 + 1} s pass")
            case "log_faults":
                self._faults("log", _LOG_FAULTS, step.second)
            case "cut_log":
                self._add(f"set faults of log to cut_clients={node}")
            case "service_faults":
                service = services[step.first % len(services)]
                self._faults(service, _SERVICE_FAULTS, step.second)
            case "engine_faults" if engine not in self._frozen:
                self._faults(engine, _ENGINE_FAULTS, step.second)
            case _:
                self._write_signal(step, node, engine)

    def _write_signal(self, step: Step, node: str, engine: str) -> None:
        match step.action:
            case "kill_engine" if engine not in self._frozen:
                self._add(f"restart {engine}")
            case "kill_node" if node not in self._frozen:
                self._add(f"restart {node}")
            case "stop_node" if (
                node not in self._frozen and len(self._running) > 1
            ):
                # A stop waits for what the node does, so nothing may be
                # frozen meanwhile.
                self._thaw_all()
                self._running.remove(node)
                # Behind a balancer, a stopping node gets no new connections.
                if load := self._loads.pop(node, ""):
                    self._add(f"end load {load}")
                self._add(f"stop {node}")
            case "freeze_node" if node not in self._frozen:
                self._freeze(node)
            case "freeze_engine" if engine not in self._frozen:
                self._freeze(engine)
            case "thaw":
                self._thaw_all()
            case "publish" if not self._frozen:
                # A frozen node cannot take a record in time.
                self._published += 1
                self._add("set faults of log")
                self._add(f"publish model extra-{self._published}")

    def _freeze(self, name: str) -> None:
        self._frozen.append(name)
        self._add(f"freeze {name}")

    def _thaw_all(self) -> None:
        for name in self._frozen:
            self._add(f"thaw {name}")
        self._frozen.clear()

    def _faults(self, name: str, faults: tuple[str, ...], index: int) -> None:
        chosen = faults[index % len(faults)]
        to = f" to {chosen}" if chosen else ""
        self._add(f"set faults of {name}{to}")

    def _name(self, prefix: str) -> str:
        self._sent += 1
        return f"{prefix}{self._sent}"

    def _add(self, line: str) -> None:
        self._lines.append(line)
