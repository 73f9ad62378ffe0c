"""Precedence of updates about members."""

import dataclasses

import testtools

from fireflyspur.membership import member
from fireflyspur.membership import member_table
from fireflyspur.membership import update_queue

State = member.MemberState


def make(name, incarnation=1000, state=State.ALIVE, domain="a"):
    return member.Member(name, "127.0.0.1", 1, domain, incarnation, state)


class TestMemberTable(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.table = member_table.MemberTable(make("own"))

    def test_suspicion_of_this_node_is_refuted(self):
        self.table.apply(make("own", 1000, State.SUSPECT))
        self.assertEqual(1001, self.table.own.incarnation)

    def test_old_suspicion_does_not_replace_a_refutation(self):
        self.table.apply(make("x", 1001))
        self.assertFalse(self.table.apply(make("x", 1000, State.SUSPECT)))
        self.assertFalse(self.table.apply(make("x", 1000, State.DEAD)))
        self.assertEqual(["own", "x"], self.table.live_names())

    def test_restarted_node_replaces_its_dead_process(self):
        self.table.apply(make("x", 1000, State.DEAD))
        self.assertTrue(self.table.is_dead("x", 1000))
        self.assertTrue(self.table.apply(make("x", 60_000)))
        self.assertEqual(["own", "x"], self.table.live_names())
        self.assertTrue(self.table.is_dead("x", 1000))
        self.assertFalse(self.table.is_dead("x", 60_000))

    def test_node_that_refuted_does_not_count_as_restarted(self):
        """Guards against the cancellation of a live node's reservations."""
        self.table.apply(make("x", 1001))
        self.assertFalse(self.table.is_dead("x", 1000))

    def test_restarted_node_with_earlier_clock_exceeds_old_incarnation(self):
        self.table.apply(make("own", 5000))
        self.assertEqual(5001, self.table.own.incarnation)

    def test_leaving_member_owns_nothing(self):
        self.table.apply(make("x", 1000, State.LEAVING))
        self.assertEqual(["own"], self.table.live_names())
        self.assertIn("x", [m.name for m in self.table.members()])
        self.assertFalse(self.table.apply(make("x", 1000, State.SUSPECT)))

    def test_dead_member_stays_dead_if_the_vm_list_shows_it(self):
        self.table.apply(make("x", 1000, State.DEAD))
        self.table.set_candidates([make("x", 0)])
        self.assertEqual(["own"], self.table.live_names())

    def test_messages_have_at_most_ten_updates_with_a_send_limit(
        self,
    ):
        for number in range(25):
            self.table.apply(make(f"m{number:02}"))
        sent = []
        while updates := self.table.take_updates():
            self.assertLessEqual(len(updates), update_queue.MAX_UPDATES)
            sent += [u.name for u in updates]
        limit = update_queue.send_limit(26)
        self.assertEqual({limit}, {sent.count(n) for n in set(sent)})
        self.assertEqual(25, len(set(sent)))

    def test_newer_update_replaces_a_queued_one(self):
        self.table.apply(make("x"))
        dead = dataclasses.replace(make("x"), state=State.DEAD)
        self.table.apply(dead)
        self.assertEqual([dead], self.table.take_updates())
