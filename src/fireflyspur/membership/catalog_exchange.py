"""Exchange of the catalog between nodes."""

import asyncio
from collections.abc import Callable
import dataclasses

import msgspec

from fireflyspur.audit import audit_trail
from fireflyspur.generated import peer_pb2
from fireflyspur.membership import gossiper
from fireflyspur.membership import peer_client
from fireflyspur.observability import logs
from fireflyspur.records import catalog_follower

_FETCH_TIMEOUT_S = 5.0

_log = logs.log_for("records")


class CatalogExchange:
    """Serves the catalog to peers and fetches it when the log is down.

    :param follower: holds the catalog
    :param client: calls the peers
    :param trail: records each catalog that is fetched from a peer
    :param config_age_s: returns the age of the configuration in seconds
    :param confirm: called with the report of each peer whose offset this
        node has reached
    """

    def __init__(
        self,
        follower: catalog_follower.CatalogFollower,
        client: peer_client.PeerClient,
        trail: audit_trail.AuditTrail,
        config_age_s: Callable[[], float],
        confirm: Callable[[gossiper.PeerReport], None],
    ) -> None:
        self._follower = follower
        self._client = client
        self._trail = trail
        self._config_age_s = config_age_s
        self._confirm = confirm
        self._best: gossiper.PeerReport | None = None
        self._fetch_requested = asyncio.Event()

    def read(self, after_offset: int) -> peer_pb2.CatalogReply | None:
        """Return the entries above an offset, or None without a catalog."""
        if not self._follower.is_loaded:
            return None
        catalog = self._follower.catalog
        return peer_pb2.CatalogReply(
            config_offset=catalog.offset,
            config_age_ms=round(min(self._config_age_s(), 1e9) * 1000),
            entries=[
                msgspec.json.encode(entry.to_dict())
                for entry in catalog.entries
                if entry.offset > after_offset
            ],
        )

    def handle_report(self, report: gossiper.PeerReport) -> None:
        """Confirm a peer's report, or request a fetch if it is ahead."""
        if report.heartbeat.config_offset <= self._follower.catalog.offset:
            if self._follower.is_loaded:
                self._confirm(report)
            return
        best = self._best
        if best is None or (
            report.heartbeat.config_offset,
            report.sent_at,
        ) >= (best.heartbeat.config_offset, best.sent_at):
            self._best = report
        if not self._follower.is_log_reachable or self._follower.has_gap:
            self._fetch_requested.set()

    async def run(self) -> None:
        """Fetch from the peer with the highest offset until cancelled."""
        while True:
            await self._fetch_requested.wait()
            self._fetch_requested.clear()
            # Reports that arrive together are compared before the fetch.
            await asyncio.sleep(0.05)
            best, self._best = self._best, None
            if best is not None:
                await self._fetch(best)

    async def _fetch(self, report: gossiper.PeerReport) -> None:
        catalog = self._follower.catalog
        after_offset = catalog.offset
        if report.heartbeat.config_offset <= after_offset:
            self._confirm(report)
            return
        response = await self._client.fetch_catalog(
            report.peer.target, after_offset, _FETCH_TIMEOUT_S
        )
        if response is None or response.config_offset <= catalog.offset:
            return
        try:
            entries = [msgspec.json.decode(e) for e in response.entries]
            self._follower.adopt(response.config_offset, entries)
        except (msgspec.MsgspecError, KeyError, TypeError) as error:
            _log.warning(
                "Ignored invalid catalog of {}: {}", report.peer.name, error
            )
            return
        self._trail.add(
            "records",
            "fetched",
            f"catalog of {report.peer.name}",
            "the log is unavailable and the peer is ahead of offset"
            f" {after_offset}",
            offset=response.config_offset,
        )
        _log.info(
            "Catalog fetched from {} up to offset {}",
            report.peer.name,
            response.config_offset,
        )
        self._confirm(
            dataclasses.replace(
                report,
                heartbeat=dataclasses.replace(
                    report.heartbeat, config_offset=response.config_offset
                ),
            )
        )
