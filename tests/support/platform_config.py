"""Bytes of the platform's records."""

import json


def encode(value):
    """Return a record's value as the operators write it."""
    return json.dumps(value).encode()
