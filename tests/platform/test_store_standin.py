"""The stand-in of the store follows the platform's documentation."""

import asyncio
import json

import testtools
from tornado import httpclient

from tests.support import async_tests
from tests.support import platform_store


class ConsumerGroupTest(testtools.TestCase):
    """Guards against a stand-in that is less strict than the store."""

    def setUp(self):
        super().setUp()
        self.store = platform_store.PlatformStore()

    async def call(self, path, **body):
        client = httpclient.AsyncHTTPClient(force_instance=True)
        response = await client.fetch(
            f"http://{self.store.address}{path}",
            method="POST" if body else "GET",
            body=json.dumps(body) if body else None,
            raise_error=False,
        )
        client.close()
        return response.code, json.loads(response.body or b"{}")

    async def join(self, member, generation=0, ttl_ms=5_000):
        _, joined = await self.call(
            "/api/log-join",
            group="g",
            member=member,
            topics=["a", "b"],
            ttl_ms=ttl_ms,
            generation=generation,
        )
        return joined["generation"], [row[0] for row in joined["parts"]]

    async def commit(self, member, generation, topic="b"):
        status, _ = await self.call(
            "/api/log-commit",
            group="g",
            member=member,
            generation=generation,
            topic=topic,
            part=0,
            offset=7,
        )
        return status

    async def owners(self):
        _, found = await self.call("/api/log-owners?group=g")
        return {row[0]: (row[2], row[3]) for row in found["rows"]}

    @async_tests.in_loop
    async def test_partition_moves_when_its_owner_rejoins(self):
        self.store.start()
        self.addCleanup(self.store.stop)
        self.assertEqual((1, ["a", "b"]), await self.join("one"))
        self.assertEqual((2, []), await self.join("two"))
        # The first member still owns both partitions and may commit.
        self.assertEqual(200, await self.commit("one", 1))
        self.assertEqual((2, ["a"]), await self.join("one", 2))
        self.assertEqual((2, ["b"]), await self.join("two", 2))
        self.assertEqual(
            {"a": ("one", 0), "b": ("two", 7)}, await self.owners()
        )

    @async_tests.in_loop
    async def test_commit_of_other_member_or_old_generation_is_refused(self):
        self.store.start()
        self.addCleanup(self.store.stop)
        await self.join("one")
        await self.join("two")
        await self.join("one", 2)
        self.assertEqual(409, await self.commit("one", 2))
        self.assertEqual(409, await self.commit("two", 1))
        self.assertEqual(200, await self.commit("two", 2))

    @async_tests.in_loop
    async def test_leaving_or_silent_member_loses_its_partitions(self):
        self.store.start()
        self.addCleanup(self.store.stop)
        await self.join("one", ttl_ms=50)
        await self.join("two")
        await asyncio.sleep(0.1)
        self.assertEqual((3, ["a", "b"]), await self.join("two", 3))
        await self.call("/api/log-leave", group="g", member="two")
        self.assertEqual({}, await self.owners())
