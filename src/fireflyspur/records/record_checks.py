"""Validation of records before they are published.

It is stricter than the validation on a node: a key that is unknown to this
program is most likely a typo.
"""

import dataclasses
import math
from typing import Any

from fireflyspur.config import json_schema
from fireflyspur.records import record

_PUBLISHER_KEYS = ("uid", "author")


@dataclasses.dataclass(frozen=True)
class SourceRecord:
    """A record with the location from which it was read.

    :param location: file and number of the YAML document
    :param value: the decoded record
    """

    location: str
    value: Any


def find_publication_errors(
    sources: list[SourceRecord], allow_newer: bool = False
) -> list[str]:
    """Check the records to be published together.

    :param sources: the records
    :param allow_newer: accept records of a newer schema version, of which
        only the envelope can be checked
    :returns: one line for each error, with location, key and expected value
    """
    errors, valid = [], []
    for source in sources:
        source_errors = _find_errors(source.value, allow_newer)
        errors += [f"{source.location}: {line}" for line in source_errors]
        if not source_errors:
            valid.append(source)
    return errors + _find_duplicates(valid)


def _find_errors(value: Any, allow_newer: bool) -> list[str]:
    errors = record.find_envelope_errors(value)
    if errors:
        return errors
    errors = _find_infinite_numbers("", value)
    if value["schema_version"] > record.SCHEMA_VERSION:
        if not allow_newer:
            errors.append(
                f"schema_version: expected at most {record.SCHEMA_VERSION},"
                f" found {value['schema_version']} (--allow-newer publishes"
                " a newer record with its content unchecked)"
            )
        return errors
    envelope = {k: v for k, v in value.items() if k not in _PUBLISHER_KEYS}
    errors += json_schema.find_errors("records", envelope)
    spec_type = record.SPEC_TYPES.get(value["kind"])
    if spec_type is None:
        kinds = ", ".join(record.SPEC_TYPES)
        errors.append(
            f"kind: expected one of {kinds}, found {value['kind']!r:.80}"
        )
    elif not value.get("deleted"):
        spec = value.get("spec", {})
        spec_errors = json_schema.find_errors(
            "records", spec, spec_type.__name__, strict=True
        )
        errors += [f"spec.{line}" for line in spec_errors]
        if not spec_errors and value["kind"] == "service":
            errors += _find_duplicate_endpoints(spec)
    return errors


def _find_duplicate_endpoints(spec: dict[str, Any]) -> list[str]:
    errors, first_indexes = [], {}
    for index, endpoint in enumerate(spec["endpoints"]):
        address = endpoint["address"], endpoint["port"]
        if address in first_indexes:
            errors.append(
                f"spec.endpoints.{index}: expected an address and port that"
                f" no other endpoint has, found {address[0]}:{address[1]},"
                f" which endpoints.{first_indexes[address]} also has"
            )
        first_indexes.setdefault(address, index)
    return errors


def _find_duplicates(sources: list[SourceRecord]) -> list[str]:
    """Find records with the same name and engines with the same address."""
    errors: list[str] = []
    names: dict[Any, str] = {}
    addresses: dict[Any, str] = {}
    for location, value in ((s.location, s.value) for s in sources):
        key = value["kind"], value["name"]
        if key in names:
            errors.append(
                f"{location}: name: expected each record once, found"
                f" {key[0]}/{key[1]}, which is also in {names[key]}"
            )
        names.setdefault(key, location)
        if value["kind"] != "engine" or value.get("deleted"):
            continue
        spec = value.get("spec", {})
        address = spec.get("address"), spec.get("port")
        if address in addresses:
            errors.append(
                f"{location}: spec.port: expected an address and port that no"
                f" other engine has, found {address[0]}:{address[1]}, which"
                f" {addresses[address]} also has"
            )
        addresses.setdefault(address, location)
    return errors


def _find_infinite_numbers(key: str, value: Any) -> list[str]:
    match value:
        case float() if not math.isfinite(value):
            return [f"{key}: expected a finite number, found {value}"]
        case dict():
            children = list(value.items())
        case list():
            children = list(enumerate(value))
        case _:
            return []
    prefix = f"{key}." if key else ""
    return [
        line
        for name, child in children
        for line in _find_infinite_numbers(f"{prefix}{name}", child)
    ]
