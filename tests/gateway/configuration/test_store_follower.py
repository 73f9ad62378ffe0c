"""Tests of which nodes read the store, and when."""

import asyncio
import collections
from unittest import mock

from fireflyspur.gateway.common import clock
from fireflyspur.gateway.common import exceptions
from fireflyspur.gateway.common import registry
from fireflyspur.gateway.configuration import evacuations
from fireflyspur.gateway.configuration import store_follower
from fireflyspur.platform import store_client
from fireflyspur.platform import store_registry
from tests.support import async_tests
from tests.support import captured_logs
from tests.support import gateway_fleet
from tests.support import store_followers


class StoreFollowerTest(store_followers.FollowerTest):
    """Guards against redundant, missing and wrongly dated reads.

    Only one node is to read the configuration, and another one takes over
    before the bound.
    """

    @async_tests.in_loop
    async def test_second_rank_does_not_read_while_reader_sends_updates(self):
        self.set_rank(1)
        await self.follow(
            4.0, reader_interval_s=store_follower.CONFIG_WAIT_S + 0.02
        )
        self.assertEqual(0, self.registry.config_waits)

    @async_tests.in_loop
    async def test_last_rank_reads_before_the_bound_without_a_reader(self):
        self.set_rank(9)
        await self.follow(1.9, reader_interval_s=None)
        self.assertGreater(self.registry.config_waits, 0)

    @async_tests.in_loop
    async def test_node_that_was_told_of_changes_tells_nobody(self):
        # If each node told all others what it has read, a change would cost
        # the square of the size of the fleet.
        self.set_rank(9)
        self.registry.endpoints = ()
        self.link.sync.is_behind = True
        self.announce(99)
        await self.follow(1.4, reader_interval_s=0.1)
        self.assertGreater(self.registry.endpoint_reads, 1)
        self.assertGreater(self.registry.config_waits, 0)
        self.link.announce_endpoints.assert_not_called()
        self.link.announce_config.assert_not_called()

    @async_tests.in_loop
    async def test_node_that_lacks_changes_waits_for_the_next_update(self):
        # While many endpoints change, its own read would differ from what all
        # others know, and make them read too.
        self.set_rank(9)
        self.registry.endpoints = ()
        self.link.sync.is_behind = True
        await self.follow(0.8, reader_interval_s=0.1)
        self.assertEqual(1, self.registry.endpoint_reads)

    @async_tests.in_loop
    async def test_announced_version_that_is_not_found_is_logged(self):
        self.set_rank(9)
        self.announce(99)
        with captured_logs.capture() as records:
            await self.follow(0.4, reader_interval_s=0.1)
        found = [r for r in records if "not found" in r["message"]]
        self.assertEqual(1, len(found))
        self.assertEqual(99, found[0]["extra"]["announced"])

    async def start_behind(self, fleet, count=20):
        """Let the node miss configurations of over 1 MB."""
        self.set_rank(9)
        fleet.publish(gateway_fleet.config())
        self.follower._registry = store_registry.StoreRegistry(
            store_client.StoreClient(fleet.store.address)
        )
        await self.follow_until_version(1)
        large = [
            gateway_fleet.route(f"idle-{n}-{'r' * 200}", "safe", "desk")
            for n in range(200)
        ]
        for version in range(2, count + 2):
            routes = [*large, gateway_fleet.route("safe", "safe", "desk")]
            fleet.publish(gateway_fleet.config(version=version, routes=routes))
        self.announce(count + 1)

    # A node that missed over 1 MB of configurations took each part of the log
    # for all, and kept an old version seconds beyond its bound.
    @async_tests.in_loop
    async def test_node_that_missed_much_gets_the_newest_at_once(self):
        async with gateway_fleet.GatewayFleet() as fleet:
            await self.start_behind(fleet)
            size = sum(map(len, fleet.store.partition("keyed.op").records))
            self.assertGreater(size, 2 * 1024 * 1024)
            await self.follow(0.4, reader_interval_s=0.1)
        self.assertEqual(21, self.holder.version)

    # The valid one was dropped, and later reads confirmed the old version.
    @async_tests.in_loop
    async def test_valid_version_before_an_unusable_record_is_in_force(self):
        async with gateway_fleet.GatewayFleet() as fleet:
            await self.start_behind(fleet, count=1)
            for value in (b"{", b"[" * 100_000):
                fleet.store.put("keyed.op", "config", value)
            with captured_logs.capture() as records:
                await self.follow(0.4, reader_interval_s=0.1)
        self.assertEqual(2, self.holder.version)
        self.assertIn("Record not used", [r["message"] for r in records])

    # A call that failed counted as if the version had been asked for.
    @async_tests.in_loop
    async def test_version_is_asked_for_again_if_a_call_fails(self):
        async with gateway_fleet.GatewayFleet() as fleet:
            await self.start_behind(fleet, count=1)
            fleet.store.fault = "many"
            asyncio.get_running_loop().call_later(
                0.1, lambda: setattr(fleet.store, "fault", None)
            )
            await self.follow(0.6, reader_interval_s=0.1)
        self.assertEqual(2, self.holder.version)

    @async_tests.in_loop
    async def test_reader_tells_the_others(self):
        self.set_rank(0)
        self.registry.endpoints = ()
        await self.follow(1.6, reader_interval_s=None)
        self.assertGreater(self.link.announce_endpoints.call_count, 0)
        self.assertGreater(self.link.announce_config.call_count, 0)
        self.assertGreater(self.link.announce_evacuations.call_count, 0)

    # The node waited for reads of others, who told only of the version.
    @async_tests.in_loop
    async def test_evacuations_are_read_again_soon_if_a_call_fails(self):
        async def wait_config(wait_s):
            self.registry.config_waits += 1
            raise exceptions.StoreUnavailableError("busy")

        self.set_rank(9)
        self.registry.wait_config = wait_config
        self.link.peers.connected_nodes.return_value = 400
        self.link.evacuations.set_bounds(1.0, 1.0)
        state = evacuations.EvacuationState(0, 1)
        self.link.evacuations.update_from_store(state, clock.now_s())
        await self.follow(4.0, reader_interval_s=0.1)
        self.assertGreater(self.registry.config_waits, 2)

    @async_tests.in_loop
    async def test_first_node_that_reads_an_evacuation_tells_the_others(self):
        async def wait_config(wait_s):
            self.registry.config_waits += 1
            await asyncio.sleep(0.05)
            position = self.registry.config_waits
            domains = frozenset(("zone-b",) if position > 2 else ())
            state = evacuations.EvacuationState(0, position, domains)
            return registry.ConfigRead(None, clock.now_s(), evacuations=state)

        self.set_rank(9)
        self.registry.wait_config = wait_config
        self.announce(99)
        # The first run reads the newest records instead.
        for _ in range(5):
            self.schedule.record_success("config")
            await self.follow(0.3, reader_interval_s=0.1)
        self.assertGreater(self.registry.config_waits, 3)
        self.link.announce_evacuations.assert_called_once_with()
        self.link.announce_config.assert_not_called()

    @async_tests.in_loop
    async def test_unchanged_config_is_dated_at_the_end_of_the_wait(self):
        async with gateway_fleet.GatewayFleet() as fleet:
            fleet.publish(gateway_fleet.config())
            store = store_client.StoreClient(fleet.store.address)
            store_reader = store_registry.StoreRegistry(store)
            await store_reader.read_config()
            started = clock.now_s()
            read = await store_reader.wait_config(0.4)
            # The store responds without a new version after the wait.
            self.assertGreaterEqual(read.read_at_s, started + 0.4)
            self.assertLessEqual(read.read_at_s, clock.now_s())
            fleet.publish(gateway_fleet.config(version=2))
            started = clock.now_s()
            read = await store_reader.wait_config(0.4)
            self.assertEqual(2, read.config.version)
            self.assertLess(read.read_at_s, started + 0.1)


