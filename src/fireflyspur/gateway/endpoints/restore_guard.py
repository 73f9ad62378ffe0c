"""Entries of endpoints in a store that came back from an older copy."""

from collections.abc import Mapping
import dataclasses

from fireflyspur.gateway.endpoints import endpoint as endpoints
from fireflyspur.observability import logs

# Removed endpoints are remembered for this time, and at most this many. A
# copy is some seconds old.
_REMEMBER_S = 60.0
_MAX_REMOVED = 4_096

_log = logs.log_for("endpoints")


@dataclasses.dataclass(frozen=True)
class _Removed:
    """An endpoint that the store listed no more.

    :param at_s: clock of this node at the read
    """

    born_ms: int | None
    at_s: float


class RestoreGuard:
    """Keeps endpoints that left from coming back with an older copy.

    Each endpoint that runs writes its entry again, and entries without a
    writer expire. Until then, an entry of the copy does not undo what this
    node has read before the restore.

    :param distrust_s: time after which all entries have been written again
        or have expired
    """

    def __init__(self, distrust_s: float) -> None:
        self._distrust_s = distrust_s
        self._epoch: int | None = None
        self._restored_at_s: float | None = None
        self._removed: dict[str, _Removed] = {}
        self._logged: set[str] = set()

    @property
    def is_active(self) -> bool:
        """Whether entries of a copy may be listed."""
        return self._restored_at_s is not None

    def record_read(self, epoch: int, read_at_s: float) -> bool:
        """Record a read of the store.

        :param epoch: epoch of the store at the read
        :returns: whether the store was restored since the read before
        """
        previous, self._epoch = self._epoch, epoch
        if previous is not None and epoch > previous:
            self._restored_at_s = read_at_s
            self._logged.clear()
            return True
        if (
            self._restored_at_s is not None
            and read_at_s - self._restored_at_s > self._distrust_s
        ):
            self._restored_at_s = None
        return False

    def add_removed(self, endpoint: endpoints.Endpoint, at_s: float) -> None:
        """Remember an endpoint that is no longer listed."""
        self._removed.pop(endpoint.instance, None)
        self._removed[endpoint.instance] = _Removed(endpoint.born_ms, at_s)
        while len(self._removed) > _MAX_REMOVED:
            del self._removed[next(iter(self._removed))]

    def correct(
        self,
        listed: Mapping[str, endpoints.Endpoint],
        known: Mapping[str, endpoints.Endpoint],
        read_at_s: float,
    ) -> dict[str, endpoints.Endpoint]:
        """Return the listed endpoints without what the copy brings back.

        :param known: the endpoints known before this read
        """
        if not self.is_active:
            return dict(listed)
        corrected = {}
        for instance, endpoint in listed.items():
            before = known.get(instance)
            if before is None and self._was_removed(endpoint, read_at_s):
                self._log_ignored(instance, "removed before the restore")
            elif before is not None and _is_outdated(endpoint, before):
                self._log_ignored(instance, "changed before the restore")
                corrected[instance] = before
            else:
                corrected[instance] = endpoint
        return corrected

    def _was_removed(
        self, endpoint: endpoints.Endpoint, read_at_s: float
    ) -> bool:
        removed = self._removed.get(endpoint.instance)
        if removed is None or read_at_s - removed.at_s > _REMEMBER_S:
            return False
        if removed.at_s >= self._restored_at_s:
            return False
        return removed.born_ms == endpoint.born_ms

    def _log_ignored(self, instance: str, reason: str) -> None:
        if instance not in self._logged:
            self._logged.add(instance)
            _log.info(
                "Entry of older copy ignored", instance=instance, reason=reason
            )


def _is_outdated(
    endpoint: endpoints.Endpoint, before: endpoints.Endpoint
) -> bool:
    """Return whether an entry is older than the one read before it."""
    if endpoint.born_ms != before.born_ms:
        return (endpoint.born_ms or 0) < (before.born_ms or 0)
    is_leaving = before.state is endpoints.EndpointState.LEAVING
    return is_leaving and endpoint.state is not before.state
