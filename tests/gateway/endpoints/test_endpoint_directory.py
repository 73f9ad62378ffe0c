"""Endpoints that may get requests."""

import dataclasses

from fireflyspur.experiment import example_engine
from fireflyspur.gateway.endpoints import endpoint as endpoints
from fireflyspur.gateway.endpoints import endpoint_directory
from tests.support import fake_clock

_SERVICE = example_engine.SERVICE


class EvacuatedTest(fake_clock.FakeClockTest):
    """Guards against the choice of an endpoint that is evacuated."""

    def setUp(self):
        super().setUp()
        self.directory = endpoint_directory.EndpointDirectory(3.6, 2.5)
        self.read("zone-a", "zone-b", "zone-a")

    def read(self, *domains):
        listed = [
            dataclasses.replace(
                example_engine.endpoint(number), failure_domain=domain
            )
            for number, domain in enumerate(domains)
        ]
        self.directory.replace(endpoints.EndpointList(tuple(listed), self.now))

    def assert_usable(self, *numbers):
        names = {f"engine-{n}" for n in numbers}
        directory = self.directory
        for found in (directory.ready(_SERVICE), directory.usable()):
            self.assertEqual(names, {e.instance for e in found})
        available = filter(directory.is_available, directory.instances)
        self.assertEqual(names, set(available))

    def test_domains_are_left_out_and_come_back(self):
        self.assert_usable(0, 1, 2)
        self.directory.set_evacuated(frozenset(("zone-b",)))
        self.assert_usable(0, 2)
        self.assertIsNotNone(self.directory.find_named("engine-1"))
        self.directory.set_evacuated(frozenset(("zone-a", "zone-b")))
        self.assert_usable()
        self.directory.set_evacuated(frozenset())
        self.assert_usable(0, 1, 2)

    def test_endpoints_that_start_in_an_evacuated_domain(self):
        self.directory.set_evacuated(frozenset(("zone-b",)))
        self.now += 1.0
        self.read("zone-a", "zone-b", "zone-a", "zone-b")
        self.assert_usable(0, 2)

    def test_reason_why_a_service_has_no_endpoint(self):
        self.assertFalse(self.directory.has_evacuated(_SERVICE))
        self.directory.set_evacuated(frozenset(("zone-b",)))
        self.assertTrue(self.directory.has_evacuated(_SERVICE))
        self.assertFalse(self.directory.has_evacuated("other"))
