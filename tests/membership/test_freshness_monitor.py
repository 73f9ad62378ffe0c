"""Admission of requests by a node that cannot read the log."""

import time
import types

import testtools

from fireflyspur.admission import exceptions
from fireflyspur.audit import audit_trail
from fireflyspur.membership import freshness_monitor
from fireflyspur.membership import gossiper as gossipers
from fireflyspur.membership import member
from fireflyspur.membership import member_table

State = member.MemberState
BOUND_S = 5.0


def make(name, state=State.ALIVE):
    return member.Member(name, "127.0.0.1", 1, "a", 1000, state)


class FakeGossiper:
    def __init__(self):
        self.failing = set()
        self.succeeded = True

    def most_probes_succeeded(self):
        return self.succeeded


class TestFreshnessMonitor(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.table = member_table.MemberTable(make("own"))
        for name in ("a", "b", "c", "d"):
            self.table.apply(make(name))
        self.follower = types.SimpleNamespace(
            is_loaded=True,
            is_log_reachable=False,
            tail_read_at=time.monotonic() - 10 * BOUND_S,
            catalog=types.SimpleNamespace(offset=7),
        )
        self.gossiper = FakeGossiper()
        self.trail = audit_trail.AuditTrail()
        self.monitor = freshness_monitor.FreshnessMonitor(
            self.follower,
            self.table,
            self.gossiper,
            self.trail,
            BOUND_S,
        )
        self.monitor.heartbeat()

    def report(self, offset, age_s, sent_s_ago=0.0):
        return gossipers.PeerReport(
            make("a"),
            gossipers.Heartbeat(offset, age_s, True),
            time.monotonic() - sent_s_ago,
        )

    def test_node_keeps_admitting_while_the_log_is_down_for_all(self):
        self.gossiper.failing = {"a", "b"}
        self.monitor.check()

    def test_node_that_reaches_half_of_the_members_stops_admitting(self):
        self.table.apply(make("e"))
        self.gossiper.failing = {"a", "b", "c"}
        error = self.assertRaises(
            exceptions.NotAdmittingError, self.monitor.check
        )
        self.assertIn("3 of 6 members", str(error))
        self.assertIsNotNone(error.retry_after_s)

    def test_isolated_node_does_not_become_a_majority_of_one(self):
        """Guards against a majority that counts only the remaining members."""
        for name in ("a", "b", "c", "d"):
            self.table.apply(make(name, State.DEAD))
        self.assertEqual("config_stale", self.monitor.reason)
        self.follower.tail_read_at = time.monotonic()
        self.assertEqual("", self.monitor.reason)
        self.follower.tail_read_at -= 2 * BOUND_S
        self.monitor.remove_unlisted(set())
        self.assertEqual(["own"], self.monitor.voters)

    def test_member_that_left_gracefully_does_not_count(self):
        for name in ("a", "b", "c", "d"):
            self.table.apply(make(name, State.LEAVING))
            self.table.apply(make(name, State.DEAD))
        self.assertEqual("", self.monitor.reason)

    def test_peer_with_the_same_offset_confirms_the_configuration(self):
        self.gossiper.succeeded = False
        self.assertEqual("config_stale", self.monitor.reason)
        self.monitor.confirm(self.report(7, 1.0))
        self.assertEqual("", self.monitor.reason)
        actions = [e.action for e in self.trail.events]
        self.assertEqual(["stopped_admitting", "resumed_admitting"], actions)

    def test_response_read_after_a_pause_does_not_count_as_fresh(self):
        """Guards against an age that excludes a pause of the process."""
        self.gossiper.succeeded = False
        self.monitor.confirm(self.report(7, 0.0, sent_s_ago=2 * BOUND_S))
        self.assertEqual("config_stale", self.monitor.reason)

    def test_configuration_is_stale_if_a_peer_is_ahead(self):
        self.monitor.handle_report(self.report(8, 0.0))
        self.assertIn("could not be fetched", self.monitor.explanation)
