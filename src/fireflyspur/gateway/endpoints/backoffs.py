"""Endpoints that want no requests from this node for some time."""

from collections.abc import Iterable
import dataclasses

from fireflyspur.gateway.common import clock
from fireflyspur.gateway.endpoints import endpoint as endpoints
from fireflyspur.observability import logs

# An endpoint that wants nothing for longer leaves instead.
_MAX_PAUSE_S = 300.0
# Interval of requests after a pause, until the endpoint responds to one.
_RETRY_INTERVAL_S = 0.5
# An endpoint that gets no request after its pause is forgotten.
_KEEP_S = 10.0
# Bound of memory; the oldest pauses are removed first.
_MAX_PAUSES = 4_096

_log = logs.log_for("endpoints")


@dataclasses.dataclass(frozen=True)
class _Pause:
    """The pause that an endpoint asked for.

    :param born_ms: start of the endpoint in Unix ms, or None if not known
    :param until_s: clock time of its end
    :param next_s: clock time at which the next request may be sent
    """

    born_ms: int | None
    until_s: float
    next_s: float


class Backoffs:
    """Keeps the pauses that endpoints ask this node for.

    Other nodes are not bound by them. After the end of a pause, single
    requests find out whether the endpoint takes requests again.
    """

    def __init__(self) -> None:
        self._pauses: dict[str, _Pause] = {}
        # Endpoints whose invalid pause has been logged.
        self._invalid: set[str] = set()

    @property
    def has_any(self) -> bool:
        """Whether any endpoint has asked for a pause."""
        return bool(self._pauses)

    def record(self, endpoint: endpoints.Endpoint, seconds: float) -> None:
        """Record that an endpoint refused a request and asked for a pause."""
        if seconds <= 0:
            return
        now = clock.now_s()
        until_s = now + min(seconds, _MAX_PAUSE_S)
        previous = self._pauses.pop(endpoint.instance, None)
        if previous is not None and previous.born_ms == endpoint.born_ms:
            # Responses may overtake one another.
            until_s = max(until_s, previous.until_s)
        self._pauses[endpoint.instance] = _Pause(
            endpoint.born_ms, until_s, until_s
        )
        if previous is None or previous.until_s <= now:
            _log.info(
                "Endpoint wants a pause",
                instance=endpoint.instance,
                asked_s=seconds,
                pause_s=round(until_s - now, 3),
            )
        while len(self._pauses) > _MAX_PAUSES:
            del self._pauses[next(iter(self._pauses))]

    def record_invalid(self, endpoint: endpoints.Endpoint) -> None:
        """Log that an endpoint asked for a pause that cannot be used."""
        if endpoint.instance not in self._invalid:
            self._invalid.add(endpoint.instance)
            _log.warning("Pause not valid", instance=endpoint.instance)

    def record_response(self, endpoint: endpoints.Endpoint) -> None:
        """Record that an endpoint took a request.

        During the pause, it only responds to what was under way.
        """
        pause = self._pauses.get(endpoint.instance)
        if pause is not None and pause.until_s <= clock.now_s():
            del self._pauses[endpoint.instance]
            _log.info("Endpoint after its pause", instance=endpoint.instance)

    def add_start(self, instance: str) -> None:
        """Count a request that this node sends to an endpoint."""
        pause = self._pauses.get(instance)
        if pause is not None:
            self._pauses[instance] = dataclasses.replace(
                pause,
                next_s=max(pause.until_s, clock.now_s() + _RETRY_INTERVAL_S),
            )

    def wait_s(self, endpoint: endpoints.Endpoint) -> float:
        """Return the time until a request may be sent to an endpoint."""
        pause = self._pauses.get(endpoint.instance)
        if pause is None or pause.born_ms != endpoint.born_ms:
            return 0.0
        return max(0.0, pause.next_s - clock.now_s())

    def expire(self, instances: Iterable[str]) -> None:
        """Drop pauses that have ended.

        An endpoint may be listed again before the end of its pause.

        :param instances: the endpoints that are listed
        """
        self._invalid &= set(instances)
        now = clock.now_s()
        self._pauses = {
            instance: pause
            for instance, pause in self._pauses.items()
            if now - pause.until_s < _KEEP_S
        }
