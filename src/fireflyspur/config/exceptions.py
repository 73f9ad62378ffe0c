"""Errors of settings and other YAML files."""

from fireflyspur.errors import exceptions


class InvalidFileError(exceptions.InvalidInputError):
    """A YAML file cannot be read or does not pass its schema."""

    code = "invalid_file"
