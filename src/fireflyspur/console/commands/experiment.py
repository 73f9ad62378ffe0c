"""The command that compares placement policies in virtual time."""

import argparse
import dataclasses
import json
import pathlib

from loguru import logger

from fireflyspur.console import command
from fireflyspur.experiment import example_engine
from fireflyspur.experiment import fleet_simulation
from fireflyspur.experiment import plots
from fireflyspur.experiment import policies
from fireflyspur.experiment import report
from fireflyspur.experiment import traffic
from fireflyspur.load import libraries


class ExperimentCommand(command.Command):
    """``fireflyspur experiment``."""

    name = "experiment"
    help = "compare placement policies in virtual time"

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's arguments to its parser."""
        parser.add_argument(
            "--pattern",
            action="append",
            choices=tuple(traffic.PATTERNS),
            help="pattern of load, may be repeated; by default all",
        )
        parser.add_argument(
            "--policy",
            action="append",
            choices=policies.NAMES,
            help="policy, may be repeated; by default all",
        )
        parser.add_argument("--engines", type=_count, default=16)
        parser.add_argument("--nodes", type=_count, default=8)
        parser.add_argument("--seconds", type=float, default=38.0)
        parser.add_argument("--seed", type=int, default=1)
        parser.add_argument("--runs", type=_count, default=1)
        parser.add_argument("--output", help="folder for JSON and plots")
        parser.add_argument("--json", action="store_true")

    def run(self, arguments: argparse.Namespace) -> int:
        """Play each pattern under each policy."""
        if arguments.output:
            libraries.load("matplotlib")
        results = [
            _play(arguments, pattern, policy, arguments.seed + number)
            for pattern in arguments.pattern or traffic.PATTERNS
            for number in range(arguments.runs)
            for policy in arguments.policy or policies.NAMES
        ]
        found = [dataclasses.asdict(result) for result in results]
        if arguments.json:
            command.print_json(found)
        else:
            print(*report.table_lines(results), sep="\n")
        if arguments.output:
            folder = pathlib.Path(arguments.output)
            folder.mkdir(parents=True, exist_ok=True)
            text = json.dumps(found, indent=2) + "\n"
            (folder / "report.json").write_text(text, encoding="utf-8")
            plots.draw(results, folder)
        return command.ExitCode.DONE


def _count(text: str) -> int:
    number = int(text)
    if number < 1:
        raise argparse.ArgumentTypeError("at least 1 is needed")
    return number


def _play(
    arguments: argparse.Namespace, pattern: str, policy: str, seed: int
) -> report.RunResult:
    setup = fleet_simulation.Setup(
        example_engine.SPEC,
        arguments.engines,
        arguments.nodes,
        arguments.seconds,
        traffic.PATTERNS[pattern],
        seed,
    )
    # The log lines of thousands of decisions are not of interest here.
    logger.disable("fireflyspur")
    try:
        runs = fleet_simulation.FleetSimulation(setup, policy).run()
    finally:
        logger.enable("fireflyspur")
    return report.summarize(pattern, policy, seed, runs)
