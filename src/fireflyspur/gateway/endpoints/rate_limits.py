"""Rate limits that endpoints name for all nodes together."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import random

from fireflyspur.gateway.common import clock
from fireflyspur.gateway.endpoints import endpoint as endpoints
from fireflyspur.generated import peer_updates_pb2 as peer_updates
from fireflyspur.observability import logs
from fireflyspur.rates import pacing
from fireflyspur.rates import return_schedule

# An endpoint that names a lower rate, such as zero, still gets a request now
# and then: only its responses tell that the limit has ended.
_MIN_RATE_PER_S = 0.05
# Nodes of other pools send nothing if their share is lower: many small shares
# used at the same moment would exceed the limit.
_MIN_FOREIGN_RATE_PER_S = 0.5
_MAX_WAIT_AFTER_RISE_S = 1.0
# A changed limit is announced at most once in this time for each endpoint.
_ANNOUNCE_INTERVAL_S = 0.2
# A limit may change with each response; its changes are logged at most once
# in this time for each endpoint.
_LOG_INTERVAL_S = 1.0
# Limits in a heartbeat, which must fit in one datagram.
_MAX_SHARED_LIMITS = 8
# An endpoint whose entry lapsed may be listed again with the same process.
_KEEP_UNLISTED_S = 60.0
# Bounds of memory; the oldest limits are removed first.
_MAX_LIMITS = 4_096
# Time after which a caller may find another node, in the endpoint's pool.
_FOREIGN_RETRY_S = 0.25
# Interval of the returns to endpoints that name no rate.
_RETURN_INTERVAL_S = 0.05

_log = logs.log_for("limits")


@dataclasses.dataclass(frozen=True)
class _Limit:
    """What an endpoint said last of its rate.

    :param requests_per_s: None if the limit has ended
    :param heard_at_s: clock time of the response that named it
    :param born_ms: start of the endpoint in Unix ms, or 0 if not known
    :param paced: all requests that are known here, at the rate that this
        node may use
    :param announced_at_s: clock time of the last announcement by this node
    :param announced_per_s: rate that any node announced last
    :param logged_at_s: clock time of the last log line
    :param logged_per_s: rate that was logged last
    """

    requests_per_s: float | None
    heard_at_s: float
    born_ms: int
    paced: pacing.Pacing = pacing.Pacing()
    announced_at_s: float = 0.0
    announced_per_s: float | None = None
    logged_at_s: float = float("-inf")
    logged_per_s: float | None = None


@dataclasses.dataclass(frozen=True)
class FleetShare:
    """Share of a limit that this node may use.

    :param heard: share of the nodes of the pool that this node hears
    :param pools: number of pools of the fleet
    :param nodes: number of nodes that this node hears, with itself
    """

    heard: float
    pools: int
    nodes: int = 1


class RateLimits:
    """Keeps the rates of all endpoints that name one.

    Each node counts the requests that it sends to such an endpoint, and those
    that others report. In the pool of the endpoint, all are reported, so
    that the pool uses what is left of the rate. Nodes of other pools only
    hear of their own pool, which uses its share.

    :param publish: returns the draft of the next update for all nodes
    :param find: returns the endpoint with an instance, or None
    :param is_own: returns whether an endpoint is in the pool of this node
    :param share: returns the share of this node
    """

    def __init__(
        self,
        publish: Callable[[], peer_updates.PeerUpdate],
        find: Callable[[str], endpoints.Endpoint | None],
        is_own: Callable[[endpoints.Endpoint], bool],
        share: Callable[[], FleetShare],
    ) -> None:
        self._publish = publish
        self._find = find
        self._is_own = is_own
        self._share = share
        self._limits: dict[str, _Limit] = {}
        self._returns = return_schedule.ReturnSchedule()
        # Endpoints whose invalid limit has been logged.
        self._invalid: set[str] = set()
        # Clock times at which endpoints with a limit were found unlisted.
        self._unlisted_at_s: dict[str, float] = {}

    @property
    def count(self) -> int:
        """Number of endpoints whose limit is in force."""
        return sum(
            limit.requests_per_s is not None for limit in self._limits.values()
        )

    @property
    def has_any(self) -> bool:
        """Whether any endpoint has named a rate."""
        return bool(self._limits)

    @classmethod
    def unlimited(cls) -> "RateLimits":
        """Return limits of a fleet whose endpoints name none."""
        return cls(
            peer_updates.PeerUpdate,
            lambda _: None,
            lambda _: True,
            lambda: FleetShare(1.0, 1),
        )

    def record(
        self, endpoint: endpoints.Endpoint, requests_per_s: float | None
    ) -> None:
        """Record what a response of an endpoint says of its rate.

        :param requests_per_s: None if it names no limit
        """
        if requests_per_s is None and endpoint.instance not in self._limits:
            return
        if requests_per_s is not None:
            requests_per_s = max(_MIN_RATE_PER_S, requests_per_s)
        self._update(
            endpoint.instance,
            requests_per_s,
            clock.now_s(),
            endpoint.born_ms or 0,
        )
        self._announce(endpoint.instance)

    def record_invalid(self, endpoint: endpoints.Endpoint) -> None:
        """Log that an endpoint names an invalid limit.

        What it said before stays in force.
        """
        if endpoint.instance not in self._invalid:
            self._invalid.add(endpoint.instance)
            _log.warning("Limit not valid", instance=endpoint.instance)

    def update_from_peer(
        self, seen: peer_updates.EndpointLimit, delay_s: float
    ) -> None:
        """Apply a limit that another node heard of, unless it is older."""
        heard_at_s = clock.now_s() - delay_s - seen.heard_ago_ms / 1000
        previous = self._limits.get(seen.instance)
        if previous is not None and previous.heard_at_s >= heard_at_s:
            return
        self._update(
            seen.instance,
            seen.requests_per_s or None,
            heard_at_s,
            seen.born_ms,
        )
        self._limits[seen.instance] = dataclasses.replace(
            self._limits[seen.instance],
            announced_per_s=seen.requests_per_s or None,
        )

    def add_start(self, instance: str) -> None:
        """Count a request that this or another node sends to an endpoint."""
        if instance not in self._limits:
            return
        endpoint = self._find(instance)
        rate = 0.0 if endpoint is None else self._rate_per_s(endpoint)
        if not rate:
            return
        limit = self._limits[instance]
        self._limits[instance] = dataclasses.replace(
            limit, paced=limit.paced.add_request(rate, clock.now_s())
        )

    def allows(self, endpoint: endpoints.Endpoint) -> bool:
        """Return whether a request may be sent to an endpoint now."""
        if endpoint.instance not in self._limits:
            return True
        return self.wait_s(endpoint) <= 0

    def is_limited(self, endpoint: endpoints.Endpoint) -> bool:
        """Return whether the limit of an endpoint is in force."""
        limit = self._limits.get(endpoint.instance)
        if limit is None or limit.requests_per_s is None:
            return False
        # A process that started later has not said so.
        return limit.born_ms == (endpoint.born_ms or 0)

    def schedule_return(
        self,
        listed: Sequence[endpoints.Endpoint],
        priority: int,
        wait_s: float,
    ) -> float:
        """Return when to return after a wait, one caller after the other.

        :param wait_s: time until one of the endpoints takes a request
        """
        if wait_s == float("inf"):
            return _FOREIGN_RETRY_S
        rate = sum(self._rate_per_s(endpoint) for endpoint in listed)
        # The other nodes refuse as many.
        step_s = self._share().nodes / rate if rate else _RETURN_INTERVAL_S
        return self._returns.add(priority, wait_s, step_s, clock.now_s())

    def describe(self) -> list[peer_updates.EndpointLimit]:
        """Return limits in force, for other nodes.

        If there are many, each heartbeat has some others.
        """
        now = clock.now_s()
        instances = [
            instance
            for instance, limit in self._limits.items()
            if limit.requests_per_s is not None
            and instance not in self._unlisted_at_s
        ]
        return [
            self._describe(instance, now)
            for instance in random.sample(
                instances, min(len(instances), _MAX_SHARED_LIMITS)
            )
        ]

    def keep_only(self, instances: Iterable[str]) -> None:
        """Drop the limits of endpoints that have not been listed for long."""
        listed, now = set(instances), clock.now_s()
        self._invalid &= listed
        self._unlisted_at_s = {
            instance: self._unlisted_at_s.get(instance, now)
            for instance in self._limits.keys() - listed
        }
        for instance, unlisted_at_s in self._unlisted_at_s.items():
            if now - unlisted_at_s > _KEEP_UNLISTED_S:
                del self._limits[instance]

    def _update(
        self,
        instance: str,
        requests_per_s: float | None,
        heard_at_s: float,
        born_ms: int,
    ) -> None:
        previous = self._limits.pop(instance, None)
        if previous is None or previous.born_ms != born_ms:
            previous = _Limit(None, heard_at_s, born_ms)
        old, paced = previous.requests_per_s, previous.paced
        if requests_per_s is not None and requests_per_s > (old or 0.0):
            # The wait at a low rate must not outlast it for long.
            paced = paced.limit_wait(_MAX_WAIT_AFTER_RISE_S, clock.now_s())
        self._limits[instance] = dataclasses.replace(
            previous,
            requests_per_s=requests_per_s,
            heard_at_s=heard_at_s,
            paced=paced,
        )
        self._log_change(instance)
        if old is None:
            # What was sent before is not known.
            self.add_start(instance)
        while len(self._limits) > _MAX_LIMITS:
            del self._limits[next(iter(self._limits))]

    def _log_change(self, instance: str) -> None:
        limit, now = self._limits[instance], clock.now_s()
        if limit.requests_per_s == limit.logged_per_s:
            return
        if now - limit.logged_at_s < _LOG_INTERVAL_S:
            return
        self._limits[instance] = dataclasses.replace(
            limit, logged_at_s=now, logged_per_s=limit.requests_per_s
        )
        _log.info(
            "Limit changed",
            instance=instance,
            requests_per_s=limit.requests_per_s,
            before_per_s=limit.logged_per_s,
            age_ms=round((now - limit.heard_at_s) * 1000),
        )

    def _announce(self, instance: str) -> None:
        """Tell all nodes of a limit that changed."""
        limit, now = self._limits[instance], clock.now_s()
        if limit.requests_per_s == limit.announced_per_s:
            return
        is_due = now - limit.announced_at_s >= _ANNOUNCE_INTERVAL_S
        if is_due or limit.requests_per_s is None:
            self._limits[instance] = dataclasses.replace(
                limit,
                announced_at_s=now,
                announced_per_s=limit.requests_per_s,
            )
            self._publish().limits.append(self._describe(instance, now))

    def wait_s(self, endpoint: endpoints.Endpoint) -> float:
        """Return the time until a request may be sent to an endpoint."""
        if not self.is_limited(endpoint):
            return 0.0
        rate = self._rate_per_s(endpoint)
        if not rate:
            return float("inf")
        paced = self._limits[endpoint.instance].paced
        return paced.wait_s(rate, clock.now_s())

    def _rate_per_s(self, endpoint: endpoints.Endpoint) -> float:
        """Return the rate at which nodes that this one hears may send."""
        if not self.is_limited(endpoint):
            return 0.0
        rate = self._limits[endpoint.instance].requests_per_s
        share = self._share()
        rate *= share.heard
        if self._is_own(endpoint):
            return rate
        rate /= share.pools
        return rate if rate >= _MIN_FOREIGN_RATE_PER_S else 0.0

    def _describe(
        self, instance: str, now: float
    ) -> peer_updates.EndpointLimit:
        limit = self._limits[instance]
        return peer_updates.EndpointLimit(
            instance=instance,
            requests_per_s=limit.requests_per_s or 0.0,
            heard_ago_ms=max(0, round((now - limit.heard_at_s) * 1000)),
            born_ms=limit.born_ms,
        )
