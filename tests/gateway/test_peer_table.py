"""Detection of live, restarted and silent nodes."""

from unittest import mock

import testtools

from fireflyspur.gateway import address as addresses
from fireflyspur.gateway import clock
from fireflyspur.gateway import peer_table

_ADDRESS = addresses.Address("10.0.0.2", 7340)


class PeerTableTest(testtools.TestCase):
    """Guards against the use of datagrams of ended processes."""

    def setUp(self):
        super().setUp()
        self.now = 100.0
        patch = mock.patch.object(clock, "now_s", lambda: self.now)
        patch.start()
        self.addCleanup(patch.stop)
        self.table = peer_table.PeerTable("node-1")

    def receive(self, incarnation, number, is_stopping=False):
        return self.table.record_contact(
            "node-2", _ADDRESS, incarnation, number, is_stopping
        )

    def test_datagram_out_of_order_is_stale(self):
        self.assertTrue(self.receive(7, 2).is_new)
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
        self.table.set_address("node-2", _ADDRESS)
        self.assertEqual(1, len(self.table.recipients()))
        self.now += 20.0
        self.assertEqual([], self.table.recipients())
