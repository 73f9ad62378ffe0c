"""When a leaving endpoint gets requests again."""

import unittest.mock

import testtools

from fireflyspur.routing import leaving_endpoints

ADDRESS = ("127.0.0.1", 7)
ENDPOINT = leaving_endpoints.Source.ENDPOINT
PEER = leaving_endpoints.Source.PEER
VM_LIST = leaving_endpoints.Source.VM_LIST


class TestLeavingEndpoints(testtools.TestCase):
    """Guards against requests to endpoints that are still leaving."""

    def setUp(self):
        super().setUp()
        self.now = 1000.0
        self.enterContext(
            unittest.mock.patch.object(
                leaving_endpoints.time, "monotonic", lambda: self.now
            )
        )
        self.leaving = leaving_endpoints.LeavingEndpoints()

    def is_leaving_after_report(self, sampled_at=None, incarnation="5"):
        self.leaving.clear_by_report(ADDRESS, incarnation, sampled_at)
        return self.leaving.is_leaving(ADDRESS)

    def test_later_report_of_same_process_clears_endpoint(self):
        self.leaving.mark(ADDRESS, ENDPOINT, "5", 10.0)
        self.assertTrue(self.is_leaving_after_report(10.0))
        self.assertTrue(self.is_leaving_after_report(9.0))
        self.assertFalse(self.is_leaving_after_report(10.2))

    def test_delayed_report_does_not_clear_after_refusal(self):
        """Guards against requests to an engine that has just refused one."""
        self.leaving.mark(ADDRESS, ENDPOINT, "5")
        self.now += 3.0
        self.assertTrue(self.is_leaving_after_report(99.0))
        self.now += 3.0
        self.assertFalse(self.is_leaving_after_report(99.0))

    def test_restarted_engine_is_cleared_at_once(self):
        self.leaving.mark(ADDRESS, ENDPOINT, "5", 10.0)
        self.assertTrue(self.is_leaving_after_report(99.0, "4"))
        self.assertFalse(self.is_leaving_after_report(0.0, "6"))

    def test_peer_signal_stays_until_vm_list_was_read(self):
        self.leaving.mark(ADDRESS, PEER)
        self.now += 6.0
        self.assertTrue(self.is_leaving_after_report(99.0))
        self.now += 10.0
        self.assertFalse(self.is_leaving_after_report(99.0))

    def test_report_does_not_clear_vm_list_signal(self):
        """Guards against requests to a VM that is about to stop."""
        self.leaving.mark(ADDRESS, PEER)
        self.leaving.mark(ADDRESS, VM_LIST)
        self.now += 1000.0
        self.assertTrue(self.is_leaving_after_report(99.0, "6"))
        self.assertEqual([], self.leaving.expire())
        self.leaving.clear(ADDRESS)
        self.assertFalse(self.leaving.is_leaving(ADDRESS))

    def test_endpoint_without_reports_expires_after_a_minute(self):
        """Guards against a service endpoint that stays marked forever."""
        self.leaving.mark(ADDRESS, ENDPOINT)
        self.now += 50.0
        self.assertEqual([], self.leaving.expire())
        self.leaving.mark(ADDRESS, PEER)
        self.now += 50.0
        self.assertEqual([], self.leaving.expire())
        self.now += 11.0
        self.assertEqual([ADDRESS], self.leaving.expire())
        self.assertFalse(self.leaving.is_leaving(ADDRESS))
