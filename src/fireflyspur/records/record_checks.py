"""Checks of records before their publication.

They are stricter than what a node accepts: a key that this program does not
know is most likely a typing error.
"""

import dataclasses
import math
from typing import Any

from fireflyspur.config import json_schema
from fireflyspur.records import record

_WRITER_KEYS = ("uid", "author")


@dataclasses.dataclass(frozen=True)
class SourceRecord:
    """A record with the place that it was read from.

    :param place: file and number of the document
    :param value: the decoded record
    """

    place: str
    value: Any


def find_publication_errors(
    sources: list[SourceRecord], allow_newer: bool = False
) -> list[str]:
    """Check the records of one publication.

    :param sources: the records
    :param allow_newer: take records of a newer schema version, of which
        only the envelope can be checked
    :returns: one line for each error, with place, key and expected value
    """
    errors, usable = [], []
    for source in sources:
        found = _find_errors(source.value, allow_newer)
        errors += [f"{source.place}: {line}" for line in found]
        if not found:
            usable.append(source)
    return errors + _find_repetitions(usable)


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
    envelope = {k: v for k, v in value.items() if k not in _WRITER_KEYS}
    errors += json_schema.find_errors("records", envelope)
    spec_type = record.SPEC_TYPES.get(value["kind"])
    if spec_type is None:
        kinds = ", ".join(record.SPEC_TYPES)
        errors.append(
            f"kind: expected one of {kinds}, found {value['kind']!r:.80}"
        )
    elif not value.get("deleted"):
        spec = value.get("spec", {})
        found = json_schema.find_errors(
            "records", spec, spec_type.__name__, strict=True
        )
        errors += [f"spec.{line}" for line in found]
        if not found and value["kind"] == "service":
            errors += _find_repeated_endpoints(spec)
    return errors


def _find_repeated_endpoints(spec: dict[str, Any]) -> list[str]:
    errors, seen = [], {}
    for index, endpoint in enumerate(spec["endpoints"]):
        address = endpoint["address"], endpoint["port"]
        if address in seen:
            errors.append(
                f"spec.endpoints.{index}: expected an address and port that"
                f" no other endpoint has, found {address[0]}:{address[1]} of"
                f" endpoints.{seen[address]} again"
            )
        seen.setdefault(address, index)
    return errors


def _find_repetitions(sources: list[SourceRecord]) -> list[str]:
    """Find two records of one name, or two engines with one address."""
    errors: list[str] = []
    names: dict[Any, str] = {}
    addresses: dict[Any, str] = {}
    for place, value in ((s.place, s.value) for s in sources):
        key = value["kind"], value["name"]
        if key in names:
            errors.append(
                f"{place}: name: expected each record once, found"
                f" {key[0]}/{key[1]} of {names[key]} again"
            )
        names.setdefault(key, place)
        if value["kind"] != "engine" or value.get("deleted"):
            continue
        spec = value.get("spec", {})
        address = spec.get("address"), spec.get("port")
        if address in addresses:
            errors.append(
                f"{place}: spec.port: expected an address and port that no"
                f" other engine has, found {address[0]}:{address[1]} of"
                f" {addresses[address]} again"
            )
        addresses.setdefault(address, place)
    return errors


def _find_infinite_numbers(key: str, value: Any) -> list[str]:
    match value:
        case float() if not math.isfinite(value):
            return [f"{key}: expected a finite number, found {value}"]
        case dict():
            items = list(value.items())
        case list():
            items = list(enumerate(value))
        case _:
            return []
    prefix = f"{key}." if key else ""
    return [
        line
        for name, item in items
        for line in _find_infinite_numbers(f"{prefix}{name}", item)
    ]
