"""Rank of a node among those that may read the store for all."""

from collections.abc import Sequence
import hashlib


def rank_of(name: str, live_names: Sequence[str], topic: str) -> int:
    """Return the rank of a node among the readers of a topic.

    The node with rank 0 reads from the store. Each further rank takes over
    after a slightly longer time without an update. The nodes need not agree:
    if two of them see different peers, the store is only read more often.

    Ranks come from rendezvous hashing, so that different topics are read by
    different nodes.

    :param name: name of the node
    :param live_names: names of all live nodes, including this one
    :param topic: kind of data that is read from the store
    """
    own = _weight(name, topic)
    return sum(_weight(other, topic) < own for other in live_names)


def _weight(name: str, topic: str) -> bytes:
    return hashlib.blake2b(f"{topic}/{name}".encode(), digest_size=8).digest()
