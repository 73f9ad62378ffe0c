"""The command that shows the audit trail."""

import argparse
import asyncio
import dataclasses
import datetime
from typing import Any

from fireflyspur.audit import log_history
from fireflyspur.clients import admin_client
from fireflyspur.clients import http_client
from fireflyspur.clients import log_client
from fireflyspur.console import command


class AuditCommand(command.Command):
    """``fireflyspur audit``."""

    name = "audit"
    help = "show what changed, who did it, and what a node did about it"

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's arguments to its parser."""
        source = parser.add_mutually_exclusive_group()
        source.add_argument(
            "--node",
            default=command.DEFAULT_ADMIN_URL,
            help="base URL of the node's admin port",
        )
        source.add_argument(
            "--log", help="base URL of the log; reads the changes from it"
        )
        parser.add_argument(
            "--subject", default="", help="only subjects with this start"
        )
        parser.add_argument("--json", action="store_true")

    def run(self, arguments: argparse.Namespace) -> int:
        """Print the events, oldest first."""
        for event in asyncio.run(_fetch(arguments.node, arguments.log)):
            if not event["subject"].startswith(arguments.subject):
                continue
            if arguments.json:
                command.print_json(event)
            else:
                _print_event(event)
        return command.ExitCode.DONE


async def _fetch(node_url: str, log_url: str | None) -> list[dict[str, Any]]:
    http = http_client.create()
    try:
        if log_url is None:
            client = admin_client.AdminClient(http, node_url)
            return await client.audit_events()
        log = log_client.LogClient(http, log_url, "operator")
        trail = await log_history.read_trail(log)
        return [dataclasses.asdict(event) for event in trail.events]
    finally:
        http.close()


def _print_event(event: dict[str, Any]) -> None:
    moment = datetime.datetime.fromtimestamp(event["time"], datetime.UTC)
    offset = "-" if event["offset"] is None else event["offset"]
    print(
        f"{moment.isoformat(timespec='milliseconds')}  offset {offset}"
        f"  {event['author'] or '-'}  {event['subject']}"
        f"  {event['part']} {event['action']}: {event['reason']}"
    )
    for change in event.get("changes", ()):
        print(f"    {change}")
