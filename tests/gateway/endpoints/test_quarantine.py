"""Counting of crashes by requests that callers repeat."""

from fireflyspur.gateway.endpoints import quarantine
from fireflyspur.generated import peer_updates_pb2 as peer_updates
from tests.support import fake_clock

_REQUEST = "f1"


class QuarantineTest(fake_clock.FakeClockTest):
    """Guards against requests that end endpoints, and sound ones refused."""

    def setUp(self):
        super().setUp()
        self.sent = peer_updates.PeerUpdate()
        self.requests = quarantine.Quarantine(lambda: self.sent)

    def crash(self, sent_ago_s=0.1, instance=None, *, is_reported=False):
        """Count a crash, 0.2 s after the one before."""
        self.now += 0.2
        crash = quarantine.RequestCrash(
            _REQUEST,
            instance or f"desk-{self.now}",
            sent_at_s=self.now - sent_ago_s,
            broke_at_s=self.now,
            is_reported=is_reported,
        )
        if is_reported:
            self.requests.add(crash)
        else:
            self.requests.record_crash(crash)

    def is_quarantined(self):
        return self.requests.is_quarantined(_REQUEST)

    def test_request_is_quarantined_after_two_crashes(self):
        self.crash()
        self.assertFalse(self.is_quarantined())
        self.crash()
        self.assertTrue(self.is_quarantined())
        self.assertFalse(self.requests.is_quarantined("f2"))
        self.assertEqual(2, len(self.sent.crashes))

    def test_endpoint_that_is_back_and_crashes_again_counts(self):
        self.crash(instance="desk-1")
        self.crash(instance="desk-1")
        self.assertTrue(self.is_quarantined())

    def test_quarantine_ends_after_a_while(self):
        self.crash()
        self.crash()
        self.now += 61.0
        self.assertFalse(self.is_quarantined())

    def test_complete_response_between_crashes_clears_a_request(self):
        self.crash()
        self.requests.record_success(_REQUEST)
        self.crash()
        self.assertFalse(self.is_quarantined())
        self.assertEqual([_REQUEST], list(self.sent.cleared_requests))
        self.requests.record_success("f2")
        self.assertEqual(1, len(self.sent.cleared_requests))

    def test_response_that_another_node_got_clears_a_request(self):
        self.crash()
        self.crash()
        self.requests.clear(_REQUEST)
        self.assertFalse(self.is_quarantined())

    def test_loss_of_many_endpoints_at_once_counts_once(self):
        for _ in range(5):
            self.crash(sent_ago_s=5.0)
        self.assertFalse(self.is_quarantined())

    def test_endpoints_that_end_shortly_one_after_the_other_count_once(self):
        self.crash(sent_ago_s=0.1)
        self.now -= 0.17
        # Sent 10 ms before the crash before.
        self.crash(sent_ago_s=0.04)
        self.assertFalse(self.is_quarantined())

    def test_crash_that_does_not_count_is_not_reported_to_other_nodes(self):
        self.crash()
        self.now -= 0.17
        self.crash(sent_ago_s=0.04)
        self.assertEqual(1, len(self.sent.crashes))

    def test_reports_of_other_nodes_may_have_been_under_way(self):
        self.crash(is_reported=True)
        self.now -= 0.17
        # Sent 10 ms before the time at which the report arrived.
        self.crash(sent_ago_s=0.04)
        self.assertTrue(self.is_quarantined())

    def test_one_crash_that_many_nodes_report_counts_once(self):
        for _ in range(5):
            self.now -= 0.2
            self.crash(sent_ago_s=0.0, instance="desk-1")
        self.assertFalse(self.is_quarantined())

    def test_memory_is_bounded(self):
        for number in range(10_100):
            self.requests.record_crash(
                quarantine.RequestCrash(f"f{number}", "desk-1", 1.0, 2.0)
            )
        self.assertEqual(10_000, len(self.requests._records))
