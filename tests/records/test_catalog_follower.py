"""Guards against a wrong catalog after records expired or a peer's merge."""

import asyncio

import testtools

from fireflyspur.audit import audit_trail
from fireflyspur.clients import log_client
from fireflyspur.records import catalog as catalogs
from fireflyspur.records import catalog_follower
from tests.support import records


class FakeLog:
    def __init__(self, *pages):
        self._pages = list(pages)
        self.starts = []

    async def read(self, stream, start, *, wait_s):
        self.starts.append(start)
        return self._pages.pop(0)


def log_record(offset, value):
    return log_client.LogRecord(offset, 0.0, value)


def page(*log_records, first, tail):
    next_offset = log_records[-1].offset + 1 if log_records else first
    return log_client.LogPage(list(log_records), next_offset, first, tail)


class TestCatalogFollower(testtools.TestCase):
    def follow(self, *pages):
        catalog = catalogs.Catalog()
        self.log = FakeLog(*pages)
        return catalog_follower.CatalogFollower(
            self.log, catalog, audit_trail.AuditTrail(), 0.5
        )

    def test_is_not_loaded_before_a_round_restores_expired_records(self):
        """Guards against admission with an incomplete configuration."""
        entry = {"offset": 2, "time": 0.0, "value": records.model("old")}
        snapshot = {"kind": "snapshot", "covers": 8, "entries": [entry]}
        update = log_record(9, {**records.model("old"), "based_on": 2})
        follower = self.follow(
            page(update, first=9, tail=10),
            page(log_record(10, snapshot), first=9, tail=11),
        )
        asyncio.run(follower.read_once())
        self.assertFalse(follower.is_loaded)
        self.assertIsNone(follower.tail_read_at)
        asyncio.run(follower.read_once())
        self.assertTrue(follower.is_loaded)
        self.assertEqual(9, follower.catalog.get("model", "old").offset)

    def test_catalog_of_a_peer_behind_is_not_merged(self):
        follower = self.follow(
            page(log_record(1, records.model()), first=1, tail=2),
        )
        asyncio.run(follower.read_once())
        follower.adopt(0, [])
        other = {"offset": 1, "time": 0.0, "value": records.model("other")}
        follower.adopt(1, [other])
        self.assertIsNone(follower.catalog.get("model", "other"))

    def test_reading_resumes_after_a_peers_offset(self):
        follower = self.follow(
            page(log_record(6, records.model("new")), first=1, tail=7),
        )
        entry = {"offset": 4, "time": 0.0, "value": records.model()}
        follower.adopt(5, [entry])
        self.assertTrue(follower.is_loaded)
        asyncio.run(follower.read_once())
        self.assertEqual([6], self.log.starts)
        self.assertEqual(6, follower.catalog.offset)
