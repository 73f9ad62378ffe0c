"""The command line."""

import argparse
from collections.abc import Sequence
import importlib
import json
import sys

from fireflyspur.clients import exceptions as client_exceptions
from fireflyspur.console import command
from fireflyspur.errors import exceptions
from fireflyspur.records import exceptions as record_exceptions

# Class of each command, in the module of the command's name. A module is
# imported when it is needed: a node starts without the libraries of others.
_COMMANDS = {
    "load": "LoadCommand",
    "node": "NodeCommand",
    "platform": "PlatformCommand",
    "record": "RecordCommand",
    "audit": "AuditCommand",
    "view": "ViewCommand",
    "settings": "SettingsCommand",
    "standin": "StandinCommand",
    "experiment": "ExperimentCommand",
    "causes": "CausesCommand",
}


def build_parser(
    names: Sequence[str] = tuple(_COMMANDS),
) -> argparse.ArgumentParser:
    """Return the parser of the command line.

    :param names: the commands that it knows
    """
    parser = argparse.ArgumentParser(
        prog="fireflyspur",
        description="Serving layer for prompts of very unlike lengths.",
    )
    commands = parser.add_subparsers(metavar="COMMAND", required=True)
    for name in names:
        item = _load_command(name)
        subparser = commands.add_parser(item.name, help=item.help)
        item.configure(subparser)
        subparser.set_defaults(command=item)
    return parser


def main(argv: Sequence[str] | None = None) -> int:
    """Run the program.

    :param argv: the arguments, or None for the process's own
    :returns: the exit code
    """
    words = sys.argv[1:] if argv is None else list(argv)
    names = words[:1] if words[:1] and words[0] in _COMMANDS else _COMMANDS
    arguments = build_parser(tuple(names)).parse_args(words)
    try:
        return arguments.command.run(arguments)
    except exceptions.FireflyspurError as error:
        _report(error, getattr(arguments, "json", False))
        return _exit_code(error)
    except KeyboardInterrupt:
        return command.ExitCode.FAILED


def _load_command(name: str) -> command.Command:
    module = importlib.import_module(f"fireflyspur.console.commands.{name}")
    return getattr(module, _COMMANDS[name])()


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
        case record_exceptions.RecordSupersededError():
            return command.ExitCode.BEATEN
        case (
            client_exceptions.LogUnavailableError()
            | client_exceptions.NodeUnreachableError()
        ):
            return command.ExitCode.UNREACHABLE
        case _:
            return command.ExitCode.FAILED
