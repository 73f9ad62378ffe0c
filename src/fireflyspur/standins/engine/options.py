"""Command-line options of the engine stand-in."""

import argparse
import dataclasses
from typing import Any

from fireflyspur.standins.engine import settings as engine_settings

_SPECIAL = ("models", "adapters", "checks_fencing", "frees_expired")


def add_options(parser: argparse.ArgumentParser) -> None:
    """Add an option for each of the engine's settings."""
    for field in _plain_fields():
        parser.add_argument(
            "--" + field.name.replace("_", "-"),
            type=type(field.default),
            default=field.default,
        )
    parser.add_argument(
        "--model",
        action="append",
        metavar="NAME=VERSION",
        help="resident model; without any, the engine serves every model",
    )
    parser.add_argument(
        "--adapter", action="append", metavar="NAME=VERSION", default=[]
    )
    parser.add_argument("--checks-fencing", action="store_true")
    parser.add_argument(
        "--keep-expired",
        action="store_true",
        help="do not free what is past its deadline",
    )


def settings_from(
    arguments: argparse.Namespace,
) -> engine_settings.EngineSettings:
    """Return the settings that the options name."""
    return engine_settings.EngineSettings(
        **{f.name: getattr(arguments, f.name) for f in _plain_fields()},
        models=None if arguments.model is None else _pairs(arguments.model),
        adapters=_pairs(arguments.adapter),
        checks_fencing=arguments.checks_fencing,
        frees_expired=not arguments.keep_expired,
    )


def _plain_fields() -> list["dataclasses.Field[Any]"]:
    fields = dataclasses.fields(engine_settings.EngineSettings)
    return [field for field in fields if field.name not in _SPECIAL]


def _pairs(values: list[str]) -> dict[str, str]:
    names = (value.partition("=") for value in values)
    return {name: version or "1" for name, _, version in names}
