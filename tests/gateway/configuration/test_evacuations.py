"""Decisions on evacuated failure domains."""

from fireflyspur.gateway.configuration import evacuation_sync
from fireflyspur.gateway.configuration import evacuations
from tests.support import captured_logs
from tests.support import fake_clock

_BOUND_S = 5.0
_OUTER_S = 6.0
_HOLD_S = 10.0


def state(epoch, position, *domains):
    return evacuations.EvacuationState(epoch, position, frozenset(domains))


class _KnownTest(fake_clock.FakeClockTest):
    def setUp(self):
        super().setUp()
        self.changes = []
        self.reads = 0
        self.known = self.make()

    def make(self):
        known = evacuations.Evacuations(self.changes.append)
        known.set_bounds(_BOUND_S, _OUTER_S)
        return known

    def read(self, *args, age_s=0.0):
        return self.known.update_from_store(state(*args), self.now - age_s)

    def hear(self, *args, age_s=0.0):
        self.reads += 1
        read = evacuations.StoreRead(self.now - age_s, self.reads)
        self.known.update_from_peer(state(*args), read)

    def assert_evacuated(self, *domains):
        self.assertEqual(set(domains), self.known.in_force)


class OrderTest(_KnownTest):
    """Guards against requests to a domain that was evacuated later.

    What other nodes say arrives late, twice or not in order.
    """

    def test_later_position_replaces_an_earlier_one(self):
        self.read(0, 5)
        self.hear(0, 6, "b")
        self.assert_evacuated("b")
        self.hear(0, 5)
        self.assert_evacuated("b")
        self.hear(0, 7)
        self.assert_evacuated()

    def test_earlier_position_does_not_refresh_the_age(self):
        self.read(0, 6, "b")
        self.now += 3.0
        self.hear(0, 5)
        self.assertEqual(3.0, self.known.age_s())
        self.hear(0, 6, "b", age_s=0.5)
        self.assertEqual(0.5, self.known.age_s())
        self.hear(0, 6, "b", age_s=1.0)
        self.assertEqual(0.5, self.known.age_s())

    def test_later_epoch_replaces_a_higher_position(self):
        self.read(0, 100)
        self.hear(1, 3, "b")
        self.assert_evacuated("b")
        self.hear(0, 101)
        self.assert_evacuated("b")

    def test_domains_begin_and_end_on_their_own(self):
        self.read(0, 1, "a")
        self.read(0, 2, "a", "b")
        self.assert_evacuated("a", "b")
        self.read(0, 3, "b")
        self.assert_evacuated("b")
        self.read(0, 4)
        self.assert_evacuated()
        expected = [{"a"}, {"a", "b"}, {"b"}, set()]
        self.assertEqual(expected, self.changes)

    def test_change_that_this_node_read_first_is_to_be_told(self):
        self.assertFalse(self.read(0, 1))
        self.assertTrue(self.read(0, 2, "a"))
        self.assertFalse(self.read(0, 3, "a"))
        self.hear(0, 4)
        self.assertFalse(self.read(0, 4))

    def test_begin_and_end_are_logged_with_the_age(self):
        with captured_logs.capture() as records:
            self.read(0, 1, "a", age_s=0.4)
            self.read(0, 2, age_s=0.0)
        found = [
            (r["message"], r["extra"]["domain"], r["extra"]["age_s"])
            for r in records
        ]
        expected = [
            ("Evacuation begun", "a", 0.4),
            ("Evacuation ended", "a", 0.0),
        ]
        self.assertEqual(expected, found)

    def test_nothing_is_in_force_without_a_bound(self):
        self.known.set_bounds(None, _OUTER_S)
        self.read(0, 1, "a")
        self.assert_evacuated()
        self.assertEqual(float("inf"), self.known.remaining_s(0))
        self.known.set_bounds(_BOUND_S, _OUTER_S)
        self.assert_evacuated("a")


class RestoreTest(_KnownTest):
    """Guards against requests to a domain as the store lost a record."""

    def setUp(self):
        super().setUp()
        self.read(0, 5, "b")
        self.now += 1.0

    def test_domain_stays_evacuated_until_operators_can_repeat_it(self):
        self.read(1, 3)
        self.assert_evacuated("b")
        self.now += _HOLD_S - 0.1
        self.known.refresh()
        self.assert_evacuated("b")
        self.now += 0.2
        self.known.refresh()
        self.assert_evacuated()

    def test_repeated_evacuation_goes_on(self):
        self.read(1, 3)
        self.read(1, 4, "b")
        self.now += 2 * _HOLD_S
        self.known.refresh()
        self.assert_evacuated("b")
        self.read(1, 5)
        self.assert_evacuated()

    def test_evacuation_of_the_copy_is_in_force_at_once(self):
        self.read(1, 3, "c")
        self.assert_evacuated("b", "c")

    def test_second_restore_keeps_what_the_first_one_kept(self):
        self.read(1, 3, "c")
        self.now += _HOLD_S / 2
        self.read(2, 2)
        self.now += _HOLD_S / 2 + 1
        self.known.refresh()
        self.assert_evacuated("b", "c")
        self.now += _HOLD_S / 2
        self.known.refresh()
        self.assert_evacuated()

    def test_node_that_starts_afterwards_learns_what_is_kept(self):
        self.read(1, 3)
        seen = evacuation_sync.EvacuationSync(self.known).describe()
        started = self.make()
        started.update_from_store(state(1, 3), self.now)
        self.now += 4.0
        evacuation_sync.EvacuationSync(started).update_from_peer(seen, 0.0)
        self.assertEqual({"b"}, started.in_force)
        # It holds as long as at the other nodes, and not longer.
        self.now += _HOLD_S - 4.0
        started.refresh()
        self.assertEqual(set(), started.in_force)

    def test_nodes_do_not_prolong_what_they_keep_by_telling_each_other(self):
        self.read(1, 3)
        other = self.make()
        other.update_from_store(state(0, 5, "b"), self.now)
        syncs = [
            evacuation_sync.EvacuationSync(known)
            for known in (self.known, other)
        ]
        for _ in range(int(_HOLD_S)):
            self.now += 1.0
            for sender, receiver in (syncs, reversed(syncs)):
                seen = sender.describe()
                receiver.update_from_peer(seen, 0.3)
        self.now += 0.5
        for known in (self.known, other):
            known.refresh()
            self.assertEqual(set(), known.in_force)


