"""The command that counts why requests were late, refused or failed."""

import argparse
import dataclasses
import pathlib
import sys

from fireflyspur.console import command
from fireflyspur.console import tables
from fireflyspur.observability import cause_table


class CausesCommand(command.Command):
    """``fireflyspur causes``."""

    name = "causes"
    help = "count why requests were late, refused or failed, from logs"

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's arguments to its parser."""
        parser.add_argument(
            "log", nargs="*", help="log of nodes; by default standard input"
        )
        parser.add_argument(
            "--aim",
            action="append",
            type=_aim,
            required=True,
            metavar="TOKENS:FIRST_MS:GAP_MS",
            help="what is on time for prompts up to a length, for each length",
        )
        parser.add_argument("--json", action="store_true")

    def run(self, arguments: argparse.Namespace) -> int:
        """Print a line for each cause and length, the most frequent first."""
        lines: list[str] = []
        try:
            for name in arguments.log:
                text = pathlib.Path(name).read_text(
                    encoding="utf-8", errors="replace"
                )
                lines.extend(text.splitlines())
        except OSError as error:
            print(f"fireflyspur: {error}", file=sys.stderr)
            return command.ExitCode.INVALID_INPUT
        requests = cause_table.read_requests(
            lines if arguments.log else sys.stdin
        )
        rows = [
            dataclasses.asdict(item)
            for item in cause_table.count_causes(requests, arguments.aim)
        ]
        if arguments.json:
            command.print_json(rows)
        else:
            columns = ["count", "max_tokens", "cause"]
            print(*tables.format_table(rows, columns), sep="\n")
        return command.ExitCode.DONE


def _aim(text: str) -> cause_table.Target:
    try:
        return cause_table.Target(*map(int, text.split(":")))
    except (TypeError, ValueError) as error:
        raise argparse.ArgumentTypeError(
            "three whole numbers with colons between them are needed"
        ) from error
