"""The configuration as a pure function of the ``config`` stream's prefix."""

import dataclasses
from typing import Any
from typing import TypeVar

from fireflyspur.generated import records
from fireflyspur.records import claim_layout
from fireflyspur.records import record

SNAPSHOT_KIND = "snapshot"

_SpecT = TypeVar("_SpecT")


@dataclasses.dataclass(frozen=True)
class Accepted:
    """The record is in force from its offset on."""

    entry: record.Entry


@dataclasses.dataclass(frozen=True)
class Superseded:
    """The record lost against one that was already in force.

    :param by: the entry in force, or None when the record claimed to be
        based on a version that does not exist
    """

    by: record.Entry | None


@dataclasses.dataclass(frozen=True)
class Rejected:
    """The record does not pass the schema.

    :param errors: one line for each error
    """

    errors: list[str]


@dataclasses.dataclass(frozen=True)
class Restored:
    """A snapshot was merged.

    :param entries: entries that were not known before
    """

    entries: list[record.Entry]


ApplyResult = Accepted | Superseded | Rejected | Restored


class Catalog:
    """Records in force, decided by offset alone.

    Every node that has applied the same prefix holds the same catalog, so
    operators' races are decided alike everywhere.
    """

    def __init__(self) -> None:
        self._entries: dict[tuple[str, str], record.Entry] = {}
        self._offset = 0

    @property
    def offset(self) -> int:
        """Offset of the last record that was applied."""
        return self._offset

    @property
    def entries(self) -> list[record.Entry]:
        """All entries, tombstones included."""
        return list(self._entries.values())

    def get(self, kind: str, name: str) -> record.Entry | None:
        """Return the entry in force, or None."""
        entry = self._entries.get((kind, name))
        return None if entry is None or entry.is_deleted else entry

    def specs(self, spec_type: type[_SpecT]) -> dict[str, _SpecT]:
        """Return the typed content of all records of one kind by name.

        :param spec_type: type of the content, such as ``EngineSpec``
        """
        return {
            key[1]: entry.spec
            for key, entry in self._entries.items()
            if isinstance(entry.spec, spec_type)
        }

    def policy(self) -> records.PolicySpec:
        """Return the policy named ``default``, or the built-in one."""
        entry = self.get("policy", "default")
        spec = entry.spec if entry else None
        if isinstance(spec, records.PolicySpec):
            return spec
        return records.PolicySpec()

    def fleet(self) -> records.FleetSpec:
        """Return the fleet record named ``default``, or the built-in one."""
        entry = self.get("fleet", "default")
        spec = entry.spec if entry else None
        if isinstance(spec, records.FleetSpec):
            return spec
        return records.FleetSpec()

    def apply(
        self, offset: int, time: float, value: dict[str, Any]
    ) -> ApplyResult:
        """Apply the record at an offset.

        :param offset: offset on the ``config`` stream
        :param time: time of the append, in seconds
        :param value: the decoded record
        :returns: what the record did
        """
        self._offset = max(self._offset, offset)
        if isinstance(value, dict) and value.get("kind") == SNAPSHOT_KIND:
            return self.merge_entries(value["covers"], value["entries"])
        errors = record.find_envelope_errors(value)
        # A record of a newer schema version stands or falls by its envelope,
        # so that old and new nodes decide alike.
        if not errors and value["schema_version"] <= record.SCHEMA_VERSION:
            errors = record.find_spec_errors(value)
        if errors:
            return Rejected(errors)
        key = (value["kind"], value["name"])
        current = self._entries.get(key)
        errors = claim_layout.find_errors(current, time, value)
        if errors:
            return Rejected(errors)
        if current is not None and current.offset >= offset:
            return Superseded(current)
        based_on = value.get("based_on")
        # A tombstone counts as no version for a record based on 0.
        present = 0 if current is None else current.offset
        if based_on is not None and based_on != present:
            if not (based_on == 0 and current and current.is_deleted):
                return Superseded(current)
        entry = self._make_entry(offset, time, value)
        self._entries[key] = entry
        return Accepted(entry)

    def merge_entries(
        self, covers: int, entries: list[dict[str, Any]]
    ) -> Restored:
        """Merge entries of a snapshot or of a peer's catalog.

        The entries say which versions are in force after the prefix that
        they cover, so they replace what was concluded from a part of it.

        :param covers: last offset of the prefix
        :param entries: each with ``offset``, ``time`` and ``value``
        :returns: the entries that were not known
        """
        self._offset = max(self._offset, covers)
        restored = []
        for item in entries:
            value, offset = item["value"], item["offset"]
            if record.find_envelope_errors(value):
                continue
            key = (value["kind"], value["name"])
            current = self._entries.get(key)
            if current is not None and (
                current.offset > covers or current.offset == offset
            ):
                continue
            entry = self._make_entry(offset, item["time"], value)
            self._entries[key] = entry
            restored.append(entry)
        return Restored(restored)

    def _make_entry(
        self, offset: int, time: float, value: dict[str, Any]
    ) -> record.Entry:
        if record.find_spec_errors(value):
            # The content is newer than this program; the last content that
            # it understood stays in use.
            current = self._entries.get((value["kind"], value["name"]))
            spec = current.spec if current else None
        else:
            spec = record.parse_spec(value)
        return record.Entry(offset, time, value, spec)
