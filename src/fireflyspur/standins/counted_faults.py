"""Faults that a stand-in produces a given number of times."""

import dataclasses
from typing import Any
from typing import TypeVar

_FaultsT = TypeVar("_FaultsT")


def take(faults: _FaultsT, name: str) -> tuple[_FaultsT, bool]:
    """Use up one of the faults that are counted.

    :param faults: a data class with the count as a field
    :param name: name of the field
    :returns: the faults that are left, and whether there was one to use
    """
    values: Any = faults
    count = getattr(values, name)
    if not count:
        return faults, False
    return dataclasses.replace(values, **{name: count - 1}), True
