"""Updates between the nodes of a large fleet, without a network."""

import asyncio
import collections
import dataclasses
from unittest import mock

import testtools

from fireflyspur.experiment import example_engine
from fireflyspur.gateway.common import address as addresses
from fireflyspur.gateway.common import clock
from fireflyspur.gateway.common import registry
from fireflyspur.gateway.configuration import config_holder
from fireflyspur.gateway.configuration import evacuations
from fireflyspur.gateway.endpoints import endpoint as endpoints
from fireflyspur.gateway.endpoints import endpoint_directory
from fireflyspur.gateway.endpoints import endpoint_pace
from fireflyspur.gateway.endpoints import part_quarantine
from fireflyspur.gateway.endpoints import quarantine
from fireflyspur.gateway.fleet import fleet_link
from fireflyspur.gateway.node import suspension
from fireflyspur.gateway.scheduling import in_flight_table
from fireflyspur.gateway.scheduling import placement
from fireflyspur.gateway.scheduling import placement_cost
from fireflyspur.gateway.scheduling import pool_load_report
from fireflyspur.gateway.scheduling import pool_loads
from fireflyspur.generated import peer_updates_pb2 as peer_updates
from tests.support import async_tests

_DOMAINS = ("zone-a", "zone-b", "zone-c", "zone-d", "zone-e")
# Datagrams for one change of load, at any size of the fleet.
_MOST_RECIPIENTS = 64
_DEMAND = placement_cost.Demand(5_000, 100, 0.3, 0.2, 1.0)


class _Network:
    """Delivers datagrams between links in the same process."""

    def __init__(self, count):
        self.sent = collections.Counter()
        self.lost = set()
        self.links = [_make_link(n, self) for n in range(count)]
        nodes = {
            f"node-{n}": registry.NodeEntry(_address(n), _domain(n))
            for n in range(count)
        }
        for link in self.links:
            link.peers.add_nodes(nodes)

    def deliver(self, sender, data, receiver):
        self.sent[sender] += 1
        if receiver in self.lost:
            return
        channel = self.links[receiver].channel
        channel.datagram_received(data, ("10.0.0.1", sender))

    async def settle(self):
        """Wait until no more datagrams are sent."""
        while True:
            sent = self.sent.total()
            await asyncio.sleep(0.05)
            if self.sent.total() == sent:
                return


class _Transport:
    def __init__(self, network, number):
        self._network = network
        self._number = number

    def sendto(self, data, address):
        self._network.deliver(self._number, data, address[1])

    def close(self):
        pass


def _address(number):
    return addresses.Address("10.0.0.1", number)


def _domain(number):
    return _DOMAINS[number % len(_DOMAINS)]


def _make_link(number, network):
    directory = endpoint_directory.EndpointDirectory(3.6, 2.5)
    listed = tuple(map(example_engine.endpoint, range(5)))
    directory.replace(endpoints.EndpointList(listed, clock.now_s()))
    link = fleet_link.FleetLink(
        f"node-{number}",
        _address(number),
        _domain(number),
        None,
        config_holder.ConfigHolder(),
        directory,
        in_flight_table.InFlightTable(),
        suspension.SuspensionDetector(1.0),
    )
    link.channel.connection_made(_Transport(network, number))
    link.directory = directory
    return link


