"""The command that runs a node on the users' platform."""

import argparse
import asyncio
import pathlib

from fireflyspur.console import command
from fireflyspur.gateway import gateway
from fireflyspur.gateway import settings as gateway_settings
from fireflyspur.observability import logs
from fireflyspur.platform import header_codec
from fireflyspur.platform import order_client
from fireflyspur.platform import settings_file
from fireflyspur.platform import store_client
from fireflyspur.platform import store_registry


class PlatformCommand(command.Command):
    """``fireflyspur platform``."""

    name = "platform"
    help = "run a node on the users' platform"

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's arguments to its parser."""
        parser.add_argument(
            "--check", action="store_true", help="check the settings and end"
        )

    def run(self, arguments: argparse.Namespace) -> int:
        """Run the node until it is told to stop."""
        path = settings_file.path()
        settings = settings_file.load(path)
        if arguments.check:
            print("The settings are valid.")
            return command.ExitCode.DONE
        logs.configure_stdout("INFO", settings.node_name)
        asyncio.run(_serve(settings, path))
        return command.ExitCode.DONE


async def _serve(
    settings: gateway_settings.GatewaySettings, path: pathlib.Path
) -> None:
    store = store_client.StoreClient(settings.store)
    node = gateway.Gateway(
        settings,
        store_registry.StoreRegistry(store),
        header_codec.HeaderCodec(),
        order_client.OrderClient(),
        lambda: settings_file.load(path),
    )
    await node.run()
