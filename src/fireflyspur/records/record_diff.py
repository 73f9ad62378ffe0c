"""Differences between two versions of a record."""

import dataclasses
from typing import Any

# Written by the publisher, not by the operator.
_IGNORED_KEYS = frozenset({"uid", "author", "based_on"})
_SHOWN_CHARACTERS = 100


@dataclasses.dataclass(frozen=True)
class FieldChange:
    """One field that differs.

    :param key: path of the field, such as ``spec.version``
    :param old: former value, or None when the field was absent
    :param new: new value, or None when the field is absent
    """

    key: str
    old: Any
    new: Any

    def __str__(self) -> str:
        return f"{self.key}: {_show(self.old)} -> {_show(self.new)}"


def diff(
    old: dict[str, Any] | None, new: dict[str, Any] | None
) -> list[FieldChange]:
    """Compare two versions of a record field by field.

    :param old: former record, or None
    :param new: new record, or None
    :returns: the fields that differ, in order of their path; lists count
        as one field
    """
    before, after = _flatten("", old or {}), _flatten("", new or {})
    return [
        FieldChange(key, before.get(key), after.get(key))
        for key in sorted(before.keys() | after.keys())
        if before.get(key) != after.get(key)
    ]


def _flatten(prefix: str, value: dict[str, Any]) -> dict[str, Any]:
    fields: dict[str, Any] = {}
    for name, item in value.items():
        if not prefix and name in _IGNORED_KEYS:
            continue
        key = f"{prefix}{name}"
        if isinstance(item, dict):
            fields.update(_flatten(f"{key}.", item))
        else:
            fields[key] = item
    # Absent and false mean the same.
    if not prefix and not fields.get("deleted", True):
        del fields["deleted"]
    return fields


def _show(value: Any) -> str:
    if value is None:
        return "(absent)"
    text = repr(value)
    if len(text) > _SHOWN_CHARACTERS:
        return text[:_SHOWN_CHARACTERS] + "..."
    return text
