"""Pools of nodes and endpoints that share their load."""

import collections
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import hashlib

from fireflyspur.gateway.endpoints import endpoint as endpoints

# Nodes that exchange each change of their load. The cost for a node grows with
# this number, and not with the size of the fleet.
_MAX_POOL_NODES = 48


@dataclasses.dataclass(frozen=True, order=True)
class Pool:
    """Nodes and endpoints of one failure domain, or a part of them.

    :param failure_domain: empty if one pool holds the whole fleet
    :param index: number of the part
    """

    failure_domain: str = ""
    index: int = 0


class PoolMap:
    """Assigns the nodes and the endpoints of the fleet to pools.

    A small fleet is one pool. In a larger one, each failure domain is a pool,
    or several if it has many nodes. Assignments depend on names only, so a
    node or an endpoint that comes or goes moves no other one, unless it makes
    the number of pools change. Nodes need not agree on them at each moment: a
    node that another one counts elsewhere only misses updates.

    :param name: name of this node
    :param failure_domain: failure domain of this node
    """

    def __init__(self, name: str, failure_domain: str) -> None:
        self._name = name
        self._domains = {name: failure_domain}
        self._part_counts: dict[str, int] = {}
        self._members: dict[Pool, list[str]] = {}
        self._own = Pool()
        self._others: tuple[Pool, ...] = ()
        self._revision = 0
        self._assign_all()

    @property
    def own(self) -> Pool:
        """Pool of this node."""
        return self._own

    @property
    def others(self) -> tuple[Pool, ...]:
        """All other pools that have nodes."""
        return self._others

    @property
    def revision(self) -> int:
        """Number that changes when endpoints may have changed their pool."""
        return self._revision

    def set_node(self, name: str, failure_domain: str) -> None:
        """Set the failure domain of a node."""
        self.set_nodes({name: failure_domain})

    def set_nodes(self, failure_domains: Mapping[str, str]) -> None:
        """Set the failure domains of nodes, by name."""
        changed = {
            name: domain
            for name, domain in failure_domains.items()
            if self._domains.get(name) != domain
        }
        if not changed:
            return
        is_addition = self._domains.keys().isdisjoint(changed)
        self._domains.update(changed)
        if not is_addition or self._count_parts() != self._part_counts:
            self._assign_all()
            return
        for name, domain in changed.items():
            self._members.setdefault(self._pool(domain, name), []).append(name)
        self._others = self._find_others()

    def members(self, pool: Pool) -> Sequence[str]:
        """Return the names of the nodes of a pool."""
        return self._members.get(pool, ())

    def domain_of_node(self, name: str) -> str | None:
        """Return the failure domain of a node, or None if not known."""
        return self._domains.get(name)

    def pool_of_node(self, name: str) -> Pool | None:
        """Return the pool of a node, or None if the node is not known."""
        domain = self._domains.get(name)
        return None if domain is None else self._pool(domain, name)

    def pool_of_endpoint(self, endpoint: endpoints.Endpoint) -> Pool:
        """Return the pool of an endpoint.

        An endpoint in a failure domain without nodes belongs to a pool of
        another one.
        """
        if not self._part_counts:
            return Pool()
        domain = endpoint.failure_domain
        if domain not in self._part_counts:
            domains = sorted(self._part_counts)
            domain = domains[_digest(endpoint.instance) % len(domains)]
        return self._pool(domain, endpoint.instance)

    def _assign_all(self) -> None:
        self._part_counts = self._count_parts()
        self._members = {}
        for name, domain in self._domains.items():
            self._members.setdefault(self._pool(domain, name), []).append(name)
        self._own = self._pool(self._domains[self._name], self._name)
        self._others = self._find_others()
        self._revision += 1

    def _count_parts(self) -> dict[str, int]:
        """Return the number of pools of each failure domain.

        :returns: empty if one pool holds the whole fleet
        """
        if len(self._domains) <= _MAX_POOL_NODES:
            return {}
        nodes = collections.Counter(self._domains.values())
        return {domain: _part_count(n) for domain, n in nodes.items()}

    def _find_others(self) -> tuple[Pool, ...]:
        return tuple(sorted(self._members.keys() - {self._own}))

    def _pool(self, domain: str, name: str) -> Pool:
        if not self._part_counts:
            return Pool()
        return Pool(domain, _digest(name) % self._part_counts[domain])


def _part_count(nodes: int) -> int:
    """Return a power of two, so that a further pool only halves others."""
    count = 1
    while nodes / count > _MAX_POOL_NODES:
        count *= 2
    return count


def _digest(name: str) -> int:
    digest = hashlib.blake2b(name.encode(), digest_size=8).digest()
    return int.from_bytes(digest)
