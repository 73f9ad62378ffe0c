"""Tests of single calls to the store that fail or find nothing."""

import asyncio
from unittest import mock

import testtools

from fireflyspur.gateway.common import clock
from fireflyspur.gateway.common import exceptions
from fireflyspur.gateway.common import registry
from tests.support import async_tests
from tests.support import store_followers

# Time after which a connection to the store counts as failed.
_CONNECT_TIMEOUT_S = 0.5


class _LosingRegistry(store_followers.Registry):
    """Has a newer version, and loses the first packet of the next calls.

    Calls after these find no newer version while ``stale_reads`` last.
    """

    def __init__(self, lost_calls, stale_reads):
        super().__init__()
        self.lost_calls = lost_calls
        self.stale_reads = stale_reads
        self.is_served = False

    async def wait_config(self, wait_s):
        self.config_waits += 1
        if self.lost_calls:
            self.lost_calls -= 1
            await asyncio.sleep(_CONNECT_TIMEOUT_S)
            raise exceptions.StoreUnavailableError("timed out")
        if self.stale_reads or self.is_served:
            self.stale_reads = max(0, self.stale_reads - 1)
            await asyncio.sleep(wait_s)
            return registry.ConfigRead(None, clock.now_s())
        self.is_served = True
        return registry.ConfigRead(
            store_followers.config(version=2), clock.now_s()
        )


class LostCallTest(store_followers.FollowerTest):
    """Guards against versions that are late on a node that lost one call.

    One node of 78 had a version in force 3.5 s after the others, as its next
    call waited as long as in an outage.
    """

    def setUp(self):
        super().setUp()
        # Nothing ticks here, which would look like a suspension.
        self.follower._detector = mock.Mock(resumed_at_s=lambda: None)

    async def catch_up(self, nodes, bound_s, lost_calls=1, stale_reads=0):
        """Return the time from a version's publication until in force."""
        self.set_rank(9)
        self.follower.set_bounds(bound_s, bound_s)
        # The longest of all waits.
        self.draw = lambda: 0.999
        self.link.peers.connected_nodes.return_value = nodes
        await self.follow(0.1, reader_interval_s=None)
        self.holder.confirm(clock.now_s())
        published_at_s = clock.now_s()
        self.follower._registry = _LosingRegistry(lost_calls, stale_reads)
        self.announce(2)
        await self.follow_until_version(2)
        return clock.now_s() - published_at_s

    @async_tests.in_loop
    async def test_version_is_in_force_within_the_bound(self):
        self.assertLess(await self.catch_up(78, 3.0), 3.0)

    @async_tests.in_loop
    async def test_version_is_in_force_within_the_bound_in_a_large_fleet(self):
        self.assertLess(await self.catch_up(300, 2.0), 2.0)

    # All others learned of the version only when it was their turn to read.
    @async_tests.in_loop
    async def test_reader_for_all_calls_again_soon_once(self):
        self.set_rank(0)
        self.link.peers.connected_nodes.return_value = 78
        await self.follow(0.1, reader_interval_s=None)
        self.follower._registry = losing = _LosingRegistry(1, 0)
        await self.follow(1.0, reader_interval_s=None)
        self.assertEqual(2, self.holder.version)
        self.link.announce_config.assert_called()
        losing.lost_calls = 1_000
        losing.config_waits = 0
        await self.follow(2.5, reader_interval_s=None)
        self.assertEqual(2, losing.config_waits)

    # A read that did not find an announced version confirmed the one before,
    # and the node read again only when that confirmation had aged.
    @async_tests.in_loop
    async def test_version_that_a_read_has_not_found_is_read_again(self):
        delay_s = await self.catch_up(78, 2.0, lost_calls=0, stale_reads=1)
        self.assertLess(delay_s, 2.0)

    @async_tests.in_loop
    async def test_version_that_is_never_found_is_rarely_asked_for(self):
        # As after a restore of the store, or if this build can't decode it.
        with testtools.ExpectedException(TimeoutError):
            await self.catch_up(78, 2.0, lost_calls=0, stale_reads=1_000)
        self.assertLess(self.follower._registry.config_waits, 13)
