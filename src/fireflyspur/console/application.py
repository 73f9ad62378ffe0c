"""The command line."""

import argparse
from collections.abc import Sequence
import json
import sys

from fireflyspur.clients import exceptions as client_exceptions
from fireflyspur.console import command
from fireflyspur.console.commands import audit
from fireflyspur.console.commands import load
from fireflyspur.console.commands import node
from fireflyspur.console.commands import record
from fireflyspur.console.commands import settings
from fireflyspur.console.commands import standin
from fireflyspur.console.commands import view
from fireflyspur.errors import exceptions
from fireflyspur.records import exceptions as record_exceptions

_COMMANDS: tuple[command.Command, ...] = (
    load.LoadCommand(),
    node.NodeCommand(),
    record.RecordCommand(),
    audit.AuditCommand(),
    view.ViewCommand(),
    settings.SettingsCommand(),
    standin.StandinCommand(),
)


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the whole command line."""
    parser = argparse.ArgumentParser(
        prog="fireflyspur",
        description="Serving layer for prompts of very unlike lengths.",
    )
    commands = parser.add_subparsers(metavar="COMMAND", required=True)
    for item in _COMMANDS:
        subparser = commands.add_parser(item.name, help=item.help)
        item.configure(subparser)
        subparser.set_defaults(command=item)
    return parser


def main(argv: Sequence[str] | None = None) -> int:
    """Run the program.

    :param argv: the arguments, or None for the process's own
    :returns: the exit code
    """
    arguments = build_parser().parse_args(argv)
    try:
        return arguments.command.run(arguments)
    except exceptions.FireflyspurError as error:
        _report(error, getattr(arguments, "json", False))
        return _exit_code(error)
    except KeyboardInterrupt:
        return command.ExitCode.FAILED


def _report(error: exceptions.FireflyspurError, as_json: bool) -> None:
    if as_json:
        print(
            json.dumps({"error": {"code": error.code, "message": str(error)}})
        )
    else:
        print(f"fireflyspur: {error.code}: {error}", file=sys.stderr)


def _exit_code(error: exceptions.FireflyspurError) -> command.ExitCode:
    match error:
        case exceptions.InvalidInputError():
            return command.ExitCode.INVALID_INPUT
        case record_exceptions.RecordBeatenError():
            return command.ExitCode.BEATEN
        case (
            client_exceptions.LogUnavailableError()
            | client_exceptions.NodeUnreachableError()
        ):
            return command.ExitCode.UNREACHABLE
        case _:
            return command.ExitCode.FAILED
