"""The registered endpoints and the faults that this node observed."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

from fireflyspur.gateway.common import clock
from fireflyspur.gateway.endpoints import endpoint as endpoints
from fireflyspur.gateway.endpoints import error_rates
from fireflyspur.gateway.endpoints import restore_guard
from fireflyspur.observability import logs

# Bound of memory; the oldest entries are removed first.
_MAX_LEAVING = 4_096

_log = logs.log_for("endpoints")


@dataclasses.dataclass(frozen=True)
class _Faults:
    """Consecutive faults of an endpoint.

    :param paused_until_s: when the endpoint may get requests again
    :param since_s: when the first of them was recorded
    :param at_s: when the last of them was recorded
    """

    count: int
    paused_until_s: float
    since_s: float
    at_s: float


class EndpointDirectory:
    """Holds the registered endpoints and their faults.

    :param outage_s: maximum seconds between two reads of the store without an
        outage of the store between them
    :param reregister_s: seconds after an outage within which a running
        endpoint registers again
    """

    # Pause of an endpoint after its first fault. It doubles with each further
    # fault up to the maximum.
    _FIRST_PAUSE_S = 0.5
    _MAX_PAUSE_S = 8.0

    def __init__(self, outage_s: float, reregister_s: float) -> None:
        self._outage_s = outage_s
        self._reregister_s = reregister_s
        self._endpoints: dict[str, endpoints.Endpoint] = {}
        self._by_service: dict[str, tuple[endpoints.Endpoint, ...]] = {}
        self._faults: dict[str, _Faults] = {}
        self._errors = error_rates.ErrorRates()
        # Start of each instance that said that it leaves, in Unix ms. It is
        # kept after the instance is gone, as it may be listed again.
        self._leaving: dict[str, int | None] = {}
        self._evacuated: frozenset[str] = frozenset()
        self._read_at_s: float | None = None
        self._recovered_at_s: float | None = None
        self._epoch = 0
        # Entries expire after the time without a report that is an outage.
        self._guard = restore_guard.RestoreGuard(outage_s + reregister_s)
        self._on_change: Callable[[], None] = lambda: None

    @property
    def epoch(self) -> int:
        """Epoch of the store at the latest read."""
        return self._epoch

    @property
    def errors(self) -> error_rates.ErrorRates:
        """Error rates of the endpoints."""
        return self._errors

    @property
    def is_read(self) -> bool:
        """Whether a list has been read since the start."""
        return self._read_at_s is not None

    @property
    def read_at_s(self) -> float | None:
        """When the latest list was read, or None before the first."""
        return self._read_at_s

    @property
    def instances(self) -> Iterable[str]:
        """Instances of all listed endpoints."""
        return self._endpoints.keys()

    def set_listener(self, on_change: Callable[[], None]) -> None:
        """Set what is called when the ready endpoints may have changed."""
        self._on_change = on_change

    def age_s(self) -> float:
        """Return the age of the list in seconds."""
        if self._read_at_s is None:
            return float("inf")
        return clock.now_s() - self._read_at_s

    def find_named(self, name: str) -> endpoints.Endpoint | None:
        """Return the endpoint with an instance or address, or None."""
        if name in self._endpoints:
            return self._endpoints[name]
        for endpoint in self._endpoints.values():
            if str(endpoint.address) == name:
                return endpoint
        return None

    def replace(self, new: endpoints.EndpointList) -> None:
        """Replace the list unless the new one is older."""
        if self._read_at_s is not None and new.read_at_s <= self._read_at_s:
            return
        is_restored = self._guard.record_read(new.epoch, new.read_at_s)
        if is_restored or self._had_outage(new.read_at_s):
            self._recovered_at_s = new.read_at_s
        self._read_at_s = new.read_at_s
        self._epoch = new.epoch
        listed = self._guard.correct(
            {endpoint.instance: endpoint for endpoint in new.endpoints},
            self._endpoints,
            new.read_at_s,
        )
        kept = self._keep_unlisted(listed, new.read_at_s)
        self._handle_changes({**listed, **kept}, new.read_at_s)
        self._endpoints = {**listed, **kept}
        self._faults = {
            instance: faults
            for instance, faults in self._faults.items()
            if instance in self._endpoints
        }
        self._errors.keep_only(self._endpoints)
        self._index()

    def confirm(self, read_at_s: float) -> bool:
        """Record that a later read returned the same list.

        :returns: False if the list must be replaced instead, because
            endpoints that were kept or ignored after an outage may have to
            change
        """
        if self._read_at_s is None or self._recovered_at_s is not None:
            return False
        if self._guard.is_active:
            return False
        if self._had_outage(read_at_s):
            return False
        self._read_at_s = max(self._read_at_s, read_at_s)
        return True

    def set_evacuated(self, domains: frozenset[str]) -> None:
        """Exclude the endpoints of some failure domains.

        Their entries are kept, as the domains may be used again.
        """
        self._evacuated = domains
        self._index()

    def has_evacuated(self, service: str) -> bool:
        """Return whether ready endpoints of a service are evacuated."""
        return any(
            endpoint.service == service
            and endpoint.failure_domain in self._evacuated
            and endpoint.state is endpoints.EndpointState.READY
            for endpoint in self._endpoints.values()
        )

    def mark_leaving(self, instance: str, reason: str) -> bool:
        """Exclude an endpoint that reported that it is leaving or gone.

        This is final: only another process of that name is used again.

        :returns: whether this was not known before
        """
        endpoint = self._endpoints.get(instance)
        if endpoint is None or instance in self._leaving:
            return False
        self._leaving[instance] = endpoint.born_ms
        while len(self._leaving) > _MAX_LEAVING:
            del self._leaving[next(iter(self._leaving))]
        _log.info("Endpoint leaving", instance=instance, reason=reason)
        self._index()
        return True

    def record_fault(self, instance: str, reason: str) -> None:
        """Pause an endpoint after a fault, and count it as an error."""
        self._errors.add_error(instance)
        faults = self._faults.get(instance)
        count = faults.count + 1 if faults else 1
        pause_s = min(
            self._MAX_PAUSE_S, self._FIRST_PAUSE_S * 2 ** min(count - 1, 6)
        )
        now = clock.now_s()
        if faults and faults.paused_until_s > now:
            return
        since_s = faults.since_s if faults else now
        self._faults[instance] = _Faults(count, now + pause_s, since_s, now)
        _log.warning(
            "Endpoint paused",
            instance=instance,
            reason=reason,
            faults=count,
            pause_s=pause_s,
        )

    def record_success(self, instance: str) -> None:
        """Clear the faults of an endpoint."""
        if self._faults.pop(instance, None) is not None:
            _log.info("Endpoint recovered", instance=instance)

    def forget_faults(self, since_s: float) -> None:
        """Forget the faults of endpoints that had none before a time.

        Faults from before that time are kept, with all that followed them.
        """
        kept = {k: f for k, f in self._faults.items() if f.since_s < since_s}
        _log.info("Faults forgotten", count=len(self._faults) - len(kept))
        self._faults = kept
        self._errors.forget(since_s)

    def is_paused(self, instance: str) -> bool:
        """Whether an endpoint is paused after a fault."""
        faults = self._faults.get(instance)
        return faults is not None and faults.paused_until_s > clock.now_s()

    def is_available(self, instance: str) -> bool:
        """Whether an endpoint may get new requests and is not paused."""
        endpoint = self._endpoints.get(instance)
        if endpoint is None or not self._is_usable(endpoint):
            return False
        return not self.is_paused(instance)

    def fault_at_s(self, instance: str) -> float | None:
        """Return when an endpoint had a fault last, if not a success since."""
        faults = self._faults.get(instance)
        return faults.at_s if faults else None

    def ready(self, service: str) -> tuple[endpoints.Endpoint, ...]:
        """Return the endpoints of a service that accept requests."""
        return self._by_service.get(service, ())

    def usable(self) -> Iterable[endpoints.Endpoint]:
        """Return the endpoints that are ready, not leaving, not evacuated."""
        return filter(self._is_usable, self._endpoints.values())

    def _is_usable(self, endpoint: endpoints.Endpoint) -> bool:
        return (
            endpoint.state is endpoints.EndpointState.READY
            and endpoint.instance not in self._leaving
            and endpoint.failure_domain not in self._evacuated
        )

    def _had_outage(self, read_at_s: float) -> bool:
        previous = self._read_at_s
        return previous is not None and read_at_s - previous > self._outage_s

    def _keep_unlisted(
        self, listed: dict[str, endpoints.Endpoint], now: float
    ) -> dict[str, endpoints.Endpoint]:
        """Return endpoints that may register again after an outage.

        Their entries expired while the store was unavailable.
        """
        if self._recovered_at_s is None:
            return {}
        if now - self._recovered_at_s > self._reregister_s:
            self._recovered_at_s = None
            return {}
        return {
            instance: endpoint
            for instance, endpoint in self._endpoints.items()
            if instance not in listed
            and endpoint.state is endpoints.EndpointState.READY
        }

    def _handle_changes(
        self, new: dict[str, endpoints.Endpoint], read_at_s: float
    ) -> None:
        for instance, endpoint in new.items():
            previous = self._endpoints.get(instance)
            if previous is None:
                _log.info(
                    "Endpoint known",
                    instance=instance,
                    service=endpoint.service,
                    address=str(endpoint.address),
                    state=endpoint.state.value,
                )
            elif previous.born_ms != endpoint.born_ms:
                self._faults.pop(instance, None)
                self._errors.forgive(instance)
                _log.info("Endpoint restarted", instance=instance)
            elif previous.state is not endpoint.state:
                _log.info(
                    "Endpoint changed",
                    instance=instance,
                    state=endpoint.state.value,
                )
            left_ms = self._leaving.get(instance, endpoint.born_ms)
            if left_ms != endpoint.born_ms:
                # Another process has taken its name.
                del self._leaving[instance]
        for instance in self._endpoints.keys() - new.keys():
            self._guard.add_removed(self._endpoints[instance], read_at_s)
            _log.info("Endpoint removed", instance=instance)

    def _index(self) -> None:
        by_service: dict[str, list[endpoints.Endpoint]] = {}
        for endpoint in self.usable():
            by_service.setdefault(endpoint.service, []).append(endpoint)
        self._by_service = {k: tuple(v) for k, v in by_service.items()}
        self._on_change()
