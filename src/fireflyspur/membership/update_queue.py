"""Updates that are piggybacked on exchanges."""

import math

from fireflyspur.membership import member

MAX_UPDATES = 10
_SENDS_PER_DOUBLING = 3


def send_limit(count: int) -> int:
    """Return ``3 * log2(N)`` for a number of members, at least 3."""
    return max(
        _SENDS_PER_DOUBLING,
        math.ceil(_SENDS_PER_DOUBLING * math.log2(max(2, count))),
    )


class UpdateQueue:
    """The latest update about each member, sent a limited number of times.

    Updates sent least often go first, so that a burst of news does not hold
    up later news.
    """

    def __init__(self) -> None:
        self._updates: dict[str, tuple[int, member.Member]] = {}

    def add(self, update: member.Member) -> None:
        """Queue an update; it replaces an older one about the member."""
        self._updates[update.name] = (0, update)

    def take(self, member_count: int) -> list[member.Member]:
        """Return the updates for the next message.

        :param member_count: number of members
        """
        limit = send_limit(member_count)
        chosen = sorted(self._updates.values(), key=lambda item: item[0])
        taken = [update for _, update in chosen[:MAX_UPDATES]]
        for update in taken:
            sent = self._updates[update.name][0] + 1
            if sent >= limit:
                del self._updates[update.name]
            else:
                self._updates[update.name] = (sent, update)
        return taken
