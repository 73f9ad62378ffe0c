"""Ceiling on the requests that cold endpoints get from all nodes."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import random
import time
import zlib

from fireflyspur.gateway.common import clock
from fireflyspur.gateway.configuration import routing_config
from fireflyspur.gateway.endpoints import endpoint as endpoints
from fireflyspur.observability import logs
from fireflyspur.rates import pacing

# Largest share of the ceiling that is planned as a steady rate. The rest is
# for bursts, other pools, and requests that nodes send at the same moment.
_RATE_SHARE = 0.55
# Share of the ceiling that the endpoint's pool may send at once.
_BURST_SHARE = 0.1
# Share of the ceiling that nodes without contact to others may use together.
_ISOLATED_SHARE = 0.9
# Nodes of all other pools that may use a cold endpoint, on average, and of its
# own pool if that is large. All nodes together would exceed the ceiling with
# one request each.
_FOREIGN_NODES = 4
_LARGE_POOL = 24
_DRAWN_NODES = 18
# Share of the rate that other pools leave to the endpoint's own pool.
_OWN_SHARE = 0.5
# Time until the other nodes know of a request: a batch of updates and its
# transit. Nodes that wait for the same moment spread over a multiple of it.
_NOTICE_S = 0.004
# The ceiling holds for any second, so earlier requests no longer matter.
_WINDOW_S = 1.0
# Bound on what an entry may say, in seconds.
_MAX_COLD_S = 60.0
# An endpoint whose entry lapsed may be listed again with the same process.
_KEEP_UNLISTED_S = 60.0

_log = logs.log_for("endpoints")


@dataclasses.dataclass(frozen=True)
class ColdBounds:
    """Bounds of the requests to a cold endpoint in any second.

    :param over: factor of the rate that it can sustain while it is cold
    :param slack: requests beyond that
    """

    over: float = 0.0
    slack: float = 0.0

    def ceiling(self, cold: routing_config.ColdSpec) -> float:
        """Return the maximum number of requests in any second."""
        return cold.requests_per_s * self.over + self.slack


BoundsReader = Callable[[], ColdBounds]


@dataclasses.dataclass(frozen=True)
class PoolSize:
    """Size of the pool of this node.

    :param nodes: nodes that may be running, heard or not, with this one
    :param pools: number of pools of the fleet
    """

    nodes: int
    pools: int = 1


@dataclasses.dataclass(frozen=True)
class _Budget:
    """Rates at which requests may be sent to an endpoint.

    :param shared_per_s: rate of all nodes of the pool of this node
    :param own_per_s: rate of this node alone, whatever it hears
    """

    shared_per_s: float
    shared_burst_s: float
    own_per_s: float
    own_burst_s: float


@dataclasses.dataclass(frozen=True)
class _Sent:
    """Requests that were sent to an endpoint.

    :param born_ms: start of the endpoint in Unix ms, or None if not known
    :param known_at_s: clock time at which this process became known
    :param cold_until_s: clock time until which it is cold, by its entry
    :param shared: requests of all nodes that this one hears
    :param own: requests of this node
    :param delay_s: time by which this node waits longer than others
    :param was_cold: whether it was cold at the last look
    :param cold_since_s: clock time at which that was noticed
    :param unlisted_at_s: when it was found to be unlisted, or None
    """

    born_ms: int | None
    known_at_s: float
    cold_until_s: float = float("-inf")
    shared: pacing.Pacing = pacing.Pacing()
    own: pacing.Pacing = pacing.Pacing()
    delay_s: float = 0.0
    was_cold: bool = False
    cold_since_s: float = 0.0
    unlisted_at_s: float | None = None


class ColdCeiling:
    """Limits the requests to endpoints that have just started or are cold.

    Nodes of an endpoint's pool count one another's requests. Independently,
    each node keeps to a share of its own, as others may not hear it. A few
    nodes of each other pool use a part of the rate.

    An entry is up to a heartbeat old when an endpoint turns cold. Endpoints
    that count as warm are therefore avoided above the ceiling as well, while
    there are others.

    :param find_service: returns the configuration of a service, or None
    :param bounds: returns the bounds of the settings
    :param find: returns the endpoint with an instance, or None
    :param is_own: returns whether an endpoint is in the pool of this node
    :param size: returns the size of the pool
    :param node_name: name of this node
    :param unix_now_s: returns the Unix time in seconds
    """

    def __init__(
        self,
        find_service: Callable[[str], routing_config.Service | None],
        bounds: BoundsReader,
        find: Callable[[str], endpoints.Endpoint | None],
        is_own: Callable[[endpoints.Endpoint], bool],
        size: Callable[[], PoolSize],
        node_name: str,
        unix_now_s: Callable[[], float] = time.time,
    ) -> None:
        self._find_service = find_service
        self._bounds = bounds
        self._find = find
        self._is_own = is_own
        self._size = size
        self._node_name = node_name
        self._unix_now_s = unix_now_s
        self._sent: dict[str, _Sent] = {}

    @classmethod
    def none(cls) -> "ColdCeiling":
        """Return the ceiling of a fleet that has none."""
        return cls(
            lambda _: None,
            ColdBounds,
            lambda _: None,
            lambda _: True,
            lambda: PoolSize(1),
            "",
        )

    @property
    def count(self) -> int:
        """Number of endpoints that are cold."""
        return sum(
            self.is_cold(endpoint)
            for endpoint in map(self._find, list(self._sent))
            if endpoint is not None
        )

    def record_entry(
        self, endpoint: endpoints.Endpoint, reported_at_s: float
    ) -> None:
        """Record how long an endpoint will be cold by its entry.

        :param reported_at_s: clock time by which the entry was written
        """
        remaining_s = min(endpoint.cold_ms / 1000, _MAX_COLD_S)
        if remaining_s <= 0:
            return
        sent = self._state(endpoint)
        until_s = max(sent.cold_until_s, reported_at_s + remaining_s)
        self._sent[endpoint.instance] = dataclasses.replace(
            sent, cold_until_s=until_s
        )

    def is_cold(self, endpoint: endpoints.Endpoint) -> bool:
        """Return whether an endpoint is cold and has a ceiling."""
        cold = self._spec(endpoint)
        return cold is not None and self._is_cold(endpoint, cold)

    def cold_since_s(self, endpoint: endpoints.Endpoint) -> float | None:
        """Return since when an endpoint is cold, or None if it is warm."""
        if not self.is_cold(endpoint):
            return None
        return self._sent[endpoint.instance].cold_since_s

    def add_start(self, instance: str, *, is_own: bool) -> None:
        """Count a request that a node sends to an endpoint.

        :param is_own: whether this node sends it
        """
        endpoint = self._find(instance)
        cold = None if endpoint is None else self._spec(endpoint)
        if endpoint is None or cold is None:
            return
        is_cold = self._is_cold(endpoint, cold)
        budget = self._budget(endpoint, cold, is_cold=is_cold)
        if budget is None:
            return
        sent, now = self._state(endpoint), clock.now_s()
        shared = sent.shared.add_request(budget.shared_per_s, now)
        own = sent.own
        if is_own:
            own = own.add_request(budget.own_per_s, now)
        spread_s = _NOTICE_S * self._size().nodes
        self._sent[instance] = dataclasses.replace(
            sent,
            shared=shared.limit_wait(_WINDOW_S, now),
            own=own,
            delay_s=random.uniform(0, spread_s),
        )

    def preferred(
        self, listed: list[endpoints.Endpoint]
    ) -> list[endpoints.Endpoint]:
        """Return the endpoints that could have turned cold without harm.

        :returns: the whole list if there are none
        """
        return [e for e in listed if self._is_below_ceiling(e)] or listed

    def wait_s(self, endpoint: endpoints.Endpoint) -> float:
        """Return the time until a request may be sent to an endpoint."""
        cold = self._spec(endpoint)
        if cold is None or not self._is_cold(endpoint, cold):
            return 0.0
        return self._wait_s(endpoint, cold, is_cold=True)

    def keep_only(self, instances: Iterable[str]) -> None:
        """Forget endpoints that have not been listed for long."""
        listed, now = set(instances), clock.now_s()
        for instance, sent in list(self._sent.items()):
            unlisted_at_s = None
            if instance not in listed:
                unlisted_at_s = sent.unlisted_at_s
                if unlisted_at_s is None:
                    unlisted_at_s = now
            is_listed = unlisted_at_s is None
            if not is_listed and now - unlisted_at_s > _KEEP_UNLISTED_S:
                del self._sent[instance]
            elif unlisted_at_s != sent.unlisted_at_s:
                self._sent[instance] = dataclasses.replace(
                    sent, unlisted_at_s=unlisted_at_s
                )

    def _spec(
        self, endpoint: endpoints.Endpoint
    ) -> routing_config.ColdSpec | None:
        """Return the figures of a service that has a ceiling."""
        service = self._find_service(endpoint.service)
        if service is None or service.cold is None:
            return None
        return service.cold if self._bounds().over > 0 else None

    def _state(self, endpoint: endpoints.Endpoint) -> _Sent:
        sent = self._sent.get(endpoint.instance)
        if sent is None or sent.born_ms != endpoint.born_ms:
            sent = _Sent(endpoint.born_ms, clock.now_s())
            self._sent[endpoint.instance] = sent
        return sent

    def _is_cold(
        self, endpoint: endpoints.Endpoint, cold: routing_config.ColdSpec
    ) -> bool:
        sent, now = self._state(endpoint), clock.now_s()
        until_s = sent.cold_until_s
        if endpoint.born_ms is not None:
            age_s = self._unix_now_s() - endpoint.born_ms / 1000
            # Its clock may be ahead of that of this node.
            latest_s = sent.known_at_s + cold.start_s
            until_s = max(until_s, min(now - age_s + cold.start_s, latest_s))
        is_cold = now < until_s
        if is_cold != sent.was_cold:
            sent = dataclasses.replace(sent, was_cold=is_cold)
            if is_cold:
                sent = dataclasses.replace(sent, cold_since_s=now)
                sent = self._begin(endpoint, cold, sent, until_s - now)
            self._sent[endpoint.instance] = sent
        return is_cold

    def _begin(
        self,
        endpoint: endpoints.Endpoint,
        cold: routing_config.ColdSpec,
        sent: _Sent,
        remaining_s: float,
    ) -> _Sent:
        """Return the state at the beginning of the time that it is cold."""
        _log.info(
            "Endpoint cold",
            instance=endpoint.instance,
            remaining_s=round(remaining_s, 3),
        )
        budget = self._budget(endpoint, cold, is_cold=True)
        if budget is None:
            return sent
        # Nodes that hear nothing must not all begin at once.
        now = clock.now_s()
        phase_s = random.uniform(0, 1 / budget.own_per_s)
        next_s = max(sent.own.next_at_s, now) + phase_s
        return dataclasses.replace(sent, own=pacing.Pacing(next_s))

    def _is_below_ceiling(self, endpoint: endpoints.Endpoint) -> bool:
        cold = self._spec(endpoint)
        sent = self._sent.get(endpoint.instance)
        if cold is None or sent is None:
            return True
        # Mostly, all requests so far have been due.
        if sent.was_cold or sent.shared.next_at_s <= clock.now_s():
            return True
        return self._wait_s(endpoint, cold, is_cold=False) <= 0

    def _wait_s(
        self,
        endpoint: endpoints.Endpoint,
        cold: routing_config.ColdSpec,
        *,
        is_cold: bool,
    ) -> float:
        budget = self._budget(endpoint, cold, is_cold=is_cold)
        if budget is None:
            return float("inf")
        sent, now = self._state(endpoint), clock.now_s()
        shared_s = sent.shared.wait_s(
            budget.shared_per_s, now, budget.shared_burst_s
        )
        own_s = sent.own.wait_s(budget.own_per_s, now, budget.own_burst_s)
        return max(shared_s + sent.delay_s, own_s if is_cold else 0.0)

    def _budget(
        self,
        endpoint: endpoints.Endpoint,
        cold: routing_config.ColdSpec,
        *,
        is_cold: bool,
    ) -> _Budget | None:
        """Return what this node may send, or None for nothing."""
        ceiling = self._bounds().ceiling(cold)
        size = self._size()
        rate = min(cold.requests_per_s, _RATE_SHARE * ceiling)
        if not is_cold:
            rate = ceiling
        burst = max(1.0, _BURST_SHARE * ceiling)
        users = float(size.nodes)
        if size.nodes > _LARGE_POOL:
            users = _DRAWN_NODES
        if self._is_own(endpoint):
            own_rate = max(rate, _ISOLATED_SHARE * ceiling - users) / users
        else:
            others = max(1, size.pools - 1)
            rate *= (1 - _OWN_SHARE) / others
            burst = 1.0
            users = min(users, _FOREIGN_NODES / others)
            own_rate = rate / max(1.0, users)
        if is_cold and not self._is_drawn(endpoint, users / size.nodes):
            return None
        own_burst = max(1.0, burst / max(1.0, users))
        return _Budget(rate, burst / rate, own_rate, own_burst / own_rate)

    def _is_drawn(self, endpoint: endpoints.Endpoint, share: float) -> bool:
        """Return whether this node is among those that may use an endpoint.

        :param share: share of the nodes of its pool that may
        """
        key = f"{self._node_name}|{endpoint.instance}|{endpoint.born_ms}"
        return zlib.crc32(key.encode()) / 2**32 < share
