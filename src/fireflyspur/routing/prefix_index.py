"""Guess of which prompt prefixes an engine still has in its cache."""

import collections
import dataclasses
import hashlib

_FIRST_BOUNDARY_BYTES = 1024
# A ratio of 1.25 finds a shared prefix to within a fifth of its length with
# some 40 digests for a prompt of a million tokens.
_BOUNDARY_RATIO = 1.25
_DIGEST_BYTES = 12


@dataclasses.dataclass(frozen=True)
class PrefixDigest:
    """Digest of the beginning of a prompt.

    :param length_bytes: length of the beginning
    """

    digest: bytes
    length_bytes: int


def digests(model: str, adapter: str, prompt: str) -> list[PrefixDigest]:
    """Return digests of a prompt's beginnings, shortest first.

    :param prompt: the whole prompt
    """
    data = prompt.encode()
    state = hashlib.blake2b(
        f"{model}\0{adapter}\0".encode(), digest_size=_DIGEST_BYTES
    )
    found, done, boundary = [], 0, float(_FIRST_BOUNDARY_BYTES)
    while boundary <= len(data):
        state.update(data[done : int(boundary)])
        done = int(boundary)
        found.append(PrefixDigest(state.digest(), done))
        boundary *= _BOUNDARY_RATIO
    return found


class PrefixIndex:
    """Prefixes that this node has sent to each engine, oldest dropped first.

    An engine's cache events come late and with gaps, so the index is a guess.
    A wrong guess costs one prefill, after which the prefix is cached again.

    :param max_entries: digests kept for each engine
    """

    def __init__(self, max_entries: int = 20_000) -> None:
        self._max_entries = max_entries
        self._engines: dict[str, collections.OrderedDict[bytes, None]] = {}

    def cached_bytes(self, engine: str, digests: list[PrefixDigest]) -> int:
        """Return the length of the longest beginning that may be cached.

        :param digests: digests of the prompt, shortest first
        """
        known = self._engines.get(engine)
        if known is None:
            return 0
        for item in reversed(digests):
            if item.digest in known:
                return item.length_bytes
        return 0

    def add(self, engine: str, digests: list[PrefixDigest]) -> None:
        """Note that a prompt was processed by an engine."""
        known = self._engines.setdefault(engine, collections.OrderedDict())
        for item in digests:
            known[item.digest] = None
            known.move_to_end(item.digest)
        while len(known) > self._max_entries:
            known.popitem(last=False)

    def remove_engine(self, engine: str) -> None:
        """Drop all of an engine, after its restart."""
        self._engines.pop(engine, None)