class _FailingRegistry(store_followers.Registry):
    """Counts the attempts, and fails on the topics in ``failing``."""

    def __init__(self):
        super().__init__()
        self.failing = set()
        self.attempts = collections.Counter()
        self.endpoints = ()

    def _attempt(self, topic):
        self.attempts[topic] += 1
        if topic in self.failing:
            raise exceptions.StoreUnavailableError("refused")

    async def read_config(self):
        self._attempt("config")
        return await super().read_config()

    async def wait_config(self, wait_s):
        self._attempt("config")
        return await super().wait_config(wait_s)

    async def read_endpoints(self):
        self._attempt("endpoints")
        return await super().read_endpoints()


class StoreOutageTest(store_followers.FollowerTest):
    """Guards against calls that grow with the fleet while the store fails.

    Neither a node that is alone nor one that starts waits for other nodes.
    """

    def setUp(self):
        super().setUp()
        self.registry = _FailingRegistry()
        self.follower._registry = self.registry
        # Nothing ticks here, which would look like a suspension.
        self.follower._detector = mock.Mock(resumed_at_s=lambda: None)

    async def lose(self, seconds, *topics, nodes=70):
        """Follow until current, then let topics fail for some time."""
        self.link.peers.connected_nodes.return_value = nodes
        await self.follow(0.2, reader_interval_s=None)
        self.registry.failing = set(topics)
        self.registry.attempts.clear()
        await self.follow(seconds, reader_interval_s=None)
        return self.registry.attempts

    @async_tests.in_loop
    async def test_first_of_many_nodes_rarely_retries(self):
        self.set_rank(0)
        attempts = await self.lose(4.0, "config", "endpoints")
        self.assertLessEqual(attempts["config"], 2)
        self.assertLessEqual(attempts["endpoints"], 2)

    @async_tests.in_loop
    async def test_last_of_many_nodes_rarely_retries(self):
        self.set_rank(9)
        attempts = await self.lose(4.0, "config", "endpoints")
        self.assertLessEqual(attempts["config"], 1)
        self.assertLessEqual(attempts["endpoints"], 1)

    @async_tests.in_loop
    async def test_lone_node_reads_within_the_bound_and_retries(self):
        self.set_rank(0)
        attempts = await self.lose(4.0, "config", "endpoints", nodes=1)
        for topic in ("config", "endpoints"):
            self.assertGreater(attempts[topic], 1)
            self.assertLess(attempts[topic], 8)

    @async_tests.in_loop
    async def test_other_topic_is_read_as_before(self):
        self.set_rank(0)
        attempts = await self.lose(3.0, "config")
        self.assertGreaterEqual(attempts["endpoints"], 3)
        self.assertLess(self.directory.age_s(), 1.0)

    @async_tests.in_loop
    async def test_refused_reader_leaves_the_role_to_others(self):
        self.set_rank(0)
        await self.follow(0.2, reader_interval_s=None)
        self.registry.failing = {"config"}
        self.registry.attempts.clear()
        self.link.peers.connected_nodes.return_value = 70
        await self.follow(3.0, reader_interval_s=0.1)
        self.assertLessEqual(self.registry.attempts["config"], 2)

    @async_tests.in_loop
    async def test_starting_node_is_current_soon_after_the_outage(self):
        self.set_rank(9)
        self.link.peers.connected_nodes.return_value = 70
        self.registry.failing = {"config", "endpoints"}
        await self.follow(3.0, reader_interval_s=None)
        self.assertLess(self.registry.attempts.total(), 14)
        self.registry.failing = set()
        await self.follow(3.0, reader_interval_s=None)
        self.assertIsNotNone(self.holder.table)
        self.assertTrue(self.directory.is_read)

    @async_tests.in_loop
    async def test_loss_and_return_are_logged_once(self):
        self.set_rank(0)
        with captured_logs.capture() as records:
            await self.lose(1.5, "config", nodes=1)
            self.registry.failing = set()
            await self.follow(2.5, reader_interval_s=None)
        found = [r["extra"] for r in records if "Store " in r["message"]]
        self.assertEqual(["config"] * 2, [extra["what"] for extra in found])
        self.assertGreater(found[1]["lost_s"], 1.0)
