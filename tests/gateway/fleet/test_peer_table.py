"""Detection of live, restarted and silent nodes."""

from fireflyspur.gateway.common import address as addresses
from fireflyspur.gateway.common import registry
from fireflyspur.gateway.fleet import peer_table
from tests.support import fake_clock

_ADDRESS = addresses.Address("10.0.0.2", 7340)


class PeerTableTest(fake_clock.FakeClockTest):
    """Guards against the use of datagrams of ended processes."""

    def setUp(self):
        super().setUp()
        self.table = peer_table.PeerTable("node-1", "zone-a")

    def receive(self, incarnation, number, is_stopping=False, sent_at_s=None):
        return self.table.record_contact(
            "node-2",
            _ADDRESS,
            incarnation,
            number,
            is_stopping,
            "zone-a",
            sent_at_s,
        )

    def test_datagram_out_of_order_is_stale(self):
        self.assertEqual(["node-1"], self.table.live_names())
        self.assertFalse(self.receive(7, 2).is_stale)
        self.assertEqual(["node-1", "node-2"], self.table.live_names())
        self.assertTrue(self.receive(7, 1).is_stale)
        self.assertFalse(self.receive(7, 3).is_stale)

    def test_datagram_of_previous_process_is_stale_after_restart(self):
        self.receive(7, 50)
        # Incarnations are random, so a later one may be smaller.
        self.assertTrue(self.receive(3, 1).is_restarted)
        self.assertTrue(self.receive(7, 51).is_stale)
        self.assertFalse(self.receive(3, 2).is_stale)

    def test_silent_and_stopping_nodes_do_not_count_as_live(self):
        self.receive(7, 1)
        self.assertEqual(["node-1", "node-2"], self.table.live_names())
        self.now += 4.0
        self.assertEqual(["node-1"], self.table.live_names())
        self.assertEqual(2, self.table.fleet_size())
        self.receive(7, 2, is_stopping=True)
        self.assertEqual(["node-1"], self.table.live_names())

    def test_node_that_stays_silent_gets_no_updates(self):
        entry = registry.NodeEntry(_ADDRESS, "zone-a")
        self.table.add_nodes({"node-2": entry})
        self.assertEqual(1, len(self.table.recipients()))
        self.now += 20.0
        self.assertEqual([], self.table.recipients())

    def test_nodes_beyond_a_lost_link_may_be_running(self):
        # Else each side would use the whole rate of a cold endpoint.
        self.assertGreaterEqual(self.table.possible_size(), 48)
        names = ("node-1", "node-2", "node-3", "node-4")
        entry = registry.NodeEntry(_ADDRESS, "zone-a")
        self.table.add_nodes(dict.fromkeys(names, entry))
        self.now += 60.0
        self.assertEqual(4, self.table.possible_size())
        self.receive(7, 1)
        # The others ended long ago, as node-2 would hear of them.
        self.assertEqual(2, self.table.possible_size())
        self.now += 60.0
        self.assertEqual(4, self.table.possible_size())
        self.receive(7, 2, is_stopping=True)
        self.assertEqual(1, self.table.possible_size())

    def test_time_that_a_datagram_waited_is_known(self):
        # The clocks of both nodes differ.
        for number in range(1, 5):
            self.now += 1.0
            contact = self.receive(7, number, sent_at_s=self.now - 900.0)
            self.assertAlmostEqual(0.0, contact.delay_s, places=2)
        # This process is suspended, and the datagram waits in its socket.
        self.now += 6.0
        contact = self.receive(7, 5, sent_at_s=self.now - 6.0 - 900.0)
        self.assertAlmostEqual(6.0, contact.delay_s, places=1)

    # The first datagram of a process may have lain in the socket while this
    # process was suspended.
    def test_offset_of_clocks_is_known_from_the_second_datagram_on(self):
        for incarnation in (7, 8):
            first = self.receive(incarnation, 1, sent_at_s=self.now - 500.0)
            self.assertIsNone(first.clock_offset_s)
            second = self.receive(incarnation, 2, sent_at_s=self.now - 510.0)
            self.assertAlmostEqual(500.0, second.clock_offset_s)
            faster = self.receive(incarnation, 3, sent_at_s=self.now - 490.0)
            self.assertAlmostEqual(490.0, faster.clock_offset_s)
            stale = self.receive(incarnation, 2, sent_at_s=self.now - 490.0)
            self.assertIsNone(stale.clock_offset_s)

    def test_clocks_that_drift_apart_are_no_delay(self):
        for number in range(1, 2_000):
            self.now += 1.0
            sent_at_s = 5.0 + 0.9998 * self.now
            contact = self.receive(7, number, sent_at_s=sent_at_s)
            self.assertLess(contact.delay_s, 0.01)


class CarriersTest(fake_clock.FakeClockTest):
    """Guards against requests that are handed over to nodes without paths."""

    def setUp(self):
        super().setUp()
        self.table = peer_table.PeerTable("node-0", "zone-a")

    def hear(self, number, **flags):
        self.table.record_contact(
            f"node-{number}",
            addresses.Address(f"10.0.0.{number}", 7340),
            1,
            1,
            flags.pop("is_stopping", False),
            "zone-a",
            **flags,
        )

    def carriers(self, *domains):
        """Return the names of carriers, in some domains or in any."""
        found = self.table.carriers(
            3, lambda domain: not domains or domain in domains
        )
        return {peer.name for peer in found}

    def test_live_nodes_that_reach_endpoints(self):
        self.hear(1)
        self.hear(2, lacks_paths=True)
        self.hear(3, is_stopping=True)
        self.assertEqual({"node-1"}, self.carriers())
        self.assertEqual(set(), self.carriers("zone-b"))
        self.now += 4.0
        self.assertEqual(set(), self.carriers())

    def test_nodes_of_other_pools_if_the_own_one_has_none(self):
        entries = {
            f"node-{n}": registry.NodeEntry(
                addresses.Address(f"10.0.{n % 3}.{n}", 7340),
                f"zone-{'abc'[n % 3]}",
            )
            for n in range(1, 100)
        }
        self.table.add_nodes(entries)
        allowed = self.carriers("zone-b", "zone-x")
        self.assertEqual(
            {"zone-b"}, {entries[n].failure_domain for n in allowed}
        )
        domains = {entries[name].failure_domain for name in self.carriers()}
        self.assertTrue(domains)
        self.assertNotIn("zone-a", domains)
        own = self.table.recipients()[0]
        number = int(own.name.removeprefix("node-"))
        self.hear(number)
        self.assertEqual({own.name}, self.carriers())
