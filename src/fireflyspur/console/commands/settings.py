"""The command that checks settings files."""

import argparse

from fireflyspur.config import settings_loader
from fireflyspur.console import command


class SettingsCommand(command.Command):
    """``fireflyspur settings``."""

    name = "settings"
    help = "validate settings files"

    def configure(self, parser: argparse.ArgumentParser) -> None:
        """Add the command's arguments to its parser."""
        actions = parser.add_subparsers(metavar="ACTION", required=True)
        validate = actions.add_parser("validate", help="check settings files")
        validate.add_argument("files", nargs="+", metavar="FILE")
        validate.add_argument("--json", action="store_true")

    def run(self, arguments: argparse.Namespace) -> int:
        """Check the files."""
        for path in arguments.files:
            settings_loader.SettingsLoader().load(path)
        if arguments.json:
            command.print_json({"valid": len(arguments.files)})
        else:
            print(f"{len(arguments.files)} files are valid")
        return command.ExitCode.DONE
