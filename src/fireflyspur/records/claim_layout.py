"""The rule that keeps each idempotency key in one partition."""

from typing import Any

from fireflyspur.records import record

# The longest horizon that the schema allows, and 10 min for keys that lie in
# the future and for differences between clocks.
CHANGE_GAP_S = 86400.0 + 600.0

_KEY = "claim_partitions"
_DEFAULT = 8


def find_errors(
    current: record.Entry | None, time: float, value: dict[str, Any]
) -> list[str]:
    """Check a fleet record against the one in force.

    With another number of partitions, a key that was claimed in one
    partition could be claimed again in another one. Without a fleet record
    nodes accept no claims, so the number may change once the keys from
    before its deletion are past every horizon.

    :param current: the version in force, a tombstone included
    :param time: time of the append, in seconds
    :param value: the decoded record
    :returns: one line for each error
    """
    if value["kind"] != "fleet" or current is None:
        return []
    if value.get("deleted"):
        return []
    if current.is_deleted:
        if time - current.time >= CHANGE_GAP_S:
            return []
        return [
            "a fleet record may follow its deletion only after"
            f" {CHANGE_GAP_S:.0f} s, since keys from before are still valid"
        ]
    wanted, present = _partitions(value), _partitions(current.value)
    if wanted == present:
        return []
    return [
        f"spec.{_KEY}: {wanted} differs from {present}, which is in force;"
        " a key could be claimed in two partitions"
    ]


def _partitions(value: dict[str, Any]) -> Any:
    return (value.get("spec") or {}).get(_KEY, _DEFAULT)
