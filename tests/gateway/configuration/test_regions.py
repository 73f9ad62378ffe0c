"""Decisions on the regions of requests."""

import testtools

from fireflyspur.gateway.configuration import regions

_ZONES = {"zone-a": "north", "zone-b": "south", "zone-c": "east"}


class RegionMapTest(testtools.TestCase):
    """Guards against regions that are taken for allowed."""

    def setUp(self):
        super().setUp()
        self.map = regions.RegionMap("north", _ZONES)

    def allowed(self, *names):
        names = frozenset(names)
        domains = [*_ZONES, "zone-x"]
        return [d for d in domains if self.map.allows(names, d)]

    def carriers(self, *names):
        names = frozenset(names)
        domains = [*_ZONES, "zone-x", None]
        return [d for d in domains if self.map.may_carry(names, d)]

    def test_endpoints(self):
        self.assertEqual(["zone-b"], self.allowed("south"))
        self.assertEqual(["zone-a", "zone-c"], self.allowed("east", "north"))
        self.assertEqual([], self.allowed())
        self.assertTrue(self.map.allows(None, "zone-x"))

    def test_nodes_of_the_own_region_may_carry_any_request(self):
        self.assertEqual(["zone-a"], self.carriers())
        self.assertEqual(["zone-a", "zone-b"], self.carriers("south"))
        self.assertTrue(self.map.may_carry(None, None))

    def test_node_that_does_not_know_its_region(self):
        self.map = regions.RegionMap(None, _ZONES)
        self.assertEqual([], self.carriers())
        self.assertEqual(["zone-b"], self.carriers("south"))
