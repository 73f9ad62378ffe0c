"""Use of the engines by client accounts, and their shares of it.

Answers floods in which one account takes the slots that others would get.
Accounts that want capacity have equal shares. A load balancer spreads each
account's requests over the nodes, so each node decides from its own sample.
Requests without an account count as one account.
"""

import dataclasses

from fireflyspur.gateway.common import clock

# Time after which a use of engines counts half: demand swings within ten
# seconds, and a node sees about one request a second.
_HALF_LIFE_S = 10.0
# A sample of fewer requests does not show what an account uses.
_MIN_REQUESTS = 8.0
# An account uses far more than its share if it uses this multiple of what the
# other accounts use on average.
_FAR_EXCESS = 4.0
# Share of the slots that is kept for the other accounts, at most. They get no
# more than twice the share that they use.
_MAX_KEPT_SHARE = 1 / 8
_KEPT_FACTOR = 2.0
# Accounts whose use has fallen below this time are forgotten.
_MIN_USE_S = 0.001


@dataclasses.dataclass(frozen=True, slots=True)
class _Use:
    """Use of engines, with later requests counting more.

    :param engine_s: engine time used
    :param requests: number of requests
    :param at_s: clock time of both values
    """

    engine_s: float
    requests: float
    at_s: float

    def at(self, now: float) -> "_Use":
        """Return what is left of the use at a later time."""
        left = 0.5 ** ((now - self.at_s) / _HALF_LIFE_S)
        return _Use(self.engine_s * left, self.requests * left, now)


class AccountShares:
    """Counts the engine time of the accounts whose requests a node sends."""

    def __init__(self) -> None:
        self._uses: dict[str | None, _Use] = {}

    def record(self, account: str | None, engine_s: float) -> None:
        """Record a request that is sent.

        :param engine_s: time of one engine that it uses up
        """
        now = clock.now_s()
        uses = {
            name: use
            for name, use in self._uses_at(now).items()
            if use.engine_s > _MIN_USE_S
        }
        used = uses.get(account, _Use(0.0, 0.0, now))
        uses[account] = _Use(used.engine_s + engine_s, used.requests + 1, now)
        self._uses = uses

    def excess(self, account: str | None) -> float:
        """Return the use of an account relative to the mean of the others.

        :returns: 1 if there is no other account, or too little to compare
        """
        uses = self._uses_at(clock.now_s())
        own = uses.pop(account, None)
        if own is None or own.requests < _MIN_REQUESTS:
            return 1.0
        others_s = sum(use.engine_s for use in uses.values())
        if others_s <= _MIN_USE_S:
            return 1.0
        return own.engine_s * len(uses) / others_s

    def must_wait(self, account: str | None, free_share: float) -> bool:
        """Return whether an account must leave the free slots to others.

        :param free_share: share of the slots that is free
        """
        if free_share >= _MAX_KEPT_SHARE:
            return False
        if self.excess(account) < _FAR_EXCESS:
            return False
        uses = self._uses_at(clock.now_s())
        total_s = sum(use.engine_s for use in uses.values())
        others_share = 1 - uses[account].engine_s / total_s
        return free_share < min(_MAX_KEPT_SHARE, _KEPT_FACTOR * others_share)

    def _uses_at(self, now: float) -> dict[str | None, _Use]:
        return {name: use.at(now) for name, use in self._uses.items()}
