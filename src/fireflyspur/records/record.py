"""Entries of the catalog, and validation of records."""

import dataclasses
import datetime
from typing import Any

import msgspec

from fireflyspur.config import json_schema
from fireflyspur.generated import records

# A record of a newer version is accepted if its known fields are valid.
SCHEMA_VERSION = 1

Spec = (
    records.ModelSpec
    | records.AdapterSpec
    | records.AccountSpec
    | records.EngineSpec
    | records.ServiceSpec
    | records.PolicySpec
    | records.FleetSpec
)

SPEC_TYPES: dict[str, type] = {
    "model": records.ModelSpec,
    "adapter": records.AdapterSpec,
    "account": records.AccountSpec,
    "engine": records.EngineSpec,
    "service": records.ServiceSpec,
    "policy": records.PolicySpec,
    "fleet": records.FleetSpec,
}


@dataclasses.dataclass(frozen=True)
class Entry:
    """A version of a record, decoded and typed.

    :param offset: offset of the record on the ``config`` stream
    :param time: append time, in seconds
    :param value: the decoded record, including fields that are unknown to
        this version of the program
    :param spec: the typed content, or None for a tombstone or an unknown
        kind
    """

    offset: int
    time: float
    value: dict[str, Any]
    spec: Spec | None

    @property
    def key(self) -> tuple[str, str]:
        """Kind and name."""
        return self.value["kind"], self.value["name"]

    @property
    def is_deleted(self) -> bool:
        """Whether the record is a tombstone."""
        return bool(self.value.get("deleted", False))

    def to_dict(self) -> dict[str, Any]:
        """Return the entry as snapshots and peer messages contain it."""
        return {
            "offset": self.offset,
            "time": self.time,
            "value": self.value,
        }

    @property
    def timestamp(self) -> str:
        """Append time in ISO 8601."""
        appended_at = datetime.datetime.fromtimestamp(self.time, datetime.UTC)
        return appended_at.isoformat(timespec="milliseconds")


def find_envelope_errors(value: Any) -> list[str]:
    """Check all fields of a record except its spec.

    :param value: the decoded record
    :returns: one line for each error
    """
    if not isinstance(value, dict):
        return ["(top): expected object"]
    known_keys = {f.name for f in dataclasses.fields(records.Record)}
    envelope = {k: v for k, v in value.items() if k in known_keys}
    return json_schema.find_errors("records", envelope)


def find_spec_errors(value: dict[str, Any]) -> list[str]:
    """Check the spec of a record whose envelope is valid.

    :param value: the decoded record
    :returns: one line for each error; none for an unknown kind
    """
    spec_type = SPEC_TYPES.get(value["kind"])
    if spec_type is None or value.get("deleted"):
        return []
    spec = value.get("spec", {})
    errors = json_schema.find_errors("records", spec, spec_type.__name__)
    return [f"spec.{line}" for line in errors]


def find_errors(value: Any) -> list[str]:
    """Check a record against the schema of this version of the program.

    :param value: the decoded record
    :returns: one line for each error; empty if the record is valid
    """
    return find_envelope_errors(value) or find_spec_errors(value)


def parse_spec(value: dict[str, Any]) -> Spec | None:
    """Return the typed spec of a record that passed :func:`find_errors`.

    :param value: the decoded record
    :returns: the spec, or None for a tombstone or an unknown kind
    """
    spec_type = SPEC_TYPES.get(value["kind"])
    if spec_type is None or value.get("deleted"):
        return None
    return msgspec.convert(value.get("spec", {}), spec_type)
