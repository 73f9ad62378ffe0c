"""Records as the catalog holds them."""

import dataclasses
import datetime
from typing import Any

import msgspec

from fireflyspur.config import json_schema
from fireflyspur.generated import records

# Records of a newer version are used as far as their known fields pass.
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
    """The version of a record that is in force.

    :param offset: offset of the record on the ``config`` stream
    :param time: time of its append, in seconds
    :param value: the record as it was decoded, with fields that this
        version of the program does not know
    :param spec: the typed content, or None when it is deleted or unknown
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

    def to_item(self) -> dict[str, Any]:
        """Return the form in which snapshots and peers carry the entry."""
        return {
            "offset": self.offset,
            "time": self.time,
            "value": self.value,
        }

    @property
    def timestamp(self) -> str:
        """Time of the append in ISO 8601."""
        moment = datetime.datetime.fromtimestamp(self.time, datetime.UTC)
        return moment.isoformat(timespec="milliseconds")


def find_envelope_errors(value: Any) -> list[str]:
    """Check all of a record but its content.

    :param value: the decoded record
    :returns: one line for each error
    """
    if not isinstance(value, dict):
        return ["(top): expected object"]
    known = {f.name for f in dataclasses.fields(records.Record)}
    envelope = {k: v for k, v in value.items() if k in known}
    return json_schema.find_errors("records", envelope)


def find_spec_errors(value: dict[str, Any]) -> list[str]:
    """Check the content of a record whose envelope passed.

    :param value: the decoded record
    :returns: one line for each error; none for an unknown kind
    """
    spec_type = SPEC_TYPES.get(value["kind"])
    if spec_type is None or value.get("deleted"):
        return []
    spec = value.get("spec", {})
    found = json_schema.find_errors("records", spec, spec_type.__name__)
    return [f"spec.{line}" for line in found]


def find_errors(value: Any) -> list[str]:
    """Check a record as far as this version of the program knows it.

    :param value: the decoded record
    :returns: one line for each error; empty when the record is usable
    """
    return find_envelope_errors(value) or find_spec_errors(value)


def parse_spec(value: dict[str, Any]) -> Spec | None:
    """Return the typed content of a record that passed :func:`find_errors`.

    :param value: the decoded record
    :returns: the content, or None for a tombstone or an unknown kind
    """
    spec_type = SPEC_TYPES.get(value["kind"])
    if spec_type is None or value.get("deleted"):
        return None
    return msgspec.convert(value.get("spec", {}), spec_type)
