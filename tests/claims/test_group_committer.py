"""Group commit over a log that loses requests and responses.

A retried append must neither lose a record nor add it under a second uid.
"""

import asyncio
import time

import testtools

from fireflyspur.claims import group_committer
from fireflyspur.clients import exceptions
from fireflyspur.clients import log_client


class FakeLog:
    """Log whose first appends may fail or lose their response."""

    def __init__(self, *faults):
        self.records = []
        self.appends = 0
        self._faults = list(faults)

    async def append(self, stream, values):
        self.appends += 1
        fault = self._faults.pop(0) if self._faults else ""
        if fault != "down":
            self.records += values
        if fault:
            raise exceptions.LogUnavailableError(fault)

    async def read(self, stream, start):
        found = [
            log_client.LogRecord(offset, 0.0, value)
            for offset, value in enumerate(self.records, 1)
            if offset >= start
        ]
        tail = len(self.records) + 1
        return log_client.LogPage(found, tail, 1, tail)


class TestGroupCommitter(testtools.TestCase):
    def commit(self, log, *uids, withdraw=False):
        async def run():
            committer = group_committer.GroupCommitter(log, "s", lambda: 1)
            done = [
                committer.submit(
                    {"type": "claim", "uid": uid}, time.time() + 60
                )
                for uid in uids
            ]
            if withdraw:
                return committer.withdraw(uids[0])
            return await asyncio.gather(*done)

        return asyncio.run(run())

    def test_records_submitted_together_share_an_append(self):
        log = FakeLog()
        self.commit(log, "a", "b", "c")
        self.assertEqual((1, 3), (log.appends, len(log.records)))

    def test_lost_response_is_resolved_by_reading(self):
        # Guards against a record that is appended twice.
        log = FakeLog("response lost")
        self.commit(log, "a", "b")
        self.assertEqual((1, 2), (log.appends, len(log.records)))

    def test_failed_append_is_retried(self):
        log = FakeLog("down", "down", "response lost")
        self.commit(log, "a")
        self.assertEqual(["a"], [r["uid"] for r in log.records])

    def test_withdrawn_claim_is_not_sent(self):
        log = FakeLog()
        self.assertTrue(self.commit(log, "a", withdraw=True))
        self.assertEqual([], log.records)
