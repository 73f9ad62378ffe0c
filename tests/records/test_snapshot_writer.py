"""Guards against missed or repeated rounds of snapshots."""

import asyncio
import time
import types

import testtools

from fireflyspur.audit import audit_trail
from fireflyspur.clients import exceptions
from fireflyspur.clients import log_client
from fireflyspur.membership import rendezvous
from fireflyspur.records import catalog as catalogs
from fireflyspur.records import snapshot_writer
from tests.support import records

# Each rank waits 1/40 of the retention longer; the ages in these tests differ
# from these times by hundreds of seconds.
RETENTION_S = 40_000.0
NAMES = ["a", "b", "c"]


class FakeLog:
    """Applies each append, and loses the first responses."""

    def __init__(self, catalog, responses_to_lose=0):
        self._catalog = catalog
        self._responses_to_lose = responses_to_lose
        self.values = []

    async def info(self):
        return log_client.LogInfo(RETENTION_S, 100.0)

    async def append(self, stream, values):
        self.values += values
        offset = 10 + len(self.values)
        self._catalog.apply(offset, time.time(), values[0])
        if self._responses_to_lose:
            self._responses_to_lose -= 1
            raise exceptions.LogUnavailableError("lost")
        return [offset]


class TestSnapshotWriter(testtools.TestCase):
    def make(self, rank, age_s, responses_to_lose=0, entries=3, live=NAMES):
        catalog = catalogs.Catalog()
        for offset in range(1, entries + 1):
            value = records.model(f"m{offset}")
            catalog.apply(offset, time.time() - age_s, value)
        follower = types.SimpleNamespace(
            catalog=catalog,
            is_loaded=True,
            has_gap=False,
            is_log_reachable=True,
        )
        log = FakeLog(catalog, responses_to_lose)
        name = rendezvous.rank("config-snapshots", NAMES)[rank]
        writer = snapshot_writer.SnapshotWriter(
            log, follower, lambda: live, name, audit_trail.AuditTrail()
        )
        return writer, log, catalog

    def test_first_member_writes_after_a_quarter_of_the_retention(self):
        early, log, _ = self.make(0, RETENTION_S * 0.24)
        self.assertFalse(asyncio.run(early.run_once()))
        self.assertEqual([], log.values)
        due, _, catalog = self.make(0, RETENTION_S * 0.26)
        self.assertTrue(asyncio.run(due.run_once()))
        self.assertEqual(3, catalog.last_round.covers)
        self.assertFalse(asyncio.run(due.run_once()))

    def test_other_members_write_after_a_delay(self):
        """Guards against records that expire if the first writer is down."""
        waiting, _, _ = self.make(1, RETENTION_S * 0.26)
        self.assertFalse(asyncio.run(waiting.run_once()))
        substitute, _, _ = self.make(1, RETENTION_S * 0.29)
        self.assertTrue(asyncio.run(substitute.run_once()))

    def test_lost_response_repeats_the_part_under_the_same_uid(self):
        writer, log, catalog = self.make(
            0, RETENTION_S * 0.26, responses_to_lose=1
        )
        self.assertTrue(asyncio.run(writer.run_once()))
        self.assertEqual(1, len({v["uid"] for v in log.values}))
        self.assertEqual(2, len(log.values))
        self.assertFalse(catalog.has_gap)
