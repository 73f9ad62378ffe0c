"""Appends to the ``faults`` stream."""

import asyncio

import testtools

from fireflyspur.clients import exceptions
from fireflyspur.clients import log_client
from fireflyspur.engines import faults_stream


class LosingLog:
    """A log that loses the responses to its first appends.

    :param losses: number of lost responses
    """

    def __init__(self, losses):
        self.losses, self.appends, self.records = losses, 0, []

    async def append(self, stream, values):
        self.appends += 1
        for value in values:
            offset = len(self.records) + 1
            self.records.append(log_client.LogRecord(offset, 0.0, value))
        if self.losses:
            self.losses -= 1
            raise exceptions.LogUnavailableError("no answer")

    async def read(self, stream, start, *, wait_s):
        await asyncio.sleep(0.01)
        tail = len(self.records) + 1
        return log_client.LogPage(self.records[start - 1 :], tail, 1, tail)


def append_all(log, count):
    async def run():
        stream = faults_stream.FaultsStream(log, lambda record: None, 0.01)
        tasks = [
            asyncio.create_task(stream.run()),
            asyncio.create_task(stream.run_appends()),
        ]
        await stream.wait_until_read()
        results = await asyncio.gather(
            *(stream.append({"uid": f"u{n}"}) for n in range(count))
        )
        for task in tasks:
            task.cancel()
        return results

    return asyncio.run(run())


class TestFaultsStream(testtools.TestCase):
    def test_record_is_found_after_lost_response(self):
        """Guards against a record that is appended again with another uid."""
        log = LosingLog(1)
        self.assertEqual([True], append_all(log, 1))
        self.assertEqual({"u0"}, {r.value["uid"] for r in log.records})

    def test_records_are_appended_in_one_batch(self):
        """Guards against more appends than the log can handle."""
        log = LosingLog(0)
        self.assertEqual([True] * 50, append_all(log, 50))
        self.assertEqual(1, log.appends)
