"""Reading of the operators' records from the store."""

import asyncio

import testtools

from fireflyspur.platform import store_client
from fireflyspur.platform import store_registry
from tests.support import async_tests
from tests.support import gateway_fleet
from tests.support import platform_store


class EvacuationRecordTest(testtools.TestCase):
    """Guards against evacuations that are overlooked in the store.

    Their records share a topic with the configuration, and some of them are
    read together, in parts, or not at all.
    """

    def start(self):
        self.store = platform_store.PlatformStore()
        self.store.start()
        self.addCleanup(self.store.stop)
        self.put("config", gateway_fleet.config())
        return store_registry.StoreRegistry(
            store_client.StoreClient(self.store.address)
        )

    def put(self, key, value):
        self.store.put("keyed.op", key, value)

    def assert_read(self, read, epoch, position, *domains):
        state = read.evacuations
        self.assertEqual((epoch, position), state.version)
        self.assertEqual(set(domains), state.domains)

    @async_tests.in_loop
    async def test_records_are_followed(self):
        reader = self.start()
        self.put("evacuate/a", {})
        self.assert_read(await reader.read_config(), 0, 2, "a")
        self.put("evacuate/b", {})
        self.put("evacuate", {})
        self.assert_read(await reader.wait_config(0), 0, 4, "a", "b")
        self.put("evacuate/a", b"")
        self.put("config", gateway_fleet.config(version=2))
        read = await reader.wait_config(0)
        self.assert_read(read, 0, 6, "b")
        self.assertEqual(2, read.config.version)
        self.assert_read(await reader.wait_config(0), 0, 6, "b")
        self.put("evacuate/b", b"")
        self.put("evacuate/b", {})
        self.put("evacuate/b", b"")
        self.assert_read(await reader.wait_config(0), 0, 9)

    @async_tests.in_loop
    async def test_wait_ends_with_an_evacuation(self):
        reader = self.start()
        await reader.read_config()
        waiting = asyncio.ensure_future(reader.wait_config(5.0))
        await asyncio.sleep(0.05)
        self.put("evacuate/a", {})
        async with asyncio.timeout(1.0):
            self.assert_read(await waiting, 0, 2, "a")

    @async_tests.in_loop
    async def test_invalid_configuration_hides_nothing(self):
        reader = self.start()
        await reader.read_config()
        self.put("evacuate/a", {})
        self.put("config", b"{")
        read = await reader.wait_config(0)
        self.assert_read(read, 0, 3, "a")
        self.assertIsNotNone(read.error)
        read = await reader.read_config()
        self.assert_read(read, 0, 3, "a")
        self.assertIsNotNone(read.error)

    @async_tests.in_loop
    async def test_dropped_history(self):
        reader = self.start()
        self.put("evacuate/a", {})
        self.put("evacuate/b", {})
        await reader.read_config()
        partition = self.store.partition("keyed.op")
        self.put("evacuate/a", b"")
        self.put("evacuate/c", {})
        partition.trim(partition.end)
        # The reader asks for records that are gone.
        self.assert_read(await reader.wait_config(0), 0, 5, "b", "c")

    @async_tests.in_loop
    async def test_log_in_parts(self):
        reader = self.start()
        await reader.read_config()
        self.put("evacuate/a", {})
        for _ in range(9):
            self.put("config", b" " * 200_000)
        self.put("evacuate/a", b"")
        self.put("evacuate/b", {})
        self.assert_read(await reader.wait_config(0), 0, 13, "b")

    @async_tests.in_loop
    async def test_restored_copy(self):
        reader = self.start()
        copies = self.store.copy_records()
        self.put("evacuate/a", {})
        self.assert_read(await reader.read_config(), 0, 2, "a")
        self.store.restore(copies)
        self.assert_read(await reader.wait_config(0), 1, 1)
        self.put("evacuate/b", {})
        self.assert_read(await reader.wait_config(0), 1, 2, "b")

    @async_tests.in_loop
    async def test_answer_that_another_call_has_overtaken(self):
        reader = self.start()
        await reader.read_config()
        self.put("evacuate/a", {})
        read_log = reader._store.read_log

        async def read_late(*args):
            reader._store.read_log = read_log
            page = await read_log(*args)
            self.put("evacuate/a", b"")
            self.put("evacuate/b", {})
            self.assert_read(await reader.wait_config(0), 0, 4, "b")
            return page

        reader._store.read_log = read_late
        self.assert_read(await reader.wait_config(0), 0, 2, "a")
        self.assertEqual(4, reader._seen.position)
        self.assert_read(await reader.wait_config(0), 0, 4, "b")
