"""Idempotency keys for tests."""

import os
import time
import uuid


def uuid7(issued_s: float | None = None) -> str:
    """Return a UUID of version 7 with a time of issue."""
    moment = time.time() if issued_s is None else issued_s
    value = round(moment * 1000) << 80 | int.from_bytes(os.urandom(10), "big")
    value &= ~(0xF << 76 | 0x3 << 62)
    return str(uuid.UUID(int=value | 0x7 << 76 | 0x2 << 62))
