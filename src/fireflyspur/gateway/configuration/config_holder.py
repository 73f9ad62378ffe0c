"""The current configuration of a node."""

from collections.abc import Callable

from fireflyspur.gateway.common import clock
from fireflyspur.gateway.configuration import regions as region_maps
from fireflyspur.gateway.configuration import route_table
from fireflyspur.gateway.configuration import routing_config
from fireflyspur.observability import logs

_log = logs.log_for("config")


class ConfigHolder:
    """Holds the current configuration and the time of its confirmation.

    :param regions: returns the current regions
    """

    def __init__(
        self,
        regions: Callable[[], region_maps.RegionMap] = region_maps.RegionMap,
    ) -> None:
        self._regions = regions
        self._table: route_table.RouteTable | None = None
        self._confirmed_at_s: float | None = None

    @property
    def table(self) -> route_table.RouteTable | None:
        """Current routes and accounts, or None before the first version."""
        return self._table

    @property
    def version(self) -> int:
        """Current version, or 0 before the first."""
        return self._table.config.version if self._table else 0

    @property
    def limits(self) -> routing_config.CallerLimits:
        """Current limits of callers."""
        if self._table is None:
            return routing_config.CallerLimits()
        return self._table.config.limits

    def find_service(self, name: str) -> routing_config.Service | None:
        """Return a service of the current configuration, or None."""
        if self._table is None:
            return None
        return self._table.config.services.get(name)

    def age_s(self) -> float:
        """Return the seconds since the last confirmation of the version."""
        if self._confirmed_at_s is None:
            return float("inf")
        return clock.now_s() - self._confirmed_at_s

    def apply(self, config: routing_config.RoutingConfig) -> bool:
        """Apply a version if it is newer than the current one.

        :returns: whether the version was applied
        """
        if config.version <= self.version:
            return False
        previous, age_s = self.version, self.age_s()
        self._table = route_table.RouteTable(config)
        _log.info(
            "Configuration in force",
            version=config.version,
            before=previous,
            before_age_s=round(age_s, 2) if previous else None,
            routes=len(config.routes),
            accounts=len(config.accounts),
        )
        self.log_unknown_regions()
        return True

    def log_unknown_regions(self) -> None:
        """Log regions of the configuration that the settings do not have.

        Nothing is in them, so that they allow nothing.
        """
        if self._table is None:
            return
        for region, owner in self._regions().find_unknown(self._table.config):
            _log.error("Region unknown", region=region, used_by=owner)

    def confirm(self, read_at_s: float) -> None:
        """Confirm that the current version was the latest.

        :param read_at_s: clock of this node when the version was the latest
        """
        if self._confirmed_at_s is None or read_at_s > self._confirmed_at_s:
            self._confirmed_at_s = read_at_s
