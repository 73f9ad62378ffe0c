"""Libraries of the optional extra ``load``, imported on first use."""

import importlib
from typing import Any

from fireflyspur.load import exceptions


def load(name: str) -> Any:
    """Import a library of the extra.

    :param name: full name of the module
    :raises LoadExtraMissingError: naming the extra to install
    """
    try:
        return importlib.import_module(name)
    except ImportError as error:
        raise exceptions.LoadExtraMissingError(
            f"{name} is missing; install fireflyspur[load]"
        ) from error
