"""Errors of the load tool."""

from fireflyspur.errors import exceptions


class LoadExtraMissingError(exceptions.FireflyspurError):
    """A library of the optional extra ``load`` is not installed."""

    code = "load_extra_missing"
