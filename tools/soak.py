"""Runs drawn schedules of sends and faults and checks their histories.

``python -m tools.soak --seed N --runs M --minutes T`` runs the schedules of
the seeds N, N+1 and so on. Equal seeds draw equal schedules, so a seed that
failed is run again with ``--seed N --runs 1``; ``--print`` shows its text
only. ``--gateway`` runs nodes of the users' platform instead, ``--nodes`` of
them; there, what meets what also depends on the speed of the machine, so the
logs of a run that failed are kept in ``--logs``. ``--older COMMIT`` starts
them from the build of that commit and replaces them one by one, and back.
"""

import argparse
import asyncio
import contextlib
import pathlib
import signal
import sys
import tempfile
import time

from tests.gateway_soak import soak as gateway_soak
from tests.support import older_builds
from tests.support import scenario_parser
from tests.support import scenario_runner
from tests.support import schedules
from tools import fleet as fleets

_MAX_PRINTED = 10


def main() -> int:
    """Run the schedules; the exit code is 1 if a promise was broken."""
    arguments = _parse()
    # An exception lets the fleet end its processes.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    end = time.monotonic() + arguments.minutes * 60
    failed = []
    runs = 0
    for seed in range(arguments.seed, arguments.seed + arguments.runs):
        if arguments.print:
            print(*schedules.draw(seed, 1))
            continue
        if time.monotonic() >= end:
            break
        runs += 1
        is_kept = (
            _run_gateway(seed, arguments) if arguments.gateway else _run(seed)
        )
        if not is_kept:
            failed.append(seed)
    print(f"{runs} runs, {len(failed)} failed: {failed}")
    return 1 if failed else 0


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=1_000_000)
    parser.add_argument("--minutes", type=float, default=5.0)
    parser.add_argument("--print", action="store_true")
    parser.add_argument("--gateway", action="store_true")
    parser.add_argument("--older", metavar="COMMIT")
    parser.add_argument("--nodes", type=int, default=4)
    parser.add_argument("--engines", type=int, default=4)
    parser.add_argument(
        "--seconds", type=float, default=10.0, help="time of faults in a run"
    )
    parser.add_argument(
        "--logs", type=pathlib.Path, default=pathlib.Path("target/soak")
    )
    return parser.parse_args()


def _run(seed: int) -> bool:
    """Run one schedule; returns whether all promises were kept."""
    (text,) = schedules.draw(seed, 1)
    started = time.monotonic()
    with fleets.Fleet() as fleet:
        runner = scenario_runner.ScenarioRunner(fleet)
        try:
            violations = runner.run(scenario_parser.parse(text))
        except Exception as error:
            violations = [f"run: {type(error).__name__}: {error}"]
    events = runner.history.events
    _report(seed, len(events), started, violations)
    if violations:
        print(text)
        print("\n".join(map(str, events)), flush=True)
    return not violations


def _run_gateway(seed: int, arguments: argparse.Namespace) -> bool:
    """Run nodes of the platform; returns whether all promises were kept."""
    with contextlib.ExitStack() as stack:
        older_source = None
        if arguments.older:
            folder = stack.enter_context(tempfile.TemporaryDirectory())
            older_source = older_builds.extract(arguments.older, folder)
        run = gateway_soak.GatewaySoak(
            seed, arguments.nodes, arguments.engines, older_source
        )
        started = time.monotonic()
        try:
            violations = asyncio.run(run.run(arguments.seconds))
        except Exception as error:
            violations = [f"run: {type(error).__name__}: {error}"]
    events = run.record.results + run.record.disruptions
    _report(seed, len(events), started, violations)
    if violations:
        folder = arguments.logs / f"seed-{seed}"
        folder.mkdir(parents=True, exist_ok=True)
        logs = {"events": "\n".join([*run.events, *violations]), **run.logs}
        for name, text in logs.items():
            (folder / f"{name}.log").write_text(text, encoding="utf-8")
    return not violations


def _report(
    seed: int, events: int, started: float, violations: list[str]
) -> None:
    seconds = time.monotonic() - started
    print(
        f"seed {seed}: {events} events in {seconds:.1f} s,"
        f" {len(violations)} violations",
        flush=True,
    )
    print(*violations[:_MAX_PRINTED], sep="\n", end="\n" * bool(violations))


if __name__ == "__main__":
    sys.exit(main())
