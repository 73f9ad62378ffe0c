"""Check that keeps each idempotency key in one claim partition."""

from typing import Any

from fireflyspur.records import record

# The longest idempotency horizon that the schema allows, plus 10 min for keys
# with a time in the future and for clock skew.
RECREATION_DELAY_S = 86400.0 + 600.0

_KEY = "claim_partitions"
_DEFAULT_PARTITIONS = 8


def find_errors(
    current: record.Entry | None, time: float, value: dict[str, Any]
) -> list[str]:
    """Check a fleet record against the entry in force.

    If the number of partitions changed, a key that was claimed in one
    partition could be claimed again in another. Without a fleet record nodes
    accept no claims, so the number may change once all keys from before the
    deletion have expired.

    :param current: the entry in force, which may be a tombstone
    :param time: append time, in seconds
    :param value: the decoded record
    :returns: one line for each error
    """
    if value["kind"] != "fleet" or current is None:
        return []
    if value.get("deleted"):
        return []
    if current.is_deleted:
        if time - current.time >= RECREATION_DELAY_S:
            return []
        return [
            "a deleted fleet record may be created again only after"
            f" {RECREATION_DELAY_S:.0f} s, since keys from before the deletion"
            " are still valid"
        ]
    new_count, current_count = _partitions(value), _partitions(current.value)
    if new_count == current_count:
        return []
    return [
        f"spec.{_KEY}: {new_count} differs from {current_count} in the entry"
        " in force; a key could be claimed in two partitions"
    ]


def _partitions(value: dict[str, Any]) -> Any:
    return (value.get("spec") or {}).get(_KEY, _DEFAULT_PARTITIONS)
