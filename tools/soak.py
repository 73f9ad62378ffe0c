"""Runs drawn schedules of sends and faults and checks their histories.

``python -m tools.soak --seed N --runs M --minutes T`` runs the schedules of
the seeds N, N+1 and so on. Equal seeds draw equal schedules, so a seed that
failed is run again with ``--seed N --runs 1``; ``--print`` shows its text
only.
"""

import argparse
import signal
import sys
import time

from tests.support import scenario_parser
from tests.support import scenario_runner
from tests.support import schedules
from tools import fleet as fleets


def main() -> int:
    """Run the schedules; the exit code is 1 if a promise was broken."""
    arguments = _parse()
    # An exception lets the fleet end its processes.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    end = time.monotonic() + arguments.minutes * 60
    failed = []
    runs = 0
    for seed in range(arguments.seed, arguments.seed + arguments.runs):
        (text,) = schedules.draw(seed, 1)
        if arguments.print:
            print(text)
            continue
        if time.monotonic() >= end:
            break
        runs += 1
        if not _run(seed, text):
            failed.append(seed)
    print(f"{runs} runs, {len(failed)} failed: {failed}")
    return 1 if failed else 0


def _parse() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--runs", type=int, default=1_000_000)
    parser.add_argument("--minutes", type=float, default=5.0)
    parser.add_argument("--print", action="store_true")
    return parser.parse_args()


def _run(seed: int, text: str) -> bool:
    """Run one schedule; returns whether all promises were kept."""
    started = time.monotonic()
    with fleets.Fleet() as fleet:
        runner = scenario_runner.ScenarioRunner(fleet)
        try:
            violations = runner.run(scenario_parser.parse(text))
        except Exception as error:
            violations = [f"run: {type(error).__name__}: {error}"]
    seconds = time.monotonic() - started
    events = runner.history.events
    print(
        f"seed {seed}: {len(events)} events in {seconds:.1f} s,"
        f" {len(violations)} violations",
        flush=True,
    )
    if violations:
        print("\n".join(violations))
        print(text)
        print("\n".join(map(str, events)), flush=True)
    return not violations


if __name__ == "__main__":
    sys.exit(main())
