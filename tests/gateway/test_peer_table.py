"""Which nodes a node takes for running."""

from unittest import mock

import testtools

from fireflyspur.gateway import address as addresses
from fireflyspur.gateway import clock
from fireflyspur.gateway import peer_table

_ADDRESS = addresses.Address("10.0.0.2", 7340)


class PeerTableTest(testtools.TestCase):
    """Guards against news of processes that have ended."""

    def setUp(self):
        super().setUp()
        self.now = 100.0
        patch = mock.patch.object(clock, "now_s", lambda: self.now)
        patch.start()
        self.addCleanup(patch.stop)
        self.table = peer_table.PeerTable("node-1")

    def hear(self, incarnation, number, is_stopping=False):
        return self.table.record_contact(
            "node-2", _ADDRESS, incarnation, number, is_stopping
        )

    def test_datagrams_out_of_order(self):
        self.assertTrue(self.hear(7, 2).is_new)
        self.assertTrue(self.hear(7, 1).is_stale)
        self.assertFalse(self.hear(7, 3).is_stale)

    def test_restart_and_late_datagrams_of_the_former_process(self):
        self.hear(7, 50)
        # Incarnations are drawn at random: a later one may be smaller.
        self.assertTrue(self.hear(3, 1).is_restarted)
        self.assertTrue(self.hear(7, 51).is_stale)
        self.assertFalse(self.hear(3, 2).is_stale)

    def test_silent_and_stopping_nodes_do_not_count_as_live(self):
        self.hear(7, 1)
        self.assertEqual(["node-1", "node-2"], self.table.live_names())
        self.now += 4.0
        self.assertEqual(["node-1"], self.table.live_names())
        self.assertEqual(2, self.table.fleet_size())
        self.hear(7, 2, is_stopping=True)
        self.assertEqual(["node-1"], self.table.live_names())

    def test_node_that_is_gone_is_told_nothing_after_a_while(self):
        self.table.set_address("node-2", _ADDRESS)
        self.assertEqual(1, len(self.table.recipients()))
        self.now += 20.0
        self.assertEqual([], self.table.recipients())
