"""Rewriting of the configuration before its records expire."""

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
# A round is late by at most a few of these before the last complete one
# expires.
_STEP_IN_SHARE = 1 / 40
_ENVELOPE_BYTES = 512
_MAX_CHECK_S = 1.0
_RETRY_S = 1.0
_APPEND_TRIES = 5
_KEY = "config-snapshots"

_log = logs.log_for("records")


def split_entries(
    entries: list[dict[str, Any]],
) -> list[list[dict[str, Any]]]:
    """Split entries into parts of at most 64 KB each.

    An entry that is larger by itself has a part of its own.

    :param entries: each with ``offset``, ``time`` and ``value``
    """
    parts: list[list[dict[str, Any]]] = [[]]
    room = MAX_PART_BYTES - _ENVELOPE_BYTES
    for entry in entries:
        size = len(msgspec.json.encode(entry)) + 1
        if size > room and parts[-1]:
            parts.append([])
            room = MAX_PART_BYTES - _ENVELOPE_BYTES
        parts[-1].append(entry)
        room -= size
    return parts


class SnapshotWriter:
    """Writes all entries in a round at each quarter of the retention.

    The first member by rendezvous hash writes; each later one waits longer,
    and finds the round of an earlier one done.

    :param log: client of the log
    :param follower: keeps the catalog
    :param live_names: returns the names of the alive members
    :param name: name of this node
    :param trail: told of each round
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
        """Write rounds when they are due until cancelled."""
        while True:
            try:
                await self.run_once()
            except exceptions.LogUnavailableError as error:
                _log.debug("No snapshot: {}", error)
            retention_s = self._retention_s or _MAX_CHECK_S
            await asyncio.sleep(
                min(_MAX_CHECK_S, retention_s * _STEP_IN_SHARE)
            )

    async def run_once(self) -> bool:
        """Write a round if it is due for this node.

        :returns: whether a round was written
        :raises LogUnavailableError: if the log does not answer
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
            since = min(e.time for e in self._follower.catalog.entries)
        else:
            since = last.time
        names = rendezvous.rank(_KEY, self._live_names())
        rank = names.index(self._name) if self._name in names else len(names)
        wait_s = retention_s * (
            1 / _ROUNDS_PER_RETENTION + min(rank, 10) * _STEP_IN_SHARE
        )
        if self._follower.catalog.is_partial:
            # A writer that knows the whole prefix goes first.
            wait_s += retention_s / _ROUNDS_PER_RETENTION
        return time.time() - since >= wait_s

    async def _write_round(self) -> None:
        catalog = self._follower.catalog
        covers, round_uid = catalog.offset, str(uuid.uuid4())
        parts = split_entries([e.to_item() for e in catalog.entries])
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
        # A part that is appended twice after a lost answer counts once.
        for attempt in range(_APPEND_TRIES):
            try:
                await self._log.append(catalog_follower.CONFIG_STREAM, [value])
                return
            except exceptions.LogUnavailableError:
                if attempt == _APPEND_TRIES - 1:
                    raise
                await asyncio.sleep(_RETRY_S)

    async def _wait_read_back(self, covers: int) -> None:
        catalog = self._follower.catalog
        deadline = time.monotonic() + 10 * _RETRY_S
        while time.monotonic() < deadline:
            last = catalog.last_round
            if last is not None and last.covers >= covers:
                return
            await asyncio.sleep(_RETRY_S / 10)