class FleetExchangeTest(testtools.TestCase):
    """Guards against a cost that grows with the fleet, and lost news."""

    @async_tests.in_loop
    async def test_cost_of_a_change_of_load_is_flat(self):
        counts = {}
        for size in (40, 195, 600):
            network = _Network(size)
            link = network.links[0]
            with link.in_flight.track_primary(
                example_engine.endpoint(1), _DEMAND, 1, 5.0
            ):
                await network.settle()
            counts[size] = network.sent[0]
        self.assertGreater(min(counts.values()), 0)
        self.assertLess(max(counts.values()), _MOST_RECIPIENTS)

    @async_tests.in_loop
    async def test_requests_to_a_cold_endpoint_are_counted_by_its_pool(self):
        network = _Network(40)
        endpoint = example_engine.endpoint(1)
        counts = [
            self.enterContext(
                mock.patch.object(link.pacing.ceiling, "add_start")
            )
            for link in network.links
        ]
        link = network.links[0]
        # A part that another endpoint sends is not a request of a node.
        with link.in_flight.track_helper(
            placement.Helper(endpoint, 0), _DEMAND, 2, 5.0
        ):
            await network.settle()
        for count in counts:
            count.assert_not_called()
        with link.in_flight.track_primary(endpoint, _DEMAND, 1, 5.0):
            await network.settle()
        for number, count in enumerate(counts):
            count.assert_called_once_with("engine-1", is_own=number == 0)

    @async_tests.in_loop
    async def test_pace_that_an_answer_shows_is_known_to_the_pool(self):
        network = _Network(40)
        endpoint = example_engine.endpoint(1)
        for link in network.links:
            link.directory.record_fault(endpoint.instance, "test")
            self.assertEqual(2.0, link.pacing.paces.limit(endpoint))
        sender = network.links[3]
        sender.pacing.paces.record_answer(
            endpoint, 0.2, endpoint_pace.Expectation(0.3)
        )
        await network.settle()
        for link in network.links:
            self.assertEqual(3.0, link.pacing.paces.limit(endpoint))
            is_paused = link.directory.is_paused(endpoint.instance)
            self.assertEqual(link is sender, is_paused)

    @async_tests.in_loop
    async def test_stopping_node_stays_known_as_stopping(self):
        network = _Network(20)
        link, other = network.links[:2]
        link.announce_stopping()
        with link.in_flight.track_primary(
            example_engine.endpoint(1), _DEMAND, 1, 5.0
        ):
            await network.settle()
        self.assertNotIn("node-0", other.peers.live_names())
        self.assertEqual(20, other.peers.fleet_size())

    @async_tests.in_loop
    async def test_crash_is_counted_by_all_nodes(self):
        network = _Network(195)
        for number in (3, 7):
            now = clock.now_s()
            network.links[number].crashes.record_crash(
                quarantine.RequestCrash(
                    "fingerprint",
                    f"engine-{number}",
                    sent_at_s=now,
                    broke_at_s=now,
                )
            )
            await network.settle()
        unaware = [
            link
            for link in network.links
            if not link.crashes.is_quarantined("fingerprint")
        ]
        self.assertEqual([], unaware)

    @async_tests.in_loop
    async def test_leaving_endpoint_is_left_alone_by_all_nodes(self):
        network = _Network(195)
        read = endpoints.EndpointList(
            tuple(map(example_engine.endpoint, range(5))), clock.now_s()
        )
        for link in network.links:
            link.sync.update_from_store(read)
        later = endpoints.EndpointList(read.endpoints[1:], clock.now_s())
        link = network.links[11]
        link.announce_endpoints(link.sync.update_from_store(later))
        await network.settle()
        names = {
            tuple(sorted(e.instance for e in link.directory.ready("models")))
            for link in network.links
        }
        self.assertEqual({tuple(f"engine-{n}" for n in range(1, 5))}, names)

    def read_evacuations(self, link, position, *domains):
        """Let a node read the store, and tell the others."""
        state = evacuations.EvacuationState(0, position, frozenset(domains))
        link.evacuations.update_from_store(state, clock.now_s())
        link.announce_evacuations()

    @async_tests.in_loop
    async def test_evacuation_reaches_all_nodes(self):
        network = _Network(195)
        for link in network.links:
            link.evacuations.set_bounds(5.0, 6.0)
        reader = network.links[11]
        for position, domains in enumerate(({"a", "b"}, {"b"}, set())):
            # Its own heartbeat is sent in the same datagram.
            self.read_evacuations(reader, 2 * position, "a", "b", "c")
            reader._add_state(reader.channel.draft)
            self.read_evacuations(reader, 2 * position + 1, *domains)
            await network.settle()
            found = {link.evacuations.in_force for link in network.links}
            self.assertEqual({frozenset(domains)}, found)
        ages_s = [link.evacuations.age_s() for link in network.links]
        self.assertLess(max(ages_s), 1.0)

    # The datagrams of a process that is not known may have lain in the socket
    # while this process was suspended.
    @async_tests.in_loop
    async def test_age_is_not_known_after_a_suspension(self):
        network = _Network(2)
        for link in network.links:
            link.evacuations.set_bounds(5.0, 6.0)
        first, second = network.links
        second._detector._ticked_at_s -= 30.0
        self.read_evacuations(first, 1, "a")
        await network.settle()
        self.assertEqual({"a"}, second.evacuations.in_force)
        self.assertEqual(float("inf"), second.evacuations.age_s())

    @async_tests.in_loop
    async def test_evacuation_counts_in_a_datagram_that_was_overtaken(self):
        network = _Network(2)
        for link in network.links:
            link.evacuations.set_bounds(5.0, 6.0)
        first, second = network.links
        delivered = []
        network.deliver = lambda sender, data, receiver: delivered.append(data)
        self.read_evacuations(first, 1, "a")
        first.channel.flush()
        first.channel.draft.is_stopping = False
        first.channel.flush()
        for data in reversed(delivered):
            second.channel.datagram_received(data, ("10.0.0.1", 0))
        self.assertEqual({"a"}, second.evacuations.in_force)

    @async_tests.in_loop
    async def test_news_pass_when_a_quarter_of_the_nodes_are_gone(self):
        network = _Network(195)
        network.lost = set(range(100, 148))
        # Each report goes through other relays, so that repeated ones reach
        # all nodes that are left.
        for _ in range(12):
            network.links[0].channel.fleet_draft.idle.instances.append("e-1")
            await network.settle()
        unaware = [
            number
            for number, link in enumerate(network.links)
            if number not in network.lost
            and _domain(number) != _domain(0)
            and "e-1" not in link.pool_loads.instances
        ]
        self.assertEqual([], unaware)

    @async_tests.in_loop
    async def test_heartbeat_with_all_that_it_may_hold_fits_a_datagram(self):
        network = _Network(20)
        link = network.links[0]
        for number in range(50):
            link.limits.record(
                dataclasses.replace(
                    example_engine.endpoint(0),
                    instance=f"i-{number:010x}",
                    born_ms=1_790_000_000_000,
                ),
                1.5,
            )
            for step in range(3):
                now = clock.now_s()
                link.parts.add_crash(
                    part_quarantine.PartCrash(
                        (2**60 + number, 1, 2, 3),
                        f"engine-{step}",
                        now + step,
                        now + step,
                    )
                )
        update = peer_updates.PeerUpdate()
        update.limits.extend(link.limits.describe())
        update.quarantined_parts.extend(link.parts.describe())
        self.assertEqual(
            (8, 4), (len(update.limits), len(link.parts.describe()))
        )
        self.assertLess(update.ByteSize(), 800)

    @async_tests.in_loop
    async def test_failed_requests_count_at_nodes_that_share_the_engine(self):
        network = _Network(20)
        engine = example_engine.endpoint(1)
        link = network.links[0]
        for draft in link.channel.drafts_for(engine):
            draft.reports.add(
                instance=engine.instance, event=peer_updates.REQUEST_FAILED
            )
        await network.settle()
        for other in network.links[1:]:
            errors = other.directory.errors
            self.assertGreater(errors.rate(engine.instance), 0)
            self.assertTrue(other.directory.is_available(engine.instance))
            with link.in_flight.track_primary(engine, _DEMAND, 1, 5.0):
                pass
        rate = other.directory.errors.rate(engine.instance)
        await network.settle()
        self.assertLess(other.directory.errors.rate(engine.instance), rate)

    @async_tests.in_loop
    async def test_room_of_a_pool_is_known_to_all_nodes_of_another(self):
        network = _Network(60)
        load = pool_loads.EngineLoad("engine-9", 2, 40.0, 9_000, 0.2, 0.0)
        report = pool_load_report.PoolLoadReport()
        for _ in range(8):
            update = report.compose([pool_load_report.ReportedEngine(load, 6)])
            update.pool_load[0].age_ms = 200
            link = network.links[0]
            pool = link.peers.pools.others[0]
            link.channel.send_to(update, link.peers.relays(pool)[0].address)
            await network.settle()
        informed = [
            number
            for number, link in enumerate(network.links)
            if link.pool_loads.has_any
        ]
        members = link.peers.pools.members(pool)
        self.assertEqual(set(members), {f"node-{n}" for n in informed})
        link = network.links[informed[0]]
        known = link.pool_loads.predict("engine-9", example_engine.SPEC)
        self.assertEqual(6, known.room)
        self.assertGreaterEqual(known.age_s, 0.2)

    @async_tests.in_loop
    async def test_late_report_of_room_is_as_old_as_it_is(self):
        network = _Network(20)
        link, other = network.links[:2]
        load = pool_loads.EngineLoad("engine-9", 2, 40.0, 9_000, 0.2, 0.0)
        report = pool_load_report.PoolLoadReport()
        link.channel.send_to(peer_updates.PeerUpdate(), _address(1))
        update = report.compose([pool_load_report.ReportedEngine(load, 6)])
        later_s = clock.now_s() + 2.0
        link.channel.send_to(update, _address(2))
        update.number += 10
        with clock.override(lambda: later_s):
            other.channel.datagram_received(
                update.SerializeToString(), ("10.0.0.1", 0)
            )
            known = other.pool_loads.predict("engine-9", example_engine.SPEC)
        self.assertGreater(known.age_s, 1.9)
