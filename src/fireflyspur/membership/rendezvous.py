"""Choice of members by highest rendezvous hash."""

from collections.abc import Iterable
import hashlib


def _weight(key: str, name: str) -> bytes:
    return hashlib.blake2b(f"{key}\0{name}".encode(), digest_size=8).digest()


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Return the names in the order of their weight for a key.

    Members that know the same names agree without exchanging a message, and
    the loss of a name moves only the keys that it was first for.

    :param key: what is to be assigned
    :param names: the candidates
    """
    return sorted(names, key=lambda name: _weight(key, name), reverse=True)


def owner(key: str, names: Iterable[str]) -> str | None:
    """Return the first name of :func:`rank`, or None without names."""
    return max(names, key=lambda name: _weight(key, name), default=None)
