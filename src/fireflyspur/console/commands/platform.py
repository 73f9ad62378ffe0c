"""The command that runs a node on the users' platform."""

import argparse
import asyncio
from collections.abc import Callable

from fireflyspur.console import command
from fireflyspur.gateway.node import gateway
from fireflyspur.gateway.node import settings as gateway_settings
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
        parser.add_argument(
            "--metrics-port",
            type=int,
            help="port on which metrics are served, by default none",
        )

    def run(self, arguments: argparse.Namespace) -> int:
        """Run the node until it is told to stop."""
        path = settings_file.path()

        def load() -> gateway_settings.GatewaySettings:
            return settings_file.load(path, arguments.metrics_port)

        settings = load()
        if arguments.check:
            print("The settings are valid.")
            return command.ExitCode.DONE
        logs.configure_stdout("INFO", settings.node_name)
        asyncio.run(_serve(settings, load))
        return command.ExitCode.DONE


async def _serve(
    settings: gateway_settings.GatewaySettings,
    load: Callable[[], gateway_settings.GatewaySettings],
) -> None:
    store = store_client.StoreClient(settings.store)
    node = gateway.Gateway(
        settings,
        store_registry.StoreRegistry(store),
        header_codec.HeaderCodec(),
        order_client.OrderClient(),
        load,
    )
    await node.run()
