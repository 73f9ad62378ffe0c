"""The newest configuration that a node knows."""

from fireflyspur.gateway import clock
from fireflyspur.gateway import route_table
from fireflyspur.gateway import routing_config
from fireflyspur.observability import logs

_log = logs.log_for("config")


class ConfigHolder:
    """Puts newer versions of the configuration into force."""

    def __init__(self) -> None:
        self._table: route_table.RouteTable | None = None
        self._confirmed_at_s: float | None = None

    @property
    def table(self) -> route_table.RouteTable | None:
        """Routes and accounts in force; None before the first version."""
        return self._table

    @property
    def version(self) -> int:
        """Version in force, 0 before the first."""
        return self._table.config.version if self._table else 0

    @property
    def limits(self) -> routing_config.CallerLimits:
        """Limits of callers in force."""
        if self._table is None:
            return routing_config.CallerLimits()
        return self._table.config.limits

    def age_s(self) -> float:
        """Return seconds since the version in force was seen as newest."""
        if self._confirmed_at_s is None:
            return float("inf")
        return clock.now_s() - self._confirmed_at_s

    def apply(self, config: routing_config.RoutingConfig) -> bool:
        """Put a version into force unless a newer one already is."""
        if config.version <= self.version:
            return False
        before = self.version
        self._table = route_table.RouteTable(config)
        _log.info(
            "Configuration in force",
            version=config.version,
            before=before,
            routes=len(config.routes),
            accounts=len(config.accounts),
        )
        return True

    def confirm(self, read_at_s: float) -> None:
        """Note that no newer version existed at a moment."""
        if self._confirmed_at_s is None or read_at_s > self._confirmed_at_s:
            self._confirmed_at_s = read_at_s
