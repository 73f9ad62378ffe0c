"""Regions in which requests may be processed."""

from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses

from fireflyspur.gateway.configuration import routing_config


@dataclasses.dataclass(frozen=True)
class RegionMap:
    """Regions of the failure domains.

    :param own: region of this node, or None if it is not known
    :param by_domain: region of each failure domain
    """

    own: str | None = None
    by_domain: Mapping[str, str] = dataclasses.field(default_factory=dict)

    def allows(self, allowed: frozenset[str] | None, domain: str) -> bool:
        """Return whether a request may be processed in a failure domain.

        A domain whose region is not known is in none that is allowed.

        :param allowed: regions of the request, or None for any
        """
        return allowed is None or self.by_domain.get(domain) in allowed

    def may_carry(
        self, allowed: frozenset[str] | None, domain: str | None
    ) -> bool:
        """Return whether a node may get the body of a request.

        Besides the allowed regions, it is already in that of this node.

        :param allowed: regions of the request, or None for any
        :param domain: failure domain of the node, or None if not known
        """
        if allowed is None:
            return True
        region = self.by_domain.get(domain or "")
        return region is not None and (region in allowed or region == self.own)

    def find_unknown(
        self, config: routing_config.RoutingConfig
    ) -> Iterator[tuple[str, str]]:
        """Return unknown regions that a configuration names, and where."""
        known = frozenset(self.by_domain.values())
        for owner in (*config.routes, *config.accounts):
            for region in sorted((owner.allowed_regions or known) - known):
                yield region, owner.name
