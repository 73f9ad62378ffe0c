"""Rate limits of client accounts on one node."""

from collections.abc import Callable
import dataclasses
import math
import time

from fireflyspur.admission import authenticator
from fireflyspur.admission import exceptions

# Time constant of the average demand, and lifetime of a granted share that is
# not renewed.
_DEMAND_WINDOW_S = 2.0
_GRANT_LIFETIME_S = 3.0
# Capacity of an account's token bucket, in seconds of its rate.
_BURST_S = 2.0
# A node does not report demands below this fraction of an even split.
_REPORT_RATIO = 0.05


@dataclasses.dataclass(frozen=True)
class Grant:
    """Share of an account's limit that the coordinator assigned to this node.

    :param rate: tokens per second
    :param expires_at: monotonic time in seconds
    """

    rate: float
    expires_at: float


class _Bucket:
    """Token bucket of an account, with its recent demand."""

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
    """Limits each account to this node's share of its limit.

    A prompt is admitted if the level of its account's bucket is above zero
    and is then charged in full. A prompt larger than the bucket can thus run,
    and later ones are refused until the level is above zero again.
    """

    def __init__(self) -> None:
        self._buckets: dict[str, _Bucket] = {}
        self._grants: dict[str, Grant] = {}
        self._node_count = 1

    def set_node_count(self, count: int) -> None:
        """Set the number of nodes between which a limit is split evenly."""
        self._node_count = max(1, count)

    def charge(
        self,
        account: authenticator.Account,
        tokens: int,
        now: float | None = None,
    ) -> None:
        """Charge a prompt to its account.

        :param tokens: prompt tokens plus the maximum of generated tokens
        :param now: monotonic time in seconds; None for the current time
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
        # Refused prompts count as demand too: otherwise an account that is
        # limited on this node could never get a larger share.
        bucket.demand_tokens += tokens
        if bucket.level <= 0:
            raise exceptions.AccountLimitError(
                f"account {account.name} exceeds its limit of"
                f" {limit:g} tokens per second",
                retry_after_s=max(1.0, -bucket.level / rate),
            )
        bucket.level -= tokens

    def refund(self, account: str, tokens: int) -> None:
        """Refund tokens that were charged but not used."""
        bucket = self._buckets.get(account)
        if bucket is not None:
            bucket.level += tokens

    def rate(self, account: str, limit: float, now: float) -> float:
        """Return this node's share of a limit, in tokens per second."""
        grant = self._grants.get(account)
        if grant is not None and now < grant.expires_at:
            return max(grant.rate, limit * _REPORT_RATIO / self._node_count)
        return limit / self._node_count

    def demands(
        self, get_limit: Callable[[str], float | None], now: float
    ) -> dict[str, float]:
        """Return the demands that are high enough to report.

        :param get_limit: returns the limit of an account in tokens per
            second, or None if it has none
        :returns: tokens per second by account
        """
        demands = {}
        for name, bucket in list(self._buckets.items()):
            limit = get_limit(name)
            if limit is None:
                del self._buckets[name]
                continue
            bucket.advance(now, self.rate(name, limit, now))
            demand = bucket.demand_tokens / _DEMAND_WINDOW_S
            if demand >= _REPORT_RATIO * limit / self._node_count:
                demands[name] = demand
        return demands

    def set_grant(self, account: str, rate: float, now: float) -> None:
        """Set the share that the coordinator assigned to this node."""
        self._grants[account] = Grant(rate, now + _GRANT_LIFETIME_S)
