"""Counting of crashes by the parts of prompts."""

import testtools

from fireflyspur.gateway.common import clock
from fireflyspur.gateway.endpoints import part_quarantine
from fireflyspur.generated import peer_updates_pb2 as peer_updates
from tests.support import fake_clock

_SHARED, _CRASHING, _OTHER = 1, 2, 3


class PartQuarantineTest(fake_clock.FakeClockTest):
    """Guards against parts that end engines, and sound ones refused."""

    def setUp(self):
        super().setUp()
        self.rank = 0
        self.sent = peer_updates.PeerUpdate()
        self.parts = part_quarantine.PartQuarantine(
            lambda: self.sent, lambda part: self.rank
        )

    def crash(self, *parts, sent_ago_s=0.1, instance=None):
        """Count a crash, 0.2 s after the one before."""
        self.now += 0.2
        self.parts.record_crash(
            part_quarantine.PartCrash(
                parts,
                instance or f"engine-{self.now}",
                sent_at_s=self.now - sent_ago_s,
                broke_at_s=self.now,
            )
        )

    def crash_thrice(self, *parts):
        for _ in range(3):
            self.crash(*parts)

    def test_part_is_quarantined_after_three_crashes(self):
        self.crash(_CRASHING)
        self.crash(_CRASHING)
        self.assertFalse(self.parts.is_quarantined((_CRASHING,)))
        self.crash(_CRASHING)
        self.assertTrue(self.parts.is_quarantined((_CRASHING, _OTHER)))
        self.assertFalse(self.parts.is_quarantined((_OTHER,)))

    def test_loss_of_many_engines_at_once_counts_once(self):
        for _ in range(5):
            self.crash(_SHARED, sent_ago_s=5.0)
        self.assertFalse(self.parts.is_quarantined((_SHARED,)))

    def test_engines_that_end_shortly_one_after_the_other_count_once(self):
        self.crash(_SHARED)
        self.crash(_SHARED)
        self.now -= 0.17
        # Sent 10 ms before the crash before.
        self.crash(_SHARED, sent_ago_s=0.04)
        self.assertFalse(self.parts.is_quarantined((_SHARED,)))

    def test_one_crash_that_many_requests_report_counts_once(self):
        for _ in range(5):
            self.now -= 0.2
            self.crash(_SHARED, sent_ago_s=0.0, instance="engine-1")
        self.assertFalse(self.parts.is_quarantined((_SHARED,)))

    def test_complete_response_clears_its_parts(self):
        self.crash(_SHARED)
        self.crash(_SHARED)
        self.parts.record_success((_SHARED,))
        self.crash(_SHARED)
        self.assertFalse(self.parts.is_quarantined((_SHARED,)))
        self.assertEqual([_SHARED], list(self.sent.cleared_parts))

    def test_part_that_only_occurs_beside_another_is_not_refused_alone(self):
        self.crash_thrice(_SHARED, _CRASHING)
        self.assertTrue(self.parts.is_quarantined((_SHARED, _CRASHING)))
        self.assertFalse(self.parts.is_quarantined((_SHARED,)))
        self.assertFalse(self.parts.is_quarantined((_SHARED, _OTHER)))

    def test_part_is_refused_beside_any_other_part(self):
        self.crash_thrice(_SHARED, _CRASHING)
        self.crash(_OTHER, _CRASHING)
        self.assertTrue(self.parts.is_quarantined((4, _CRASHING)))

    def test_crashes_far_apart_are_not_counted_together(self):
        for _ in range(4):
            self.crash(_CRASHING)
            self.now += 61.0
        self.assertFalse(self.parts.is_quarantined((_CRASHING,)))

    def test_one_trial_at_a_time_and_later_after_each_crash(self):
        self.crash_thrice(_CRASHING)
        self.now += 59.0
        self.assertTrue(self.parts.is_quarantined((_CRASHING,)))
        self.now += 2.0
        self.assertFalse(self.parts.is_quarantined((_CRASHING,)))
        self.assertTrue(self.parts.is_quarantined((_CRASHING,)))
        self.assertEqual([_CRASHING], list(self.sent.tried_parts))
        self.crash(_CRASHING)
        self.now += 61.0
        self.assertTrue(self.parts.is_quarantined((_CRASHING,)))
        self.now += 60.0
        self.assertFalse(self.parts.is_quarantined((_CRASHING,)))

    def test_trial_is_left_to_the_node_of_the_lowest_rank(self):
        self.crash_thrice(_CRASHING)
        self.rank = 2
        self.now += 61.0
        self.assertTrue(self.parts.is_quarantined((_CRASHING,)))
        self.now += 10.0
        self.assertFalse(self.parts.is_quarantined((_CRASHING,)))

    def test_successful_trial_releases_the_part(self):
        self.crash_thrice(_CRASHING)
        self.parts.record_success((_CRASHING,))
        self.assertFalse(self.parts.is_quarantined((_CRASHING,)))

    def test_node_takes_over_what_another_one_has_quarantined(self):
        self.crash_thrice(_CRASHING)
        other = part_quarantine.PartQuarantine(
            peer_updates.PeerUpdate, lambda part: 0
        )
        for seen in self.parts.describe():
            other.update_from_peer(seen)
        self.assertTrue(other.is_quarantined((_CRASHING,)))

    def test_cleared_part_is_not_taken_over_again(self):
        self.crash_thrice(_CRASHING)
        seen = self.parts.describe()
        self.now += 1.0
        self.parts.clear(_CRASHING)
        for entry in seen:
            entry.crash_ago_ms += 1_000
            self.parts.update_from_peer(entry)
        self.assertFalse(self.parts.is_quarantined((_CRASHING,)))
        # The other node learns that it was cleared.
        self.assertEqual([_CRASHING], list(self.sent.cleared_parts))

    def test_memory_is_bounded(self):
        for part in range(10_050):
            self.parts.add_crash(
                part_quarantine.PartCrash(
                    (part,), "engine", clock.now_s(), clock.now_s()
                )
            )
        self.assertEqual(10_000, len(self.parts._records))


class PartIdsTest(testtools.TestCase):
    """Guards against parts of services that are mistaken for one another."""

    def test_ids_differ_by_service_and_name(self):
        ids = {
            *part_quarantine.part_ids("models", ["a", "b"]),
            *part_quarantine.part_ids("others", ["a", "b"]),
        }
        self.assertEqual(4, len(ids))
