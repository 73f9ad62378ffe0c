"""Division of an account's limit between the nodes that use it."""

import dataclasses

# Lifetime of a report; each node sends one every second.
_REPORT_LIFETIME_S = 3.0


@dataclasses.dataclass(frozen=True)
class _Report:
    tokens_per_s: float
    expires_at: float


class ShareCoordinator:
    """Divides limits in proportion to demand.

    The state is kept in memory only: a new coordinator has all of it after
    one round of reports.
    """

    def __init__(self) -> None:
        self._reports: dict[str, dict[str, _Report]] = {}

    def update_share(
        self, account: str, limit: float, node: str, demand: float, now: float
    ) -> float:
        """Record a node's demand and return its share.

        :param limit: limit of the account on the fleet, in tokens per second
        :param node: name of the node
        :param demand: tokens per second that the node would use
        :param now: monotonic time in seconds
        :returns: tokens per second
        """
        reports = self._reports.setdefault(account, {})
        reports[node] = _Report(demand, now + _REPORT_LIFETIME_S)
        for name in [n for n, r in reports.items() if r.expires_at <= now]:
            del reports[name]
        total = sum(report.tokens_per_s for report in reports.values())
        return limit * demand / total if total else limit

    def remove_idle(self, now: float) -> None:
        """Remove accounts without recent reports."""
        idle = [
            account
            for account, reports in self._reports.items()
            if all(r.expires_at <= now for r in reports.values())
        ]
        for account in idle:
            del self._reports[account]
