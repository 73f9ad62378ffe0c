"""Snapshots of the configuration, written before its records expire."""

import asyncio
from collections.abc import Callable
import time
from typing import Any
import uuid

import msgspec

from fireflyspur.audit import audit_trail
from fireflyspur.clients import exceptions
from fireflyspur.clients import log_client
from fireflyspur.membership import rendezvous
from fireflyspur.observability import logs
from fireflyspur.records import catalog as catalogs
from fireflyspur.records import catalog_follower

MAX_PART_BYTES = 64 * 1024

_ROUNDS_PER_RETENTION = 4
# Each rank waits this fraction of the retention longer than the one before, so
# a round is delayed by only a few of these before the last complete one
# expires.
_RANK_DELAY_FRACTION = 1 / 40
_ENVELOPE_BYTES = 512
_MAX_CHECK_INTERVAL_S = 1.0
_RETRY_DELAY_S = 1.0
_MAX_APPEND_ATTEMPTS = 5
_RENDEZVOUS_KEY = "config-snapshots"

_log = logs.log_for("records")


def split_entries(
    entries: list[dict[str, Any]],
) -> list[list[dict[str, Any]]]:
    """Split entries into parts of at most 64 KB each.

    A larger entry gets a part of its own.

    :param entries: each with ``offset``, ``time`` and ``value``
    """
    parts: list[list[dict[str, Any]]] = [[]]
    remaining = MAX_PART_BYTES - _ENVELOPE_BYTES
    for entry in entries:
        size = len(msgspec.json.encode(entry)) + 1
        if size > remaining and parts[-1]:
            parts.append([])
            remaining = MAX_PART_BYTES - _ENVELOPE_BYTES
        parts[-1].append(entry)
        remaining -= size
    return parts


class SnapshotWriter:
    """Writes a round of snapshots every quarter of the retention.

    A round contains all entries. The first member by rendezvous hash writes
    it. Each later member waits longer, and finds the round already written if
    an earlier member wrote it.

    :param log: client of the log
    :param follower: follower that updates the catalog
    :param live_names: returns the names of the live members
    :param name: name of this node
    :param trail: audit trail for the rounds written
    """

    def __init__(
        self,
        log: log_client.LogClient,
        follower: catalog_follower.CatalogFollower,
        live_names: Callable[[], list[str]],
        name: str,
        trail: audit_trail.AuditTrail,
    ) -> None:
        self._log = log
        self._follower = follower
        self._live_names = live_names
        self._name = name
        self._trail = trail
        self._retention_s: float | None = None

    async def run(self) -> None:
        """Write rounds when they are due, until cancelled."""
        while True:
            try:
                await self.run_once()
            except exceptions.LogUnavailableError as error:
                _log.debug("Snapshot not written: {}", error)
            retention_s = self._retention_s or _MAX_CHECK_INTERVAL_S
            await asyncio.sleep(
                min(_MAX_CHECK_INTERVAL_S, retention_s * _RANK_DELAY_FRACTION)
            )

    async def run_once(self) -> bool:
        """Write a round if it is due for this node.

        :returns: whether a round was written
        :raises LogUnavailableError: if the log does not respond
        """
        if self._retention_s is None:
            self._retention_s = (await self._log.info()).retention_s
        follower = self._follower
        if (
            not follower.is_loaded
            or follower.has_gap
            or not follower.is_log_reachable
            or not follower.catalog.entries
            or not self._is_due(self._retention_s)
        ):
            return False
        await self._write_round()
        return True

    def _is_due(self, retention_s: float) -> bool:
        last = self._follower.catalog.last_round
        if last is None:
            last_written_at = min(
                e.time for e in self._follower.catalog.entries
            )
        else:
            last_written_at = last.time
        names = rendezvous.rank(_RENDEZVOUS_KEY, self._live_names())
        own_rank = (
            names.index(self._name) if self._name in names else len(names)
        )
        wait_s = retention_s * (
            1 / _ROUNDS_PER_RETENTION
            + min(own_rank, 10) * _RANK_DELAY_FRACTION
        )
        if self._follower.catalog.is_partial:
            # Members that have the whole prefix write before this one.
            wait_s += retention_s / _ROUNDS_PER_RETENTION
        return time.time() - last_written_at >= wait_s

    async def _write_round(self) -> None:
        catalog = self._follower.catalog
        covers, round_uid = catalog.offset, str(uuid.uuid4())
        parts = split_entries([e.to_dict() for e in catalog.entries])
        for number, entries in enumerate(parts):
            value = {
                "schema_version": 1,
                "kind": catalogs.SNAPSHOT_KIND,
                "uid": f"{round_uid}-{number}",
                "author": self._name,
                "round": round_uid,
                "part": number,
                "parts": len(parts),
                "partial": catalog.is_partial,
                "covers": covers,
                "entries": entries,
            }
            await self._append(value)
        self._trail.add(
            "records",
            "snapshot_written",
            f"{len(catalog.entries)} entries in {len(parts)} parts",
            "a quarter of the retention has passed since the last round",
            offset=covers,
        )
        _log.info(
            "Snapshot up to offset {} written in {} parts", covers, len(parts)
        )
        await self._wait_read_back(covers)

    async def _append(self, value: dict[str, Any]) -> None:
        # A part that is appended again after a lost response counts once.
        for attempt in range(_MAX_APPEND_ATTEMPTS):
            try:
                await self._log.append(catalog_follower.CONFIG_STREAM, [value])
                return
            except exceptions.LogUnavailableError:
                if attempt == _MAX_APPEND_ATTEMPTS - 1:
                    raise
                await asyncio.sleep(_RETRY_DELAY_S)

    async def _wait_read_back(self, covers: int) -> None:
        catalog = self._follower.catalog
        deadline = time.monotonic() + 10 * _RETRY_DELAY_S
        while time.monotonic() < deadline:
            last = catalog.last_round
            if last is not None and last.covers >= covers:
                return
            await asyncio.sleep(_RETRY_DELAY_S / 10)
