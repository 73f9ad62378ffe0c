"""Differences between two versions of a record."""

import dataclasses
from typing import Any

# Set on publication, not by the operator.
_IGNORED_KEYS = frozenset({"uid", "author", "based_on"})
_MAX_VALUE_CHARACTERS = 100


@dataclasses.dataclass(frozen=True)
class FieldChange:
    """A field that differs between two versions.

    :param key: path of the field, such as ``spec.version``
    :param old: old value, or None if the field was absent
    :param new: new value, or None if the field is absent
    """

    key: str
    old: Any
    new: Any

    def __str__(self) -> str:
        return f"{self.key}: {_format(self.old)} -> {_format(self.new)}"


def diff(
    old: dict[str, Any] | None, new: dict[str, Any] | None
) -> list[FieldChange]:
    """Compare two versions of a record field by field.

    :param old: old record, or None
    :param new: new record, or None
    :returns: the fields that differ, sorted by path; a list counts as one
        field
    """
    before, after = _flatten("", old or {}), _flatten("", new or {})
    return [
        FieldChange(key, before.get(key), after.get(key))
        for key in sorted(before.keys() | after.keys())
        if before.get(key) != after.get(key)
    ]


def _flatten(prefix: str, value: dict[str, Any]) -> dict[str, Any]:
    fields: dict[str, Any] = {}
    for name, child in value.items():
        if not prefix and name in _IGNORED_KEYS:
            continue
        key = f"{prefix}{name}"
        if isinstance(child, dict):
            fields.update(_flatten(f"{key}.", child))
        else:
            fields[key] = child
    # ``deleted: false`` is the default, so it equals an absent field.
    if not prefix and not fields.get("deleted", True):
        del fields["deleted"]
    return fields


def _format(value: Any) -> str:
    if value is None:
        return "(absent)"
    text = repr(value)
    if len(text) > _MAX_VALUE_CHARACTERS:
        return text[:_MAX_VALUE_CHARACTERS] + "..."
    return text
