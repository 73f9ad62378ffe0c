"""The commands for operators' records."""

import argparse
import asyncio
from collections.abc import Coroutine
import getpass
from typing import Any

from fireflyspur.clients import http_client
from fireflyspur.clients import log_client
from fireflyspur.config import exceptions
from fireflyspur.config import yaml_file
from fireflyspur.console import command
from fireflyspur.records import record
from fireflyspur.records import record_publisher

_DEFAULT_LOG_URL = "http://127.0.0.1:8100"


class RecordCommand(command.Command):
    """``fireflyspur record``."""

    name = "record"
    help = "publish, validate and list records"

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's arguments to its parser."""
        actions = parser.add_subparsers(metavar="ACTION", required=True)
        validate = actions.add_parser("validate", help="check record files")
        validate.add_argument("files", nargs="+", metavar="FILE")
        validate.set_defaults(action=_validate)
        publish = actions.add_parser("publish", help="publish record files")
        publish.add_argument("files", nargs="+", metavar="FILE")
        publish.add_argument("--author", default=getpass.getuser())
        publish.set_defaults(action=_publish)
        listing = actions.add_parser("list", help="list records in force")
        listing.set_defaults(action=_list)
        for item in (publish, listing):
            item.add_argument("--log", default=_DEFAULT_LOG_URL)
        for item in (validate, publish, listing):
            item.add_argument("--json", action="store_true")

    def run(self, arguments: argparse.Namespace) -> int:
        """Run the chosen action."""
        return arguments.action(arguments)


def read_records(paths: list[str]) -> list[dict[str, Any]]:
    """Read and check the records of YAML files.

    :raises InvalidFileError: naming the file, the key and what was expected
    """
    values, errors = [], []
    for path in paths:
        for number, value in enumerate(yaml_file.load_documents(path), 1):
            lines = record.find_errors(value)
            errors += [f"{path}: document {number}: {x}" for x in lines]
            values.append(value)
    if errors:
        raise exceptions.InvalidFileError("\n".join(errors))
    return values


def _validate(arguments: argparse.Namespace) -> int:
    values = read_records(arguments.files)
    if arguments.json:
        command.print_json({"valid": len(values)})
    else:
        print(f"{len(values)} records are valid")
    return command.ExitCode.DONE


def _publish(arguments: argparse.Namespace) -> int:
    values = read_records(arguments.files)
    entries = asyncio.run(
        _with_publisher(arguments.log, _publish_all, values, arguments.author)
    )
    for entry in entries:
        kind, name = entry.key
        if arguments.json:
            command.print_json(
                {"kind": kind, "name": name, "offset": entry.offset}
            )
        else:
            print(f"{kind}/{name} in force at offset {entry.offset}")
    return command.ExitCode.DONE


def _list(arguments: argparse.Namespace) -> int:
    entries = asyncio.run(_with_publisher(arguments.log, _load_entries))
    for entry in sorted(entries, key=lambda e: e.key):
        if entry.is_deleted:
            continue
        if arguments.json:
            command.print_json({"offset": entry.offset, **entry.value})
        else:
            author = entry.value.get("author", "unknown")
            kind, name = entry.key
            print(
                f"{kind}/{name}  offset {entry.offset}  {entry.timestamp}"
                f"  {author}"
            )
    return command.ExitCode.DONE


async def _publish_all(
    publisher: record_publisher.RecordPublisher,
    values: list[dict[str, Any]],
    author: str,
) -> list[record.Entry]:
    return [await publisher.publish(value, author) for value in values]


async def _load_entries(
    publisher: record_publisher.RecordPublisher,
) -> list[record.Entry]:
    return (await publisher.load()).entries


async def _with_publisher(url: str, function: Any, *arguments: Any) -> Any:
    http = http_client.create()
    try:
        log = log_client.LogClient(http, url, "operator")
        work: Coroutine[Any, Any, Any] = function(
            record_publisher.RecordPublisher(log), *arguments
        )
        return await work
    finally:
        http.close()
