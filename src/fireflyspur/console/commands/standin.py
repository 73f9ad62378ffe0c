"""The commands that run the stand-ins of the platform and endpoints."""

import argparse
import asyncio
import dataclasses

from tornado import web

from fireflyspur.console import command
from fireflyspur.observability import logs
from fireflyspur.standins import balancer
from fireflyspur.standins import log
from fireflyspur.standins import server
from fireflyspur.standins import service
from fireflyspur.standins import vm_list
from fireflyspur.standins import weight_store
from fireflyspur.standins.engine import http_api as engine_api  # noqa: H306
from fireflyspur.standins.engine import options as engine_options


class StandinCommand(command.Command):
    """``fireflyspur standin``."""

    name = "standin"
    help = "run a stand-in of the platform or of an endpoint"

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's arguments to its parser."""
        kinds = parser.add_subparsers(metavar="KIND", required=True)
        self._add_log(kinds.add_parser("log", help="append-only log"))
        self._add_vm_list(kinds.add_parser("vm-list", help="list of VMs"))
        self._add_engine(kinds.add_parser("engine", help="model engine"))
        self._add_service(kinds.add_parser("service", help="plain service"))
        self._add_weight_store(
            kinds.add_parser("weight-store", help="rate-limited weight store")
        )
        self._add_balancer(kinds.add_parser("balancer", help="load balancer"))
        for parser in kinds.choices.values():
            parser.add_argument("--address", default="127.0.0.1")
            parser.add_argument("--port", type=int, default=0)
            if parser.get_default("serve") is None:
                parser.set_defaults(serve=_serve)

    def run(self, arguments: argparse.Namespace) -> int:
        """Run the stand-in until it is told to stop."""
        logs.configure("WARNING")
        asyncio.run(arguments.serve(arguments))
        return command.ExitCode.DONE

    def _add_log(self, parser: argparse.ArgumentParser) -> None:
        parser.add_argument("--retention-s", type=float, default=86400.0)
        parser.add_argument("--max-appends-per-s", type=float, default=300.0)
        parser.set_defaults(build=_build_log)

    def _add_vm_list(self, parser: argparse.ArgumentParser) -> None:
        parser.add_argument("--lag-s", type=float, default=2.0)
        parser.set_defaults(build=_build_vm_list)

    def _add_engine(self, parser: argparse.ArgumentParser) -> None:
        engine_options.add_options(parser)
        parser.set_defaults(build=_build_engine)

    def _add_service(self, parser: argparse.ArgumentParser) -> None:
        parser.add_argument("--fencing", action="store_true")
        parser.add_argument("--replays-results", action="store_true")
        parser.set_defaults(build=_build_service)

    def _add_weight_store(self, parser: argparse.ArgumentParser) -> None:
        for field in dataclasses.fields(weight_store.StoreSettings):
            option = "--" + field.name.replace("_", "-")
            default = field.default
            parser.add_argument(option, type=type(default), default=default)
        parser.set_defaults(build=_build_weight_store)

    def _add_balancer(self, parser: argparse.ArgumentParser) -> None:
        parser.add_argument(
            "--backend",
            action="append",
            required=True,
            metavar="ADDRESS:PORT",
        )
        parser.add_argument("--check-period-s", type=float, default=1.0)
        parser.add_argument("--check-timeout-s", type=float, default=1.0)
        parser.add_argument("--lag-s", type=float, default=3.0)
        parser.set_defaults(serve=_serve_balancer)


def _build_weight_store(arguments: argparse.Namespace) -> web.Application:
    names = [f.name for f in dataclasses.fields(weight_store.StoreSettings)]
    return weight_store.application(
        weight_store.StoreSettings(**{n: getattr(arguments, n) for n in names})
    )


async def _serve_balancer(arguments: argparse.Namespace) -> None:
    settings = balancer.BalancerSettings(
        tuple(arguments.backend),
        arguments.check_period_s,
        arguments.check_timeout_s,
        arguments.lag_s,
    )
    await balancer.serve(settings, arguments.address, arguments.port)


def _build_log(arguments: argparse.Namespace) -> web.Application:
    return log.application(arguments.retention_s, arguments.max_appends_per_s)


def _build_vm_list(arguments: argparse.Namespace) -> web.Application:
    return vm_list.application(arguments.lag_s)


def _build_engine(arguments: argparse.Namespace) -> web.Application:
    return engine_api.application(engine_options.settings_from(arguments))


def _build_service(arguments: argparse.Namespace) -> web.Application:
    return service.application(arguments.fencing, arguments.replays_results)


async def _serve(arguments: argparse.Namespace) -> None:
    application = arguments.build(arguments)
    await server.serve(application, arguments.address, arguments.port)
