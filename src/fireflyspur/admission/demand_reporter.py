"""Reports of this node's demand to the coordinators of accounts."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import random
import time

from fireflyspur.admission import account_limiter
from fireflyspur.admission import share_coordinator
from fireflyspur.generated import records
from fireflyspur.membership import owner_cache
from fireflyspur.observability import logs
from fireflyspur.records import catalog as catalogs

_REPORT_INTERVAL_S = 1.0

# Sends demands by account to a node and returns the shares, or None if the
# node does not respond.
SendDemands = Callable[
    [str, dict[str, float]], Awaitable[dict[str, float] | None]
]

_log = logs.log_for("admission")


class DemandReporter:
    """Requests this node's share of each account's limit.

    The coordinator of an account is the live member with the highest
    rendezvous hash. While two nodes disagree about it, they get shares from
    two coordinators, which are wrong by the demand that the later
    coordinator has not received.

    :param node_name: name of this node
    :param live_names: returns the names of the live members
    :param send: sends demands to another node
    """

    def __init__(
        self,
        node_name: str,
        catalog: catalogs.Catalog,
        limiter: account_limiter.AccountLimiter,
        live_names: Callable[[], list[str]],
        send: SendDemands,
    ) -> None:
        self._node_name = node_name
        self._catalog = catalog
        self._limiter = limiter
        self._live_names = live_names
        self._send = send
        self._coordinator = share_coordinator.ShareCoordinator()
        self._owners = owner_cache.OwnerCache()

    async def run(self) -> None:
        """Report every second until cancelled."""
        while True:
            await self.report_once(time.monotonic())
            await asyncio.sleep(_REPORT_INTERVAL_S * random.uniform(0.9, 1.1))

    async def report_once(self, now: float) -> None:
        """Send the demands to their coordinators and apply the shares.

        :param now: monotonic time in seconds
        """
        names = self._live_names()
        self._limiter.set_node_count(len(names))
        self._owners.set_members(names)
        self._coordinator.remove_idle(now)
        by_node: dict[str, dict[str, float]] = {}
        for account, demand in self._limiter.demands(
            self._get_limit, now
        ).items():
            node = self._owners.owner(f"account/{account}")
            by_node.setdefault(node or self._node_name, {})[account] = demand
        await asyncio.gather(
            *(
                self._request_shares(node, demands)
                for node, demands in by_node.items()
            )
        )

    def handle_report(
        self, node: str, demands: dict[str, float]
    ) -> dict[str, float]:
        """Return the shares for a report, as the coordinator.

        :param node: name of the node that sent the report
        :param demands: tokens per second by account
        :returns: shares in tokens per second by account
        """
        now = time.monotonic()
        shares = {}
        for account, demand in demands.items():
            limit = self._get_limit(account)
            if limit is not None:
                shares[account] = self._coordinator.update_share(
                    account, limit, node, demand, now
                )
        return shares

    async def _request_shares(
        self, node: str, demands: dict[str, float]
    ) -> None:
        if node == self._node_name:
            shares: dict[str, float] | None = self.handle_report(node, demands)
        else:
            shares = await self._send(node, demands)
        if shares is None:
            _log.debug("No shares from {}; the current ones will expire", node)
            return
        now = time.monotonic()
        for account, rate in shares.items():
            self._limiter.set_grant(account, rate, now)

    def _get_limit(self, account: str) -> float | None:
        spec = self._catalog.specs(records.AccountSpec).get(account)
        return spec.tokens_per_s if spec else None
