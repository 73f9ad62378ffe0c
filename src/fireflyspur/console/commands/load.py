"""The commands of the load tool."""

import argparse
import asyncio
import getpass
import json
import pathlib
from typing import Any

from fireflyspur.console import command
from fireflyspur.generated import load_mix
from fireflyspur.load import comparison
from fireflyspur.load import libraries
from fireflyspur.load import mix_file
from fireflyspur.load import plots
from fireflyspur.load import report
from fireflyspur.load import runner

_POLICIES = ("predicted", "least_outstanding", "round_robin")


class LoadCommand(command.Command):
    """``fireflyspur load``."""

    name = "load"
    help = "send a mix of requests and report the outcomes"

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's arguments to its parser."""
        actions = parser.add_subparsers(metavar="ACTION", required=True)
        run = actions.add_parser("run", help="run a mix")
        run.set_defaults(action=_run)
        compare = actions.add_parser(
            "compare", help="compare two routing policies in one run"
        )
        compare.add_argument("--log", required=True, help="URL of the log")
        compare.add_argument(
            "--policy",
            action="append",
            choices=_POLICIES,
            required=True,
            help="given twice; the first is the base of the ratios",
        )
        compare.add_argument("--slices", type=int, default=4)
        compare.add_argument("--author", default=getpass.getuser())
        compare.set_defaults(action=_compare)
        for item in (run, compare):
            item.add_argument("mix", help="YAML file with the mix")
            item.add_argument(
                "--base-url",
                action="append",
                required=True,
                help="entry point; several are used in turn",
            )
            item.add_argument("--time-factor", type=float, default=1.0)
            item.add_argument("--seed", type=int)
            item.add_argument("--output", help="folder for JSON and plots")
            item.add_argument("--quiet", action="store_true")
            item.add_argument("--json", action="store_true")

    def run(self, arguments: argparse.Namespace) -> int:
        """Run the chosen action."""
        libraries.load("hdrh.histogram")
        if arguments.output:
            libraries.load("matplotlib")
        mix = mix_file.load(arguments.mix)
        seed = mix.seed if arguments.seed is None else arguments.seed
        return arguments.action(arguments, mix, seed)


def _target(arguments: argparse.Namespace) -> runner.LoadTarget:
    return runner.LoadTarget(
        [url.rstrip("/") for url in arguments.base_url],
        arguments.time_factor,
        not arguments.quiet,
    )


def _run(
    arguments: argparse.Namespace, mix: load_mix.LoadMix, seed: int
) -> int:
    results = []
    for number in range(mix.repeats):
        load = runner.LoadRunner(mix, _target(arguments), seed + number, "run")
        results.append(asyncio.run(load.run()))
        if not arguments.json:
            print(report.describe(results[-1]), end="", flush=True)
    _write(arguments, {"results": results})
    return command.ExitCode.DONE


def _compare(
    arguments: argparse.Namespace, mix: load_mix.LoadMix, seed: int
) -> int:
    if len(set(arguments.policy)) != 2:
        print("fireflyspur: give --policy twice, with two policies")
        return command.ExitCode.USAGE
    settings = comparison.ComparisonSettings(
        arguments.log,
        tuple(arguments.policy),
        arguments.slices,
        arguments.author,
    )
    found = asyncio.run(
        comparison.compare(mix, _target(arguments), seed, settings)
    )
    if not arguments.json:
        for result in found["results"]:
            print(report.describe(result), end="")
        print(report.describe_comparison(found), end="")
    _write(arguments, found)
    return command.ExitCode.DONE


def _write(arguments: argparse.Namespace, found: dict[str, Any]) -> None:
    if arguments.json:
        command.print_json(found)
    if not arguments.output:
        return
    folder = pathlib.Path(arguments.output)
    folder.mkdir(parents=True, exist_ok=True)
    text = json.dumps(found, indent=2) + "\n"
    (folder / "report.json").write_text(text, encoding="utf-8")
    plots.draw(found["results"], folder)
    if "ratios" in found:
        plots.draw_ratios(found, folder)
