"""Rendezvous hashing: assignment of keys to members."""

from collections.abc import Iterable
import hashlib


def _weight(key: str, name: str) -> bytes:
    return hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Return the names by descending weight for a key.

    Members that know the same names agree without exchanging messages. The
    loss of a name only moves the keys for which it was first.

    :param key: key to assign
    :param names: names of the candidates
    """
    return sorted(names, key=lambda name: _weight(key, name), reverse=True)


def owner(key: str, names: Iterable[str]) -> str | None:
    """Return the first name of :func:`rank`, or None if there is none."""
    return max(names, key=lambda name: _weight(key, name), default=None)