class AgeTest(_KnownTest):
    """Guards against nodes that do not notice that they hear nothing."""

    def test_every_node_reads_early_enough_for_a_second_call(self):
        call_s, pause_s = 1.0, 0.2
        for rank in range(400):
            self.read(0, 5)
            due_s = self.known.remaining_s(rank)
            self.assertGreater(due_s, self.known.wait_s())
            self.assertLess(due_s + 2 * call_s + pause_s, _BOUND_S)

    def test_first_ranks_read_before_the_others(self):
        self.read(0, 5)
        due_s = [self.known.remaining_s(rank) for rank in range(3)]
        self.assertEqual(sorted(set(due_s)), due_s)

    def test_state_that_is_not_dated_leaves_the_age(self):
        self.read(0, 5)
        self.now += 2.0
        self.known.update_from_peer(state(0, 6, "b"), None)
        self.assert_evacuated("b")
        self.assertEqual(2.0, self.known.age_s())

    def test_store_that_answers_with_less_is_not_called_in_a_row(self):
        # A store that fell back without a new epoch.
        self.read(0, 5, "b")
        self.now += 4.0
        self.read(0, 2)
        self.assert_evacuated("b")
        self.assertGreater(self.known.remaining_s(0), 1.0)
        self.assertEqual(4.0, self.known.age_s())

    def test_state_beyond_all_bounds_is_logged(self):
        self.read(0, 5)
        with captured_logs.capture() as records:
            for _ in range(3):
                self.now += (_BOUND_S + _OUTER_S) / 2
                self.known.refresh()
            self.read(0, 5)
        messages = [r["message"] for r in records]
        self.assertEqual(
            ["Evacuations outdated", "Evacuations current"], messages
        )


class SyncTest(_KnownTest):
    """Guards against old news that is taken for fresh."""

    def setUp(self):
        super().setUp()
        self.other = self.make()
        self.sync = evacuation_sync.EvacuationSync(self.known)
        self.other_sync = evacuation_sync.EvacuationSync(self.other)

    def test_sender_that_was_suspended_before_it_sent(self):
        self.read(0, 5)
        self.other.update_from_store(state(0, 5), self.now)
        seen = self.other_sync.describe()
        self.now += 30.0
        self.sync.update_from_peer(seen, 0.0)
        self.assertEqual(30.0, self.known.age_s())

    def test_clock_of_the_sender_differs(self):
        self.other.update_from_store(state(0, 5, "b"), self.now)
        seen = self.other_sync.describe()
        offset_s = 5_000.0
        self.now += offset_s + 2.0
        self.sync.update_from_peer(seen, offset_s)
        self.assertEqual(2.0, self.known.age_s())
        self.assert_evacuated("b")

    def test_first_datagram_of_a_process_is_not_dated(self):
        self.other.update_from_store(state(0, 5, "b"), self.now)
        self.sync.update_from_peer(self.other_sync.describe(), None)
        self.assert_evacuated("b")
        self.assertEqual(float("inf"), self.known.age_s())
        # It may be passed on, also not dated.
        third = self.make()
        evacuation_sync.EvacuationSync(third).update_from_peer(
            self.sync.describe(), 0.0
        )
        self.assertEqual({"b"}, third.in_force)
        self.assertEqual(float("inf"), third.age_s())

    # Each of many nodes passes on what it hears, later by the time that
    # datagrams take, so that nobody would read the store any more.
    def test_age_grows_while_nodes_repeat_one_read(self):
        transit_s = 0.02
        nodes = [self.make() for _ in range(48)]
        nodes[0].update_from_store(state(0, 5), self.now)
        for turn in range(48 * 20):
            sender = evacuation_sync.EvacuationSync(nodes[turn % 48])
            seen = sender.describe()
            self.now += 1 / 48
            for receiver in nodes:
                if seen is not None:
                    evacuation_sync.EvacuationSync(receiver).update_from_peer(
                        seen, transit_s
                    )
        youngest_s = min(known.age_s() for known in nodes)
        self.assertGreater(youngest_s, 20.0 - 2 * transit_s)

    def test_nothing_is_told_without_a_bound(self):
        self.known.set_bounds(None, _OUTER_S)
        self.read(0, 5, "b")
        self.assertIsNone(self.sync.describe())
