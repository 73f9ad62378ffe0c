"""Queue of the updates that are piggybacked on exchanges."""

import math

from fireflyspur.membership import member

MAX_UPDATES = 10
_SENDS_PER_DOUBLING = 3


def send_limit(count: int) -> int:
    """Return how often an update is sent.

    :param count: number of members
    :returns: ``3 * log2(count)``, at least 3
    """
    return max(
        _SENDS_PER_DOUBLING,
        math.ceil(_SENDS_PER_DOUBLING * math.log2(max(2, count))),
    )


class UpdateQueue:
    """Holds the latest update about each member until it is sent often enough.

    The updates that were sent least often are taken first, so that a burst
    of updates does not delay later ones.
    """

    def __init__(self) -> None:
        self._updates: dict[str, tuple[int, member.Member]] = {}

    def add(self, update: member.Member) -> None:
        """Queue an update in place of an earlier one about the member."""
        self._updates[update.name] = (0, update)

    def take(self, member_count: int) -> list[member.Member]:
        """Return the updates for the next message.

        :param member_count: number of members
        """
        limit = send_limit(member_count)
        chosen = sorted(self._updates.values(), key=lambda item: item[0])
        taken = [update for _, update in chosen[:MAX_UPDATES]]
        for update in taken:
            send_count = self._updates[update.name][0] + 1
            if send_count >= limit:
                del self._updates[update.name]
            else:
                self._updates[update.name] = (send_count, update)
        return taken
