"""Assignment of nodes and endpoints to pools."""

import collections
import dataclasses

import hypothesis
from hypothesis import strategies
import testtools

from fireflyspur.experiment import example_engine
from fireflyspur.gateway.fleet import pool_map

_DOMAINS = ("zone-a", "zone-b", "zone-c")
# Nodes that exchange all their updates; more cost too much.
_MOST_NODES = 64


def pools_of(count, domains=_DOMAINS, name="node-0"):
    pools = pool_map.PoolMap(name, domains[0])
    pools.set_nodes(
        {f"node-{n}": domains[n % len(domains)] for n in range(count)}
    )
    return pools


def endpoint(number, domain):
    return dataclasses.replace(
        example_engine.endpoint(number), failure_domain=domain
    )


class PoolMapTest(testtools.TestCase):
    """Guards against an exchange between nodes that grows with the fleet."""

    def test_small_fleet_is_one_pool(self):
        pools = pools_of(40)
        self.assertEqual((), pools.others)
        self.assertEqual(40, len(pools.members(pools.own)))
        self.assertEqual(
            pools.own, pools.pool_of_endpoint(endpoint(1, "zone-c"))
        )

    def test_large_fleet_has_a_pool_for_each_failure_domain(self):
        pools = pools_of(120)
        self.assertEqual("zone-a", pools.own.failure_domain)
        self.assertEqual(2, len(pools.others))
        for number in range(20):
            found = pools.pool_of_endpoint(endpoint(number, "zone-b"))
            self.assertEqual(pool_map.Pool("zone-b", 0), found)

    def test_pools_stay_small_at_any_size(self):
        for count in (60, 195, 350, 1_000, 2_000):
            pools = pools_of(count)
            sizes = [
                len(pools.members(pool)) for pool in (pools.own, *pools.others)
            ]
            self.assertEqual(count, sum(sizes))
            self.assertLess(max(sizes), _MOST_NODES)

    def test_engines_of_a_domain_without_nodes_are_in_a_pool(self):
        pools = pools_of(120)
        found = collections.Counter(
            pools.pool_of_endpoint(endpoint(n, "zone-without"))
            for n in range(60)
        )
        self.assertEqual({pools.own, *pools.others}, set(found))

    def test_node_that_comes_moves_no_other(self):
        pools = pools_of(1_000)
        before = {
            f"node-{n}": pools.pool_of_node(f"node-{n}") for n in range(1_000)
        }
        revision = pools.revision
        pools.set_node("late", "zone-a")
        after = {name: pools.pool_of_node(name) for name in before}
        self.assertEqual(before, after)
        self.assertEqual(revision, pools.revision)
        self.assertIn("late", pools.members(pools.pool_of_node("late")))

    @hypothesis.settings(max_examples=20, deadline=None)
    @hypothesis.given(strategies.permutations(range(120)))
    def test_order_in_which_nodes_become_known_is_irrelevant(self, order):
        pools = pool_map.PoolMap("node-0", "zone-a")
        for number in order:
            pools.set_node(f"node-{number}", _DOMAINS[number % 3])
        expected = pools_of(120)
        self.assertEqual(expected.own, pools.own)
        self.assertEqual(expected.others, pools.others)
        for pool in (pools.own, *pools.others):
            self.assertEqual(
                set(expected.members(pool)), set(pools.members(pool))
            )
