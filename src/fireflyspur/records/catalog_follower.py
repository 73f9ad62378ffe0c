"""Follower of the ``config`` stream."""

import asyncio
from collections.abc import Callable
import time
from typing import Any

from fireflyspur.audit import audit_trail
from fireflyspur.clients import log_client
from fireflyspur.clients import stream_follower
from fireflyspur.observability import logs
from fireflyspur.records import catalog as catalogs

CONFIG_STREAM = "config"

_GAP_CHECK_INTERVAL_S = 0.2
# A snapshot round in progress completes within this time. After it, the
# retained records are applied without the expired ones: the fleet was down for
# the whole retention.
_GAP_TIMEOUT_S = 10.0

_log = logs.log_for("records")


class CatalogFollower:
    """Keeps a catalog in sync with the log.

    :param log: client of the log
    :param catalog: the catalog to update
    :param trail: audit trail for the result of each record
    :param poll_wait_s: seconds for which a read waits for new records
    """

    def __init__(
        self,
        log: log_client.LogClient,
        catalog: catalogs.Catalog,
        trail: audit_trail.AuditTrail,
        poll_wait_s: float,
    ) -> None:
        self._catalog = catalog
        self._trail = trail
        self._poll_wait_s = poll_wait_s
        self._stream = stream_follower.StreamFollower(
            log,
            CONFIG_STREAM,
            self._apply,
            poll_wait_s,
            part="records",
            outage_level="WARNING",
            on_expiry=self._handle_expiry,
        )
        self._tail_read_at: float | None = None
        self._gap_since: float | None = None
        self._loaded = asyncio.Event()
        self._listeners: list[Callable[[], None]] = []

    @property
    def catalog(self) -> catalogs.Catalog:
        """The catalog that this follower updates."""
        return self._catalog

    @property
    def is_loaded(self) -> bool:
        """Whether the catalog has been loaded completely once."""
        return self._loaded.is_set()

    @property
    def has_gap(self) -> bool:
        """Whether records expired unread and are not restored yet."""
        return self._catalog.has_gap

    @property
    def is_log_reachable(self) -> bool:
        """Whether the last read of the log succeeded."""
        return self._stream.is_reachable is True

    @property
    def tail_read_at(self) -> float | None:
        """Monotonic start time of the last read that reached the tail."""
        return self._tail_read_at

    def add_listener(self, listener: Callable[[], None]) -> None:
        """Register a function to call after each change of the catalog."""
        self._listeners.append(listener)

    async def wait_loaded(self) -> None:
        """Wait until the catalog has been loaded completely once."""
        await self._loaded.wait()

    async def run(self) -> None:
        """Follow the stream until cancelled."""
        await self._stream.run(self.read_once)

    async def read_once(self) -> None:
        """Read one page and apply it.

        :raises LogUnavailableError: if the log does not respond
        """
        is_following = self._loaded.is_set() and not self._catalog.has_gap
        wait_s = self._poll_wait_s if is_following else 0.0
        page = await self._stream.read_once(wait_s)
        if page.is_at_tail and not await self._has_open_gap():
            self._tail_read_at = page.started_at
            self._loaded.set()
        if page.has_records:
            self._notify()

    def adopt(self, covers: int, entries: list[dict[str, Any]]) -> None:
        """Merge a peer's catalog if it is ahead of this one.

        :param covers: offset of the peer's catalog
        :param entries: its entries above this catalog's offset
        """
        if covers <= self._catalog.offset:
            return
        result = self._catalog.merge_entries(covers, entries)
        self._stream.skip_to(covers + 1)
        for entry in result.entries:
            _log.info(
                "Record {}/{} in force at offset {}", *entry.key, entry.offset
            )
        if not self._catalog.has_gap:
            self._gap_since = None
            self._loaded.set()
        self._notify()

    def _handle_expiry(self, first: int) -> None:
        self._catalog.mark_gap(first)
        if self._catalog.has_gap:
            self._gap_since = None
            _log.warning("Records before offset {} have expired", first)

    async def _has_open_gap(self) -> bool:
        if not self._catalog.has_gap:
            self._gap_since = None
            return False
        now = time.monotonic()
        if self._gap_since is None:
            self._gap_since = now
        if now - self._gap_since < _GAP_TIMEOUT_S:
            await asyncio.sleep(_GAP_CHECK_INTERVAL_S)
            return self._catalog.has_gap
        deferred_results = self._catalog.close_gap().deferred_results
        reason = "no snapshot restored the expired records"
        self._trail.add("records", "gap_closed", "config", reason)
        _log.error(
            "{}; {} records applied without them",
            reason,
            len(deferred_results),
        )
        self._notify()
        return False

    def _apply(self, log_record: log_client.LogRecord) -> None:
        result = self._catalog.apply(
            log_record.offset, log_record.time, log_record.value
        )
        self._trail.add_change(log_record, result)
        match result:
            case catalogs.Rejected(errors):
                _log.warning(
                    "Record at offset {} rejected: {}",
                    log_record.offset,
                    "; ".join(errors),
                )
            case catalogs.Superseded(by):
                current_offset = by.offset if by else None
                _log.info(
                    "Record at offset {} superseded by offset {}",
                    log_record.offset,
                    current_offset,
                )
            case catalogs.Accepted(entry):
                _log.info(
                    "Record {}/{} in force at offset {}",
                    *entry.key,
                    log_record.offset,
                )
            case catalogs.Restored(entries, deferred_results):
                _log.info(
                    "Snapshot at offset {} restored {} entries, {} deferred"
                    " records applied after it",
                    log_record.offset,
                    len(entries),
                    len(deferred_results),
                )

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()
