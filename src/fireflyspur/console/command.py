"""Base of the commands."""

import abc
import argparse
import enum
import json
from typing import Any

DEFAULT_ADMIN_URL = "http://127.0.0.1:8001"
DEFAULT_LOG_URL = "http://127.0.0.1:8100"


class ExitCode(enum.IntEnum):
    """Exit codes of the program."""

    DONE = 0
    FAILED = 1
    USAGE = 2
    INVALID_INPUT = 3
    BEATEN = 4
    UNREACHABLE = 5


class Command(abc.ABC):
    """One subcommand of the program."""

    name: str
    help: str

    @abc.abstractmethod
    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's arguments to its parser."""

    @abc.abstractmethod
    def run(self, arguments: argparse.Namespace) -> int:
        """Run the command.

        :returns: the exit code
        :raises FireflyspurError: for the application to report
        """


def print_json(value: Any) -> None:
    """Print a value for scripts."""
    print(json.dumps(value, default=str))
