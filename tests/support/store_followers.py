"""A follower of the store beside other nodes that it only seems to hear."""

import asyncio
import random
from unittest import mock

import testtools

from fireflyspur.gateway.common import clock
from fireflyspur.gateway.common import registry
from fireflyspur.gateway.configuration import config_holder
from fireflyspur.gateway.configuration import evacuations
from fireflyspur.gateway.configuration import read_schedule
from fireflyspur.gateway.configuration import reader_rank
from fireflyspur.gateway.configuration import store_follower
from fireflyspur.gateway.configuration import version_watch
from fireflyspur.gateway.endpoints import endpoint as endpoints
from fireflyspur.gateway.endpoints import endpoint_directory
from fireflyspur.gateway.node import suspension
from fireflyspur.platform import config_codec
from tests.support import gateway_fleet
from tests.support import platform_config


def config(version=1):
    encoded = platform_config.encode(gateway_fleet.config(version=version))
    return config_codec.decode(encoded)


class Registry:
    """Counts the waits for a configuration and the reads of endpoints.

    Reads of endpoints never end unless ``endpoints`` is set.
    """

    def __init__(self):
        self.config_waits = 0
        self.endpoint_reads = 0
        self.endpoints = None

    async def read_config(self):
        return registry.ConfigRead(config(), clock.now_s())

    async def wait_config(self, wait_s):
        self.config_waits += 1
        await asyncio.sleep(wait_s)
        return registry.ConfigRead(None, clock.now_s())

    async def read_endpoints(self):
        self.endpoint_reads += 1
        if self.endpoints is None:
            await asyncio.sleep(60)
        return endpoints.EndpointList(self.endpoints, clock.now_s())


class FollowerTest(testtools.TestCase):
    """Runs a follower beside other nodes that it only seems to hear."""

    def setUp(self):
        super().setUp()
        self.registry = Registry()
        self.draw = random.random
        self.schedule = read_schedule.ReadSchedule(lambda: self.draw())
        self.holder = config_holder.ConfigHolder()
        self.link = link = mock.MagicMock()
        self.directory = endpoint_directory.EndpointDirectory(3.6, 2.5)
        link.versions = version_watch.VersionWatch(self.holder)
        link.sync.is_behind = False
        link.peers.connected_nodes.return_value = 1
        link.sync.update_from_store = self.directory.replace
        link.evacuations = evacuations.Evacuations(
            self.directory.set_evacuated
        )
        self.follower = store_follower.StoreFollower(
            "node-1",
            self.registry,
            self.holder,
            self.directory,
            link,
            suspension.SuspensionDetector(1.0),
            self.schedule,
            config_bound_s=2.0,
            endpoints_bound_s=2.0,
        )

    def announce(self, version):
        """Let another node announce a version of the configuration."""
        self.link.versions.update_from_peer("node-2", version, 0.0)

    def set_rank(self, rank):
        patcher = mock.patch.object(reader_rank, "rank_of", lambda *a: rank)
        patcher.start()
        self.addCleanup(patcher.stop)

    async def follow(self, seconds, reader_interval_s):
        """Run the follower while another node confirms the configuration.

        :param reader_interval_s: seconds between confirmations, or None for no
            confirmation
        """
        task = asyncio.ensure_future(self.follower.run())
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while loop.time() < end:
            await asyncio.sleep(reader_interval_s or seconds)
            if reader_interval_s:
                self.holder.confirm(clock.now_s())
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def follow_until_version(self, version):
        """Run the follower until a version is in force, for 6 s at most."""
        task = asyncio.ensure_future(self.follower.run())
        try:
            await gateway_fleet.wait_until(
                lambda: self.holder.version == version, timeout_s=6.0
            )
        finally:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
