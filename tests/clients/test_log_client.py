"""Reading of the log."""

import asyncio
import types
import urllib.parse

import testtools

from fireflyspur.clients import log_client
from fireflyspur.clients import stream_follower

_NESTED = b"[" * 100_000 + b"]" * 100_000


class RawLog:
    """Stands for the log's HTTP interface, with records as they lie there."""

    def __init__(self, values):
        self._values = values

    async def fetch(self, url, **options):
        query = urllib.parse.parse_qs(urllib.parse.urlparse(url).query)
        start, limit = int(query["from"][0]), int(query["limit"][0])
        end = min(start + limit, len(self._values) + 1)
        records = b",".join(
            b'{"offset":%d,"time":1.0,"value":%b}' % (n, self._values[n - 1])
            for n in range(start, end)
        )
        tail = len(self._values) + 1
        body = b'{"records":[%b],"next":%d,"first":1,"tail":%d}'
        return types.SimpleNamespace(body=body % (records, end, tail))


class OddRecordTest(testtools.TestCase):
    """Guards against followers that end at one odd record of a stream."""

    def follow(self, values):
        """Return the values that a follower applies."""
        applied = []
        log = log_client.LogClient(RawLog(values), "http://log", "test")

        async def run():
            follower = stream_follower.StreamFollower(
                log, "config", lambda r: applied.append(r.value), 0.0
            )
            async with asyncio.timeout(5.0):
                await follower.run(is_done=lambda: follower.is_caught_up)

        asyncio.run(run())
        return applied

    def test_other_records_are_read(self):
        proper = b'{"n":%d}'
        for odd in (_NESTED, b'{"a":%b}' % _NESTED, b"[1]", b"7", b"null"):
            values = [proper % n for n in range(300)]
            values[0] = values[170] = values[-1] = odd
            expected = [n for n in range(300) if n not in (0, 170, 299)]
            applied = [value["n"] for value in self.follow(values)]
            self.assertEqual(expected, applied)
