"""Which node reads the store for the others."""

from collections.abc import Sequence
import hashlib


def rank_of(name: str, live_names: Sequence[str], matter: str) -> int:
    """Return a node's place among the readers of a matter.

    The node with rank 0 reads; each next one reads when it has heard
    nothing for a little longer. No agreement is needed: two nodes that see
    different peers only read more often.

    :param live_names: names of the nodes that run, this one included
    :param matter: what is read; spreads the matters over the nodes
    """
    own = _weight(name, matter)
    return sum(_weight(other, matter) < own for other in live_names)


def _weight(name: str, matter: str) -> bytes:
    return hashlib.blake2b(f"{matter}/{name}".encode(), digest_size=8).digest()
