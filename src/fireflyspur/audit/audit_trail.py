"""Audit trail of configuration changes and of the node's own actions."""

import collections
import dataclasses
import time
from typing import Any

from fireflyspur.clients import log_client
from fireflyspur.records import catalog as catalogs
from fireflyspur.records import record
from fireflyspur.records import record_diff

# Enough for four days of changes at 2,300 a day.
_MAX_EVENTS = 10_000
# Limits the memory of an event; the log has the whole record.
_MAX_CHANGES = 20


@dataclasses.dataclass(frozen=True)
class AuditEvent:
    """An event of the audit trail.

    :param time: wall-clock time in seconds
    :param part: component that performed the action
    :param action: the action, such as ``accepted``
    :param subject: name of the record or other object of the action
    :param reason: reason for the action
    :param author: author of the record; empty for an action of the node
    :param offset: offset of the record that caused the action, or None
    :param changes: the fields that differ from the previous version
    """

    time: float
    part: str
    action: str
    subject: str
    reason: str
    author: str = ""
    offset: int | None = None
    changes: tuple[str, ...] = ()


class AuditTrail:
    """Keeps the latest events in memory; the log stores records durably."""

    def __init__(self) -> None:
        self._events: collections.deque[AuditEvent] = collections.deque(
            maxlen=_MAX_EVENTS
        )

    @property
    def events(self) -> list[AuditEvent]:
        """The events, oldest first."""
        return list(self._events)

    def add(
        self,
        part: str,
        action: str,
        subject: str,
        reason: str,
        offset: int | None = None,
    ) -> None:
        """Add an event for an action of the node itself."""
        event = AuditEvent(
            time.time(), part, action, subject, reason, offset=offset
        )
        self._events.append(event)

    def add_change(
        self, log_record: log_client.LogRecord, result: catalogs.ApplyResult
    ) -> None:
        """Add an event for the result of applying a record of the log."""
        value: dict[str, Any] = (
            log_record.value if isinstance(log_record.value, dict) else {}
        )
        subject = f"{value.get('kind', '?')}/{value.get('name', '?')}"
        changes: tuple[str, ...] = ()
        match result:
            case catalogs.Accepted(entry, previous):
                action, reason = "accepted", _describe_acceptance(entry)
                old = previous.value if previous else None
                fields = record_diff.diff(old, entry.value)
                changes = tuple(map(str, fields[:_MAX_CHANGES]))
            case catalogs.Superseded(None):
                action, reason = "beaten", "based on a version not in force"
            case catalogs.Superseded(by):
                action, reason = "beaten", f"offset {by.offset} is in force"
            case catalogs.Rejected(errors):
                action, reason = "refused", "; ".join(errors)
            case catalogs.Deferred():
                action = "deferred"
                reason = "the records before it have expired"
            case catalogs.Restored(entries):
                action, subject = "restored", "snapshot"
                reason = f"{len(entries)} entries restored"
        self._events.append(
            AuditEvent(
                log_record.time,
                "records",
                action,
                subject,
                reason,
                str(value.get("author", "")),
                log_record.offset,
                changes,
            )
        )


def _describe_acceptance(entry: record.Entry) -> str:
    errors = record.find_spec_errors(entry.value)
    if errors:
        return (
            "latest record in force; its content is newer than this program,"
            f" which keeps using the last content it could parse: {errors[0]}"
        )
    if entry.value["kind"] not in record.SPEC_TYPES:
        return "latest record in force; this program does not use its kind"
    return "latest record in force"
