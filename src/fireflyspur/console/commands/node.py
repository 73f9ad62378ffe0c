"""The command that runs an entry node."""

import argparse
import asyncio
import dataclasses
import json

from fireflyspur.config import settings_loader
from fireflyspur.console import command
from fireflyspur.generated import settings
from fireflyspur.node import node
from fireflyspur.observability import logs


class NodeCommand(command.Command):
    """``fireflyspur node``."""

    name = "node"
    help = "run an entry node"

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's arguments to its parser."""
        parser.add_argument(
            "--settings", required=True, help="YAML file with the settings"
        )

    def run(self, arguments: argparse.Namespace) -> int:
        """Run the node until it is told to stop."""
        config = settings_loader.SettingsLoader().load(arguments.settings)
        logs.configure(
            config.logging.level, config.logging.format, config.node.name
        )
        asyncio.run(_serve(config))
        return command.ExitCode.DONE


async def _serve(config: settings.NodeSettings) -> None:
    server = node.Node(config)
    ports = await server.start()
    print(json.dumps(dataclasses.asdict(ports)), flush=True)
    await server.run_until_stopped()
