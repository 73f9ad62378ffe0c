"""KV memory in blocks, with a prefix cache that fills what is left."""

import collections
from collections.abc import Callable


class Allocation:
    """Blocks that a stream, reservation, import or export holds.

    :param shared: hashes of cached blocks that it uses
    :param private: number of blocks that only it uses
    """

    def __init__(
        self, shared: list[str] | None = None, private: int = 0
    ) -> None:
        self.shared = shared or []
        self.private = private

    @property
    def blocks(self) -> int:
        """Number of blocks held."""
        return len(self.shared) + self.private


class KvMemory:
    """Blocks with a bound; idle cached blocks give way to live ones.

    :param total: number of blocks
    :param on_event: called with the kind and the hashes of cache events
    """

    def __init__(
        self, total: int, on_event: Callable[[str, list[str]], None]
    ) -> None:
        self.total = total
        self.on_release: Callable[[], None] = lambda: None
        self._on_event = on_event
        self._private = 0
        self._users: dict[str, int] = {}
        # Least recently used first; the blocks that nothing uses.
        self._idle: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    @property
    def live(self) -> int:
        """Blocks in use."""
        return self._private + len(self._users) - len(self._idle)

    @property
    def cached(self) -> int:
        """Blocks in the prefix cache, used or idle."""
        return len(self._users)

    @property
    def free(self) -> int:
        """Blocks that a new allocation can get."""
        return self.total - self.live

    def match(self, hashes: list[str]) -> list[str]:
        """Return the longest cached prefix of a chain."""
        count = 0
        while count < len(hashes) and hashes[count] in self._users:
            count += 1
        return hashes[:count]

    def allocate(self, blocks: int, chain: list[str]) -> Allocation | None:
        """Take blocks, the cached ones of a chain first.

        :param blocks: number of blocks in all
        :param chain: hashes of the blocks that may be cached
        :returns: None when they do not fit
        """
        shared = self.match(chain)[:blocks]
        idle = sum(1 for key in shared if key in self._idle)
        if blocks - len(shared) + idle > self.free:
            return None
        self._use(shared)
        private = blocks - len(shared)
        self._private += private
        self._evict()
        return Allocation(list(shared), private)

    def resize(self, allocation: Allocation, blocks: int) -> bool:
        """Grow or shrink the private part; False when it does not fit."""
        change = blocks - allocation.blocks
        if change > self.free or allocation.private + change < 0:
            return False
        allocation.private += change
        self._private += change
        self._evict()
        return True

    def store(self, allocation: Allocation, chain: list[str]) -> None:
        """Put computed private blocks of an allocation into the cache."""
        known = len(allocation.shared)
        count = min(len(chain) - known, allocation.private)
        wanted = chain[known : known + max(0, count)]
        stored = [key for key in wanted if key not in self._users]
        # A block that another stream has stored meanwhile is shared.
        self._private -= len(wanted)
        allocation.private -= len(wanted)
        for key in stored:
            self._users[key] = 0
            self._idle[key] = None
        self._use(wanted)
        allocation.shared += wanted
        if stored:
            self._on_event("stored", stored)

    def release(self, allocation: Allocation) -> None:
        """Give all blocks back; the shared ones stay cached."""
        self._private -= allocation.private
        # The end of a chain is of no use without its start, so that it is
        # evicted first.
        for key in reversed(allocation.shared):
            self._users[key] -= 1
            if not self._users[key]:
                self._idle[key] = None
        allocation.shared, allocation.private = [], 0
        self.on_release()

    def clear_cache(self) -> None:
        """Drop the idle cached blocks."""
        for key in self._idle:
            del self._users[key]
        self._idle.clear()
        self._on_event("cleared", [])

    def _use(self, keys: list[str]) -> None:
        for key in keys:
            self._users[key] += 1
            self._idle.pop(key, None)

    def _evict(self) -> None:
        evicted = []
        while self._private + len(self._users) > self.total:
            key, _ = self._idle.popitem(last=False)
            del self._users[key]
            evicted.append(key)
        if evicted:
            self._on_event("evicted", evicted)
