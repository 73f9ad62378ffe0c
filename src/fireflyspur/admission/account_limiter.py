"""Limits of client accounts on one node."""

from collections.abc import Callable
import dataclasses
import math
import time

from fireflyspur.admission import authenticator
from fireflyspur.admission import exceptions

# Demand is averaged over this time, and a share that was granted counts for
# this long without a new one.
_DEMAND_WINDOW_S = 2.0
_GRANT_LIFETIME_S = 3.0
# Seconds of the rate that an account may save up for a burst.
_BURST_S = 2.0
# A node that demands less than this part of an even split does not report.
_REPORT_RATIO = 0.05


@dataclasses.dataclass(frozen=True)
class Grant:
    """Share of an account's limit that the coordinator gave this node.

    :param rate: tokens a second
    :param expires_at: monotonic time in seconds
    """

    rate: float
    expires_at: float


class _Bucket:
    """Tokens that an account may use, and its demand."""

    def __init__(self, now: float, rate: float) -> None:
        self.level = rate * _BURST_S
        self.updated_at = now
        self.demand_tokens = 0.0

    def advance(self, now: float, rate: float) -> None:
        elapsed_s = now - self.updated_at
        self.updated_at = now
        self.level = min(self.level + rate * elapsed_s, rate * _BURST_S)
        self.demand_tokens *= math.exp(-elapsed_s / _DEMAND_WINDOW_S)


class AccountLimiter:
    """Admits prompts by the node's share of each account's limit.

    A prompt is admitted while the account's level is above zero and is then
    charged in full, so that a prompt longer than the burst can run, and later
    ones wait until the debt is paid.
    """

    def __init__(self) -> None:
        self._buckets: dict[str, _Bucket] = {}
        self._grants: dict[str, Grant] = {}
        self._node_count = 1

    def set_node_count(self, count: int) -> None:
        """Take the number of nodes over which a limit is split evenly."""
        self._node_count = max(1, count)

    def charge(
        self,
        account: authenticator.Account,
        tokens: int,
        now: float | None = None,
    ) -> None:
        """Charge a prompt to its account.

        :param tokens: prompt tokens and the most that may be generated
        :param now: monotonic time in seconds; None for the present
        :raises AccountLimitError: if the account has used up its share
        """
        limit = account.spec.tokens_per_s
        if limit is None:
            return
        now = time.monotonic() if now is None else now
        rate = self.rate(account.name, limit, now)
        bucket = self._buckets.get(account.name)
        if bucket is None:
            bucket = self._buckets[account.name] = _Bucket(now, rate)
        bucket.advance(now, rate)
        # Refused prompts are demand too: without them an account that is
        # held down here could never get a larger share.
        bucket.demand_tokens += tokens
        if bucket.level <= 0:
            raise exceptions.AccountLimitError(
                f"account {account.name} is above its limit of"
                f" {limit:g} tokens a second",
                retry_after_s=max(1.0, -bucket.level / rate),
            )
        bucket.level -= tokens

    def refund(self, account: str, tokens: int) -> None:
        """Give back tokens that were charged and not used."""
        bucket = self._buckets.get(account)
        if bucket is not None:
            bucket.level += tokens

    def rate(self, account: str, limit: float, now: float) -> float:
        """Return this node's share of a limit, in tokens a second."""
        grant = self._grants.get(account)
        if grant is not None and now < grant.expires_at:
            return max(grant.rate, limit * _REPORT_RATIO / self._node_count)
        return limit / self._node_count

    def demands(
        self, limit_of: Callable[[str], float | None], now: float
    ) -> dict[str, float]:
        """Return the demand of each account that is worth a report.

        :param limit_of: returns the limit of an account in tokens a second,
            or None when it has none
        :returns: tokens a second by account
        """
        demands = {}
        for name, bucket in list(self._buckets.items()):
            limit = limit_of(name)
            if limit is None:
                del self._buckets[name]
                continue
            bucket.advance(now, self.rate(name, limit, now))
            demand = bucket.demand_tokens / _DEMAND_WINDOW_S
            if demand >= _REPORT_RATIO * limit / self._node_count:
                demands[name] = demand
        return demands

    def set_grant(self, account: str, rate: float, now: float) -> None:
        """Take the coordinator's share for this node."""
        self._grants[account] = Grant(rate, now + _GRANT_LIFETIME_S)
