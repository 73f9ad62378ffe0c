"""Division of an account's limit between the nodes that demand it."""

import dataclasses

# A report counts for this long; its node sends one a second.
_REPORT_LIFETIME_S = 3.0


@dataclasses.dataclass(frozen=True)
class _Report:
    tokens_per_s: float
    expires_at: float


class ShareCoordinator:
    """Divides limits in proportion to demand.

    The state is soft: a new coordinator has it all again after one round of
    reports.
    """

    def __init__(self) -> None:
        self._reports: dict[str, dict[str, _Report]] = {}

    def update_share(
        self, account: str, limit: float, node: str, demand: float, now: float
    ) -> float:
        """Take a node's demand and return its share.

        :param limit: the account's limit over the fleet, in tokens a second
        :param node: name of the node
        :param demand: what the node would use, in tokens a second
        :param now: monotonic time in seconds
        :returns: tokens a second
        """
        reports = self._reports.setdefault(account, {})
        reports[node] = _Report(demand, now + _REPORT_LIFETIME_S)
        for name in [n for n, r in reports.items() if r.expires_at <= now]:
            del reports[name]
        total = sum(report.tokens_per_s for report in reports.values())
        return limit * demand / total if total else limit

    def forget_idle(self, now: float) -> None:
        """Drop accounts that no node reported of late."""
        idle = [
            account
            for account, reports in self._reports.items()
            if all(r.expires_at <= now for r in reports.values())
        ]
        for account in idle:
            del self._reports[account]
