"""Sharing of the client accounts' limits between nodes."""

from fireflyspur.admission import account_limiter
from fireflyspur.admission import demand_reporter
from fireflyspur.generated import peer_pb2
from fireflyspur.generated import settings
from fireflyspur.node import membership_parts
from fireflyspur.records import catalog as catalogs

_REPORT_TIMEOUT_S = 0.5
_GRANT_VALID_MS = 3000


class LimitParts:
    """Connects the account limiter with coordinators on other nodes.

    :param config: the node's settings
    :param catalog: the current catalog of records
    :param membership: access to the other nodes
    """

    def __init__(
        self,
        config: settings.NodeSettings,
        catalog: catalogs.Catalog,
        membership: membership_parts.MembershipParts,
    ) -> None:
        self._name = config.node.name
        self._membership = membership
        self.limiter = account_limiter.AccountLimiter()
        self.reporter = demand_reporter.DemandReporter(
            config.node.name,
            catalog,
            self.limiter,
            membership.table.live_names,
            self._send_report,
        )
        membership.server.set_demand_handler(self._handle_report)

    async def _send_report(
        self, node: str, demands: dict[str, float]
    ) -> dict[str, float] | None:
        member = self._membership.table.get(node)
        if member is None:
            return None
        report = peer_pb2.DemandReport(
            node=self._name,
            demands=[
                peer_pb2.AccountDemand(account=account, tokens_per_s=demand)
                for account, demand in demands.items()
            ],
        )
        grant = await self._membership.client.report_demand(
            member.target, report, _REPORT_TIMEOUT_S
        )
        if grant is None:
            return None
        return {share.account: share.tokens_per_s for share in grant.shares}

    async def _handle_report(
        self, report: peer_pb2.DemandReport
    ) -> peer_pb2.ShareGrant:
        demands = {d.account: d.tokens_per_s for d in report.demands}
        shares = self.reporter.handle_report(report.node, demands)
        return peer_pb2.ShareGrant(
            valid_ms=_GRANT_VALID_MS,
            shares=[
                peer_pb2.AccountShare(account=account, tokens_per_s=rate)
                for account, rate in shares.items()
            ],
        )
