"""The command that shows what a node knows."""

import argparse
import asyncio
from typing import Any

from fireflyspur.clients import admin_client
from fireflyspur.clients import http_client
from fireflyspur.console import command
from fireflyspur.console import tables


class ViewCommand(command.Command):
    """``fireflyspur view``."""

    name = "view"
    help = "show what a node knows"

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's arguments to its parser."""
        parser.add_argument(
            "--node",
            default=command.DEFAULT_ADMIN_URL,
            help="base URL of the node's admin port",
        )
        parser.add_argument("--json", action="store_true")

    def run(self, arguments: argparse.Namespace) -> int:
        """Print the node's view."""
        view = asyncio.run(_fetch(arguments.node))
        if arguments.json:
            command.print_json(view)
        else:
            for line in tables.format_view(view):
                print(line)
        return command.ExitCode.DONE


async def _fetch(url: str) -> dict[str, Any]:
    http = http_client.create()
    try:
        return await admin_client.AdminClient(http, url).view()
    finally:
        http.close()
