"""The commands for operators' records."""

import argparse
import asyncio
from collections.abc import AsyncIterator
import contextlib
import dataclasses
import getpass
from typing import Any

from fireflyspur.clients import http_client
from fireflyspur.clients import log_client
from fireflyspur.config import exceptions
from fireflyspur.config import yaml_file
from fireflyspur.console import command
from fireflyspur.records import catalog as catalogs
from fireflyspur.records import record
from fireflyspur.records import record_checks
from fireflyspur.records import record_diff
from fireflyspur.records import record_publisher


class RecordCommand(command.Command):
    """``fireflyspur record``."""

    name = "record"
    help = "publish, validate, list and compare records"

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's arguments to its parser."""
        actions = parser.add_subparsers(metavar="ACTION", required=True)
        validate = actions.add_parser("validate", help="check record files")
        validate.set_defaults(action=_validate)
        publish = actions.add_parser("publish", help="publish record files")
        publish.add_argument("--author", default=getpass.getuser())
        publish.add_argument(
            "--based-on-current",
            action="store_true",
            help="refuse a record when another one is published meanwhile",
        )
        publish.set_defaults(action=_publish)
        listing = actions.add_parser("list", help="list records in force")
        listing.set_defaults(action=_list)
        diff = actions.add_parser(
            "diff", help="compare record files with the records in force"
        )
        diff.set_defaults(action=_diff)
        for item in (validate, publish, diff):
            item.add_argument("files", nargs="+", metavar="FILE")
            item.add_argument(
                "--allow-newer",
                action="store_true",
                help="take records of a newer schema version",
            )
        for item in (publish, listing, diff):
            item.add_argument(
                "--log",
                default=command.DEFAULT_LOG_URL,
                help="base URL of the log",
            )
        for item in (validate, publish, listing, diff):
            item.add_argument("--json", action="store_true")

    def run(self, arguments: argparse.Namespace) -> int:
        """Run the chosen action."""
        return arguments.action(arguments)


def read_records(
    paths: list[str], allow_newer: bool = False
) -> list[dict[str, Any]]:
    """Read and check the records of YAML files.

    :param paths: the files
    :param allow_newer: take records of a newer schema version
    :raises InvalidFileError: naming the file, the key and what was expected
    """
    sources = [
        record_checks.SourceRecord(f"{path}: document {number}", value)
        for path in paths
        for number, value in enumerate(yaml_file.load_documents(path), 1)
    ]
    errors = record_checks.find_publication_errors(sources, allow_newer)
    if errors:
        raise exceptions.InvalidFileError("\n".join(errors))
    return [source.value for source in sources]


def _validate(arguments: argparse.Namespace) -> int:
    values = read_records(arguments.files, arguments.allow_newer)
    if arguments.json:
        command.print_json({"valid": len(values)})
    else:
        print(f"{len(values)} records are valid")
    return command.ExitCode.DONE


def _publish(arguments: argparse.Namespace) -> int:
    values = read_records(arguments.files, arguments.allow_newer)
    asyncio.run(_publish_all(arguments, values))
    return command.ExitCode.DONE


async def _publish_all(
    arguments: argparse.Namespace, values: list[dict[str, Any]]
) -> None:
    async with _publisher(arguments.log) as publisher:
        if arguments.based_on_current:
            catalog = await publisher.load()
            values = [_base_on_current(catalog, value) for value in values]
        for value in values:
            entry = await publisher.publish(value, arguments.author)
            kind, name = entry.key
            if arguments.json:
                command.print_json(
                    {"kind": kind, "name": name, "offset": entry.offset}
                )
            else:
                print(f"{kind}/{name} in force at offset {entry.offset}")


def _base_on_current(
    catalog: catalogs.Catalog, value: dict[str, Any]
) -> dict[str, Any]:
    entry = catalog.get(value["kind"], value["name"])
    return {"based_on": entry.offset if entry else 0, **value}


def _list(arguments: argparse.Namespace) -> int:
    catalog = asyncio.run(_load(arguments.log))
    for entry in sorted(catalog.entries, key=lambda e: e.key):
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


def _diff(arguments: argparse.Namespace) -> int:
    values = read_records(arguments.files, arguments.allow_newer)
    catalog = asyncio.run(_load(arguments.log))
    for value in values:
        entry = catalog.get(value["kind"], value["name"])
        changes = record_diff.diff(entry.value if entry else None, value)
        if arguments.json:
            _print_diff_json(value, entry, changes)
        else:
            _print_diff(value, entry, changes)
    return command.ExitCode.DONE


def _print_diff(
    value: dict[str, Any],
    entry: record.Entry | None,
    changes: list[record_diff.FieldChange],
) -> None:
    name = f"{value['kind']}/{value['name']}"
    if entry is None:
        print(f"{name}: not in force")
    else:
        author = entry.value.get("author", "unknown")
        state = f"{len(changes)} fields differ from" if changes else "equals"
        print(f"{name}: {state} offset {entry.offset} by {author}")
    for change in changes:
        print(f"    {change}")


def _print_diff_json(
    value: dict[str, Any],
    entry: record.Entry | None,
    changes: list[record_diff.FieldChange],
) -> None:
    command.print_json(
        {
            "kind": value["kind"],
            "name": value["name"],
            "offset": entry.offset if entry else None,
            "changes": [dataclasses.asdict(change) for change in changes],
        }
    )


async def _load(url: str) -> catalogs.Catalog:
    async with _publisher(url) as publisher:
        return await publisher.load()


@contextlib.asynccontextmanager
async def _publisher(
    url: str,
) -> AsyncIterator[record_publisher.RecordPublisher]:
    http = http_client.create()
    try:
        log = log_client.LogClient(http, url, "operator")
        yield record_publisher.RecordPublisher(log)
    finally:
        http.close()
