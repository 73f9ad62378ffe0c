"""Generation and validation of idempotency keys."""

import os
import time
import uuid

from fireflyspur.claims import exceptions

MAX_FUTURE_S = 300.0
# The log keeps records longer than the horizon plus this margin: 5 min for
# keys issued in the future and 5 min for clock skew.
RETENTION_MARGIN_S = 600.0


def generate(
    issued_s: float | None = None, random_bytes: bytes | None = None
) -> str:
    """Return a new key, a UUID of version 7.

    :param issued_s: wall-clock time of issue in seconds; None for now
    :param random_bytes: ten bytes that make the key reproducible; None for
        random ones
    """
    issue_time_s = time.time() if issued_s is None else issued_s
    value = round(issue_time_s * 1000) << 80 | int.from_bytes(
        random_bytes or os.urandom(10)
    )
    value &= ~(0xF << 76 | 0x3 << 62)
    return str(uuid.UUID(int=value | 0x7 << 76 | 0x2 << 62))


def issued_at(key: str) -> float:
    """Return the time of issue of a key, in seconds.

    :param key: text of the key
    :raises InvalidKeyError: if it is not a UUID of version 7
    """
    if not key:
        raise exceptions.InvalidKeyError(
            "a call that must not run twice requires the header"
            " Idempotency-Key with a UUID of version 7"
        )
    try:
        value = uuid.UUID(key)
    except ValueError as error:
        raise exceptions.InvalidKeyError(
            f"Idempotency-Key: {key!r:.60} is not a UUID"
        ) from error
    if value.version != 7:
        raise exceptions.InvalidKeyError(
            "Idempotency-Key: expected a UUID of version 7"
        )
    return (value.int >> 80) / 1000


def check(key: str, horizon_s: float, now: float) -> tuple[str, float]:
    """Check a key against the horizon.

    :param key: text of the key
    :param horizon_s: age in seconds from which a key is rejected
    :param now: wall-clock time in seconds
    :returns: the canonical text, and the wall-clock time until which the key
        may be claimed
    :raises InvalidKeyError: if it is not a UUID of version 7
    :raises KeyTimeError: if it has expired or was issued in the future
    """
    issued = issued_at(key)
    if issued + horizon_s <= now:
        raise exceptions.KeyTimeError(
            f"Idempotency-Key: issued {now - issued:.0f} s ago, but keys"
            f" expire after {horizon_s:.0f} s"
        )
    if issued > now + MAX_FUTURE_S:
        raise exceptions.KeyTimeError(
            f"Idempotency-Key: issued {issued - now:.0f} s in the future"
        )
    return str(uuid.UUID(key)), issued + horizon_s
