"""Loader for the settings of a node."""

import msgspec

from fireflyspur.config import exceptions
from fireflyspur.config import json_schema
from fireflyspur.config import yaml_file
from fireflyspur.generated import settings


class SettingsLoader:
    """Reads the settings of a node and validates them."""

    def load(self, path: str) -> settings.NodeSettings:
        """Read a settings file.

        :param path: path of the YAML file
        :returns: the settings, with defaults filled in
        :raises InvalidFileError: if the file cannot be read or is invalid; the
            message names the file, each invalid key and the expected value
        """
        documents = yaml_file.load_documents(path)
        if len(documents) != 1:
            raise exceptions.InvalidFileError(
                f"{path}: expected one document, found {len(documents)}"
            )
        errors = json_schema.find_errors("settings", documents[0])
        if errors:
            raise exceptions.InvalidFileError(
                "\n".join(f"{path}: {line}" for line in errors)
            )
        return msgspec.convert(documents[0], settings.NodeSettings)
