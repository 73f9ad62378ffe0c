"""Versions of the configuration that other nodes announce."""

from fireflyspur.gateway.common import clock
from fireflyspur.gateway.configuration import config_holder
from fireflyspur.observability import logs

_log = logs.log_for("config")


class VersionWatch:
    """Compares announced versions with the one in force on this node.

    :param holder: current configuration of this node
    """

    def __init__(self, holder: config_holder.ConfigHolder) -> None:
        self._holder = holder
        self._announced = 0
        self._behind_since_s = 0.0

    @property
    def announced(self) -> int:
        """Latest version that another node announced."""
        return self._announced

    def behind_s(self) -> float:
        """Return the seconds since this node heard of a newer version.

        :returns: 0 if it has the latest version that it heard of
        """
        if self._announced <= self._holder.version:
            return 0.0
        return clock.now_s() - self._behind_since_s

    def update_from_peer(self, node: str, version: int, age_s: float) -> bool:
        """Confirm the version in force, or learn that it is not the latest.

        :param node: name of the node that announced the version
        :param age_s: time since the version was read as the latest
        :returns: whether the version is newer than all that were known
        """
        in_force = self._holder.version
        if version == in_force:
            self._holder.confirm(clock.now_s() - age_s)
            return False
        if version <= max(in_force, self._announced):
            return False
        if self._announced <= in_force:
            self._behind_since_s = clock.now_s()
        self._announced = version
        _log.info(
            "Newer configuration announced",
            version=version,
            before=in_force,
            by=node,
            age_ms=round(age_s * 1000),
        )
        return True
