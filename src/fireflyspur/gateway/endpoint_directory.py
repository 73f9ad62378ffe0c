"""The endpoints that a node knows."""

from collections.abc import Iterable
import dataclasses

from fireflyspur.gateway import clock
from fireflyspur.gateway import endpoint as endpoints
from fireflyspur.observability import logs

_log = logs.log_for("endpoints")


@dataclasses.dataclass(frozen=True)
class _Fault:
    """Evidence that an endpoint cannot serve."""

    count: int
    until_s: float


class EndpointDirectory:
    """Keeps the registered endpoints and the node's own evidence on them.

    :param outage_s: reads that are further apart than this had an outage of
        the store between them
    :param reregister_s: seconds after the store's return within which a living
        endpoint registers again
    """

    # An endpoint that failed gets no work for the first of these times, and
    # for a longer one after each further failure.
    _FIRST_PAUSE_S = 0.5
    _MAX_PAUSE_S = 8.0

    def __init__(self, outage_s: float, reregister_s: float) -> None:
        self._outage_s = outage_s
        self._return_s = reregister_s
        self._endpoints: dict[str, endpoints.Endpoint] = {}
        self._by_service: dict[str, tuple[endpoints.Endpoint, ...]] = {}
        self._faults: dict[str, _Fault] = {}
        self._left: dict[str, float] = {}
        self._read_at_s: float | None = None
        self._returned_at_s: float | None = None

    @property
    def is_read(self) -> bool:
        """Whether the list was read since the start."""
        return self._read_at_s is not None

    @property
    def read_at_s(self) -> float | None:
        """When the newest list was read."""
        return self._read_at_s

    def age_s(self) -> float:
        """Return the age of the list in seconds."""
        if self._read_at_s is None:
            return float("inf")
        return clock.now_s() - self._read_at_s

    def find_named(self, name: str) -> endpoints.Endpoint | None:
        """Return a known endpoint by its instance or its address."""
        if name in self._endpoints:
            return self._endpoints[name]
        for item in self._endpoints.values():
            if str(item.address) == name:
                return item
        return None

    def replace(self, read: endpoints.EndpointList) -> None:
        """Take over a newer list."""
        if self._read_at_s is not None and read.read_at_s <= self._read_at_s:
            return
        if self._had_outage(read.read_at_s):
            self._returned_at_s = read.read_at_s
        self._read_at_s = read.read_at_s
        listed = {item.instance: item for item in read.endpoints}
        kept = self._still_returning(listed, read.read_at_s)
        self._note_changes({**listed, **kept})
        self._endpoints = {**listed, **kept}
        self._faults = {
            instance: fault
            for instance, fault in self._faults.items()
            if instance in self._endpoints
        }
        self._index()

    def confirm(self, read_at_s: float) -> bool:
        """Note that the list was the same at a later moment.

        :returns: False if the list has to be taken over again, since the
            endpoints that lapsed in an outage may have to go
        """
        if self._read_at_s is None or self._returned_at_s is not None:
            return False
        if self._had_outage(read_at_s):
            return False
        self._read_at_s = max(self._read_at_s, read_at_s)
        return True

    def mark_leaving(self, instance: str, reason: str) -> None:
        """Take an endpoint out that said itself that it leaves or is gone."""
        known = self._endpoints.get(instance)
        if known is None or instance in self._left:
            return
        self._left[instance] = clock.now_s()
        _log.info("Endpoint leaves", instance=instance, reason=reason)
        self._index()

    def record_fault(self, instance: str, reason: str) -> None:
        """Give an endpoint no work for a while."""
        fault = self._faults.get(instance)
        count = fault.count + 1 if fault else 1
        pause_s = min(
            self._MAX_PAUSE_S, self._FIRST_PAUSE_S * 2 ** min(count - 1, 6)
        )
        now = clock.now_s()
        if fault and fault.until_s > now:
            return
        self._faults[instance] = _Fault(count, now + pause_s)
        _log.warning(
            "Endpoint paused",
            instance=instance,
            reason=reason,
            faults=count,
            pause_s=pause_s,
        )

    def record_success(self, instance: str) -> None:
        """Forget what was held against an endpoint."""
        if self._faults.pop(instance, None) is not None:
            _log.info("Endpoint works again", instance=instance)

    def is_paused(self, instance: str) -> bool:
        """Whether an endpoint gets no work because of its faults."""
        fault = self._faults.get(instance)
        return fault is not None and fault.until_s > clock.now_s()

    def is_available(self, instance: str) -> bool:
        """Whether nothing is known against an endpoint."""
        known = self._endpoints.get(instance)
        if known is None or known.state is not endpoints.EndpointState.READY:
            return False
        return instance not in self._left and not self.is_paused(instance)

    def fault_count(self, instance: str) -> int:
        """Return the faults since the last success."""
        fault = self._faults.get(instance)
        return fault.count if fault else 0

    def ready(self, service: str) -> tuple[endpoints.Endpoint, ...]:
        """Return the endpoints of a service that take work."""
        return self._by_service.get(service, ())

    def _had_outage(self, read_at_s: float) -> bool:
        before = self._read_at_s
        return before is not None and read_at_s - before > self._outage_s

    def _still_returning(
        self, listed: dict[str, endpoints.Endpoint], now: float
    ) -> dict[str, endpoints.Endpoint]:
        """Return entries that lapsed with the store and may come back."""
        if self._returned_at_s is None:
            return {}
        if now - self._returned_at_s > self._return_s:
            self._returned_at_s = None
            return {}
        return {
            instance: known
            for instance, known in self._endpoints.items()
            if instance not in listed
            and known.state is endpoints.EndpointState.READY
        }

    def _note_changes(self, new: dict[str, endpoints.Endpoint]) -> None:
        for instance, item in new.items():
            before = self._endpoints.get(instance)
            if before is None:
                _log.info(
                    "Endpoint known",
                    instance=instance,
                    service=item.service,
                    address=str(item.address),
                    state=item.state.value,
                )
            elif before.born_ms != item.born_ms:
                self._left.pop(instance, None)
                self._faults.pop(instance, None)
                _log.info("Endpoint started again", instance=instance)
            elif before.state is not item.state:
                _log.info(
                    "Endpoint changed",
                    instance=instance,
                    state=item.state.value,
                )
        for instance in self._endpoints.keys() - new.keys():
            self._left.pop(instance, None)
            _log.info("Endpoint gone", instance=instance)

    def _index(self) -> None:
        by_service: dict[str, list[endpoints.Endpoint]] = {}
        for item in self._usable():
            by_service.setdefault(item.service, []).append(item)
        self._by_service = {k: tuple(v) for k, v in by_service.items()}

    def _usable(self) -> Iterable[endpoints.Endpoint]:
        for item in self._endpoints.values():
            if item.state is not endpoints.EndpointState.READY:
                continue
            if item.instance not in self._left:
                yield item
