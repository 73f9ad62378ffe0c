"""Estimate of the prompt prefixes in the caches of engines."""

import collections
import dataclasses
import hashlib

_FIRST_BOUNDARY_BYTES = 1024
# With a ratio of 1.25 the length of a shared prefix is found to within a
# fifth, with about 40 digests for a prompt of a million tokens.
_BOUNDARY_RATIO = 1.25
_DIGEST_BYTES = 12


@dataclasses.dataclass(frozen=True)
class PrefixDigest:
    """Digest of a prefix of a prompt.

    :param length_bytes: length of the prefix
    """

    digest: bytes
    length_bytes: int


def digests(model: str, adapter: str, prompt: str) -> list[PrefixDigest]:
    """Return the digests of a prompt's prefixes, shortest first.

    :param prompt: the whole prompt
    """
    data = prompt.encode()
    state = hashlib.blake2b(
        f"{model}\0{adapter}\0".encode(), digest_size=_DIGEST_BYTES
    )
    prefixes, hashed_bytes, boundary = [], 0, float(_FIRST_BOUNDARY_BYTES)
    while boundary <= len(data):
        state.update(data[hashed_bytes : int(boundary)])
        hashed_bytes = int(boundary)
        prefixes.append(PrefixDigest(state.digest(), hashed_bytes))
        boundary *= _BOUNDARY_RATIO
    return prefixes


class PrefixIndex:
    """LRU index of the prefixes that this node has sent to each engine.

    The cache events of an engine are delayed and incomplete, so the index is
    an estimate. A wrong estimate costs one prefill, after which the prefix is
    cached again.

    :param max_entries: maximum number of digests for each engine
    """

    def __init__(self, max_entries: int = 20_000) -> None:
        self._max_entries = max_entries
        self._engines: dict[str, collections.OrderedDict[bytes, None]] = {}

    def cached_bytes(self, engine: str, digests: list[PrefixDigest]) -> int:
        """Return the length of the longest prefix that may be cached.

        :param digests: digests of the prompt, shortest first
        """
        entries = self._engines.get(engine)
        if entries is None:
            return 0
        for prefix in reversed(digests):
            if prefix.digest in entries:
                return prefix.length_bytes
        return 0

    def add(self, engine: str, digests: list[PrefixDigest]) -> None:
        """Add the prefixes of a prompt that an engine has processed."""
        entries = self._engines.setdefault(engine, collections.OrderedDict())
        for prefix in digests:
            entries[prefix.digest] = None
            entries.move_to_end(prefix.digest)
        while len(entries) > self._max_entries:
            entries.popitem(last=False)

    def remove_engine(self, engine: str) -> None:
        """Remove all prefixes of an engine, such as after its restart."""
        self._engines.pop(engine, None)
