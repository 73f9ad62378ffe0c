"""When a node reads the store itself."""

import asyncio
from unittest import mock

import testtools

from fireflyspur.gateway import clock
from fireflyspur.gateway import config_holder
from fireflyspur.gateway import endpoint_directory
from fireflyspur.gateway import reader_rank
from fireflyspur.gateway import registry
from fireflyspur.gateway import store_follower
from fireflyspur.platform import config_codec
from fireflyspur.platform import store_client
from fireflyspur.platform import store_registry
from tests.support import async_tests
from tests.support import gateway_fleet
from tests.support import platform_config


class _Registry:
    """Counts the reads of the configuration, and gives no endpoints."""

    def __init__(self):
        self.waits = 0

    async def read_config(self):
        wanted = platform_config.encode(gateway_fleet.config())
        config = config_codec.decode(wanted)
        return registry.ConfigRead(config, clock.now_s())

    async def wait_config(self, wait_s):
        self.waits += 1
        await asyncio.sleep(wait_s)
        return registry.ConfigRead(None, clock.now_s())

    async def read_endpoints(self):
        await asyncio.sleep(60)


class StoreFollowerTest(testtools.TestCase):
    """Guards against nodes that read beside the reader."""

    def setUp(self):
        super().setUp()
        self.registry = _Registry()
        self.holder = config_holder.ConfigHolder()
        link = mock.MagicMock()
        link.announced_version = 0
        link.sync.is_behind = False
        self.follower = store_follower.StoreFollower(
            "node-1",
            self.registry,
            self.holder,
            endpoint_directory.EndpointDirectory(3.6, 2.5),
            link,
            config_bound_s=2.0,
            endpoints_bound_s=2.0,
        )

    def have_rank(self, rank):
        patch = mock.patch.object(reader_rank, "rank_of", lambda *a: rank)
        patch.start()
        self.addCleanup(patch.stop)

    async def follow(self, seconds, reader_s):
        """Follow while a reader tells at an interval, or never."""
        task = asyncio.ensure_future(self.follower.run())
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while loop.time() < end:
            await asyncio.sleep(reader_s or seconds)
            if reader_s:
                self.holder.confirm(clock.now_s())
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    @async_tests.in_loop
    async def test_second_rank_reads_nothing_while_the_reader_tells(self):
        self.have_rank(1)
        await self.follow(4.0, reader_s=store_follower.CONFIG_WAIT_S + 0.02)
        self.assertEqual(0, self.registry.waits)

    @async_tests.in_loop
    async def test_each_rank_reads_before_the_bound_without_a_reader(self):
        self.have_rank(9)
        await self.follow(1.9, reader_s=None)
        self.assertGreater(self.registry.waits, 0)

    @async_tests.in_loop
    async def test_wait_without_a_change_confirms_its_end(self):
        async with gateway_fleet.GatewayFleet() as fleet:
            fleet.publish(gateway_fleet.config())
            store = store_client.StoreClient(fleet.store.address)
            read_from = store_registry.StoreRegistry(store)
            await read_from.read_config()
            began = clock.now_s()
            read = await read_from.wait_config(0.4)
            # The store answers with nothing new once the wait is over.
            self.assertGreaterEqual(read.read_at_s, began + 0.4)
            self.assertLessEqual(read.read_at_s, clock.now_s())
            fleet.publish(gateway_fleet.config(version=2))
            began = clock.now_s()
            read = await read_from.wait_config(0.4)
            self.assertEqual(2, read.config.version)
            self.assertLess(read.read_at_s, began + 0.1)
