"""Reasons to begin with few requests on an endpoint."""

import dataclasses

from fireflyspur.experiment import example_engine
from fireflyspur.gateway.configuration import routing_config
from fireflyspur.gateway.endpoints import cold_ceiling
from fireflyspur.gateway.endpoints import endpoint as endpoints
from fireflyspur.gateway.endpoints import endpoint_directory
from fireflyspur.gateway.endpoints import slow_starts
from tests.support import fake_clock

_UNIX_OFFSET_S = 1_000_000.0


class SlowStartsTest(fake_clock.FakeClockTest):
    """Guards against full load on endpoints of which nothing is known."""

    def setUp(self):
        super().setUp()
        self.hears = True
        self.directory = endpoint_directory.EndpointDirectory(3.6, 2.5)
        service = routing_config.Service(
            "models", None, routing_config.ColdSpec(3.0, 14.0)
        )
        self.ceiling = cold_ceiling.ColdCeiling(
            lambda _: service,
            lambda: cold_ceiling.ColdBounds(1.5, 5),
            self.directory.find_named,
            lambda _: True,
            lambda: cold_ceiling.PoolSize(1),
            "node-1",
            self.unix_now_s,
        )
        self.beginnings = self.make()
        self.endpoint = self.list_one(age_s=100.0)

    def unix_now_s(self):
        return self.now + _UNIX_OFFSET_S

    def make(self):
        return slow_starts.SlowStarts(
            self.directory,
            self.ceiling,
            lambda: self.hears,
            self.unix_now_s,
        )

    def list_one(self, age_s):
        self.now += 0.1
        endpoint = dataclasses.replace(
            example_engine.endpoint(0),
            born_ms=round((self.unix_now_s() - age_s) * 1000),
        )
        self.directory.replace(endpoints.EndpointList((endpoint,), self.now))
        return endpoint

    def reason(self):
        beginning = self.beginnings.find(self.endpoint)
        return None if beginning is None else beginning.reason

    def test_endpoint_in_use_has_none(self):
        self.assertIsNone(self.reason())

    def test_new_endpoint(self):
        self.endpoint = self.list_one(age_s=4.0)
        beginning = self.beginnings.find(self.endpoint)
        self.assertEqual("new", beginning.reason)
        self.assertAlmostEqual(self.now - 4.0, beginning.at_s, places=2)
        self.now += 1.1
        self.assertIsNone(self.reason())

    def test_fault_counts_until_a_success(self):
        self.directory.record_fault(self.endpoint.instance, "test")
        self.now += 60.0
        self.assertEqual("fault", self.reason())
        self.directory.record_success(self.endpoint.instance)
        self.assertIsNone(self.reason())

    def test_faults_of_lost_paths_are_forgotten(self):
        self.directory.record_fault(self.endpoint.instance, "test")
        self.directory.forget_faults(self.now - 1.0)
        self.assertIsNone(self.reason())

    def test_endpoint_that_turns_cold_after_a_fault(self):
        self.directory.record_fault(self.endpoint.instance, "test")
        self.now += 1.0
        self.ceiling.record_entry(
            dataclasses.replace(self.endpoint, cold_ms=2_000), self.now
        )
        beginning = self.beginnings.find(self.endpoint)
        self.assertEqual("cold", beginning.reason)
        self.assertTrue(beginning.is_cold)
        self.now += 2.1
        self.assertEqual("fault", self.reason())

    def test_node_that_has_heard_a_peer_trusts_endpoints(self):
        # A node that joins a running fleet must not slow it down.
        self.beginnings = self.make()
        self.assertIsNone(self.reason())

    def test_restart_of_all_nodes(self):
        self.hears = False
        self.beginnings = self.make()
        self.assertEqual("node started", self.reason())
        self.hears = True
        self.assertIsNone(self.reason())

    def test_node_that_hears_nobody_later_keeps_what_it_knows(self):
        self.now += 60.0
        self.hears = False
        self.assertIsNone(self.reason())
