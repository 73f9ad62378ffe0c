"""Pace of endpoints that start, recover, are cold or answer late.

A pace is an adaptive concurrency limit and a latency factor.
"""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import random
from typing import Protocol

from fireflyspur.gateway.common import clock
from fireflyspur.gateway.endpoints import endpoint as endpoints
from fireflyspur.generated import peer_updates_pb2 as peer_updates
from fireflyspur.observability import logs

# Initial limit; a limit of one grows too slowly.
_FIRST_LIMIT = 2.0
_MIN_LIMIT = 1.0
# Share of the limit that is left after a late answer, and after a refusal.
_LATE_SHARE = 0.7
# Factor of a cold endpoint before its first answer.
_COLD_FACTOR = 1.5
_MAX_FACTOR = 10.0
# An endpoint whose limit has reached its slots has no pace below this factor.
_USUAL_FACTOR = 1.25
# Weight of the newest answer in the factor, and of the first late one. One
# extreme answer must not decide.
_NEWEST_WEIGHT = 0.5
_FIRST_WEIGHT = 0.25
_MAX_RATIO = 5.0
# An answer is in time up to this factor of the expected time, and the margin
# for the network and the node itself.
_IN_TIME_FACTOR = 1.5
_IN_TIME_MARGIN_S = 0.15
# Without a pace, predictions are at times too short as nodes do not know of
# each other's newest requests. Only an answer that counts as silent is late.
_SILENT_FACTOR = 2.0
_SILENT_MARGIN_S = 0.35
# Part of the time to a first event that no prediction covers.
_OVERHEAD_S = 0.05
# A pace without an answer for this long says little of the present.
_KEEP_S = 30.0
# Smaller changes are not worth a message.
_MIN_LIMIT_CHANGE = 0.5
_MIN_FACTOR_CHANGE = 1.2
# Paces in a heartbeat, which must fit in one datagram.
_MAX_SHARED_PACES = 8

_log = logs.log_for("endpoints")


class UpdateOutbox(Protocol):
    """Collects updates for the other nodes."""

    def drafts_for(
        self, endpoint: endpoints.Endpoint
    ) -> Sequence[peer_updates.PeerUpdate]:
        """Return the next updates to the nodes that share an endpoint."""


@dataclasses.dataclass(frozen=True)
class SlowStart:
    """Why and since when an endpoint is to be tried with few requests.

    :param at_s: clock time of the start, the fault or the coldness
    """

    reason: str
    at_s: float
    is_cold: bool = False


@dataclasses.dataclass(frozen=True)
class Expectation:
    """When an answer was expected, as placed.

    :param first_event_s: time to the first event; for a plain service its
        target, as there is no prediction
    :param factor: factor by which the prediction was multiplied
    """

    first_event_s: float
    factor: float = 1.0

    def ratio(self, elapsed_s: float) -> float:
        """Return the ratio of the actual to the predicted time."""
        predicted_s = self.first_event_s / self.factor
        ratio = (elapsed_s - _OVERHEAD_S) / max(predicted_s, _OVERHEAD_S)
        return min(max(1.0, ratio), _MAX_RATIO)

    def is_met(self, elapsed_s: float) -> bool:
        """Return whether an answer after some time is in time."""
        late_s = _IN_TIME_FACTOR * self.first_event_s + _IN_TIME_MARGIN_S
        return elapsed_s <= late_s


@dataclasses.dataclass(frozen=True)
class Assessment:
    """What another request would meet at an endpoint.

    :param factor: factor by which its prediction is to be multiplied
    :param excess: by how much it would exceed the limit, as a share of the
        limit; 0 if it has room
    """

    factor: float = 1.0
    excess: float = 0.0


class _NoOutbox:
    def drafts_for(
        self, endpoint: endpoints.Endpoint
    ) -> Sequence[peer_updates.PeerUpdate]:
        return ()


@dataclasses.dataclass(frozen=True)
class _Pace:
    """Pace of one process of an endpoint.

    :param limit: requests that may be in flight from all nodes; None if the
        pace has ended
    :param factor: ratio of the actual to the predicted time to first event
    :param changed_at_s: clock time of the answer that changed it last
    :param announced: limit and factor that any node announced last
    :param lowered_at_s: clock time at which the limit fell last
    """

    born_ms: int
    limit: float | None
    factor: float
    changed_at_s: float
    announced: tuple[float | None, float] | None = None
    lowered_at_s: float = float("-inf")

    def lower_limit(self, sent_at_s: float) -> float:
        """Return the limit after a late answer.

        Requests that were sent before the limit fell show nothing new.

        :param sent_at_s: when the request was sent
        """
        if sent_at_s < self.lowered_at_s:
            return self.limit
        return self.limit * _LATE_SHARE

    @property
    def is_news(self) -> bool:
        """Whether it differs enough from what other nodes know."""
        if self.announced is None or self.limit is None:
            return True
        limit, factor = self.announced
        if limit is None or abs(self.limit - limit) >= _MIN_LIMIT_CHANGE:
            return True
        change = max(self.factor, factor) / min(self.factor, factor)
        return change >= _MIN_FACTOR_CHANGE


class EndpointPaces:
    """Finds from the answers how many requests an endpoint takes.

    An endpoint without a pace is used as its figures say. One that starts,
    is back after a fault or is cold begins with a low limit, which rises with
    each answer in time and falls with each that is late or missing. The
    nodes of a pool share each change, as one node sees few answers.

    :param outbox: sends changes to the nodes that share an endpoint
    :param find: returns the endpoint with an instance, or None
    :param find_slow_start: returns why an endpoint begins anew, or None
    :param is_own: returns whether an endpoint is in the pool of this node
    :param on_recovered: called with an instance that answers another node in
        time after a fault that this node knows of
    """

    def __init__(
        self,
        outbox: UpdateOutbox,
        find: Callable[[str], endpoints.Endpoint | None],
        find_slow_start: Callable[[endpoints.Endpoint], SlowStart | None],
        is_own: Callable[[endpoints.Endpoint], bool] = lambda _: True,
        on_recovered: Callable[[str], None] = lambda _: None,
    ) -> None:
        self._outbox = outbox
        self._find = find
        self._find_slow_start = find_slow_start
        self._is_own = is_own
        self._on_recovered = on_recovered
        self._paces: dict[str, _Pace] = {}

    @property
    def count(self) -> int:
        """Number of endpoints that have a pace."""
        return sum(pace.limit is not None for pace in self._paces.values())

    @classmethod
    def none(cls) -> "EndpointPaces":
        """Return the paces of endpoints that all take what they should."""
        return cls(_NoOutbox(), lambda _: None, lambda _: None)

    def limit(self, endpoint: endpoints.Endpoint) -> float | None:
        """Return how many requests may be in flight, or None for all."""
        pace = self._current(endpoint)
        return None if pace is None else pace.limit

    def assess(
        self, endpoint: endpoints.Endpoint, in_flight: int
    ) -> Assessment:
        """Return what another request would meet at an endpoint.

        :param in_flight: requests that are known to be in flight there
        """
        pace = self._current(endpoint)
        if pace is None:
            return Assessment()
        if pace.limit >= endpoint.slots:
            return Assessment(pace.factor)
        if not self._is_own(endpoint):
            # Only the nodes of its pool know how many there are.
            in_flight = max(in_flight, int(pace.limit))
        excess = max(0, in_flight + 1 - int(pace.limit))
        return Assessment(pace.factor, excess / pace.limit)

    def record_answer(
        self,
        endpoint: endpoints.Endpoint,
        elapsed_s: float,
        expected: Expectation,
    ) -> None:
        """Record that the answer to a request of this node has begun.

        :param elapsed_s: time from sending the request
        """
        pace = self._current(endpoint)
        if pace is None:
            late_s = _SILENT_FACTOR * expected.first_event_s + _SILENT_MARGIN_S
            if elapsed_s <= late_s:
                return
            # A single late answer only makes others more attractive.
            pace = self._begin(endpoint, float(endpoint.slots))
            factor = pace.factor + _FIRST_WEIGHT * (
                expected.ratio(elapsed_s) - pace.factor
            )
            self._set(endpoint, pace, pace.limit, factor, "answer")
            return
        factor = pace.factor + _NEWEST_WEIGHT * (
            expected.ratio(elapsed_s) - pace.factor
        )
        limit = pace.limit + 1
        if not expected.is_met(elapsed_s):
            limit = pace.lower_limit(clock.now_s() - elapsed_s)
        self._set(endpoint, pace, limit, factor, "answer")

    def record_silence(
        self, endpoint: endpoints.Endpoint, silent_s: float
    ) -> None:
        """Record that an answer is later than the known load explains.

        :param silent_s: time since the request was sent, or less
        """
        pace = self._current(endpoint)
        if pace is None:
            pace = self._begin(endpoint, float(endpoint.slots))
            limit = pace.limit
        else:
            limit = pace.lower_limit(clock.now_s() - silent_s)
        factor = max(pace.factor, _SILENT_FACTOR)
        self._set(endpoint, pace, limit, factor, "silence")

    def record_refusal(self, endpoint: endpoints.Endpoint) -> None:
        """Record that an endpoint that has a pace is busy."""
        pace = self._current(endpoint)
        if pace is not None:
            limit = pace.limit * _LATE_SHARE
            self._set(endpoint, pace, limit, pace.factor, "refusal")

    def record_failure(self, endpoint: endpoints.Endpoint) -> None:
        """Record that an answer is missing, broke off or was an error."""
        pace = self._current(endpoint)
        if pace is None:
            pace = self._begin(endpoint, float(endpoint.slots))
        self._set(endpoint, pace, pace.limit / 2, pace.factor, "failure")

    def update_from_peer(
        self, seen: peer_updates.EndpointPace, delay_s: float
    ) -> None:
        """Apply the pace that another node found, unless it is older."""
        changed_at_s = clock.now_s() - delay_s - seen.age_ms / 1000
        endpoint = self._find(seen.instance)
        if endpoint is None or (endpoint.born_ms or 0) != seen.born_ms:
            return
        previous = self._paces.get(seen.instance)
        is_same = previous is not None and previous.born_ms == seen.born_ms
        if is_same and previous.changed_at_s >= changed_at_s:
            return
        before = self.limit(endpoint)
        limit = max(_MIN_LIMIT, seen.limit) if seen.limit > 0 else None
        factor = min(max(1.0, seen.factor), _MAX_FACTOR)
        lowered_at_s = previous.lowered_at_s if is_same else float("-inf")
        if limit is not None and (before is None or limit < before):
            lowered_at_s = changed_at_s
        self._paces[seen.instance] = _Pace(
            seen.born_ms,
            limit,
            factor,
            changed_at_s,
            (limit, factor),
            lowered_at_s,
        )
        slow_start = self._find_slow_start(endpoint)
        if slow_start is not None and slow_start.at_s > changed_at_s:
            return
        if before is not None and (limit is None or limit > before):
            self._on_recovered(seen.instance)

    def describe(self) -> list[peer_updates.EndpointPace]:
        """Return paces in force, for other nodes.

        If there are many, each heartbeat has some others.
        """
        known = [
            instance
            for instance, pace in self._paces.items()
            if pace.limit is not None
        ]
        now = clock.now_s()
        return [
            _to_entry(instance, self._paces[instance], now)
            for instance in random.sample(
                known, min(len(known), _MAX_SHARED_PACES)
            )
        ]

    def keep_only(self, instances: Iterable[str]) -> None:
        """Forget endpoints that are gone, and paces that say little now."""
        listed, now = set(instances), clock.now_s()
        self._paces = {
            instance: pace
            for instance, pace in self._paces.items()
            if instance in listed and now - pace.changed_at_s < _KEEP_S
        }

    def _current(self, endpoint: endpoints.Endpoint) -> _Pace | None:
        """Return the pace in force, with a limit, or None."""
        pace = self._paces.get(endpoint.instance)
        born_ms = endpoint.born_ms or 0
        if pace is not None and pace.born_ms != born_ms:
            pace = None
        slow_start = self._find_slow_start(endpoint)
        if slow_start is None:
            return None if pace is None or pace.limit is None else pace
        if pace is not None and pace.changed_at_s >= slow_start.at_s:
            return None if pace.limit is None else pace
        # What the endpoint took before says nothing of the present.
        factor = 1.0 if pace is None or pace.limit is None else pace.factor
        if slow_start.is_cold:
            factor = max(factor, _COLD_FACTOR)
        return _Pace(born_ms, _FIRST_LIMIT, factor, slow_start.at_s)

    def _begin(self, endpoint: endpoints.Endpoint, limit: float) -> _Pace:
        return _Pace(endpoint.born_ms or 0, limit, 1.0, clock.now_s())

    def _set(
        self,
        endpoint: endpoints.Endpoint,
        previous: _Pace,
        limit: float,
        factor: float,
        cause: str,
    ) -> None:
        limit = min(max(_MIN_LIMIT, limit), float(endpoint.slots))
        factor = min(max(1.0, factor), _MAX_FACTOR)
        is_over = limit >= endpoint.slots and factor < _USUAL_FACTOR
        if is_over and self._current(endpoint) is None:
            return
        now = clock.now_s()
        pace = _Pace(
            endpoint.born_ms or 0,
            None if is_over else limit,
            1.0 if is_over else factor,
            now,
            previous.announced,
            now if limit < previous.limit else previous.lowered_at_s,
        )
        if not pace.is_news:
            self._paces[endpoint.instance] = pace
            return
        pace = dataclasses.replace(pace, announced=(pace.limit, pace.factor))
        self._paces[endpoint.instance] = pace
        for draft in self._outbox.drafts_for(endpoint):
            draft.paces.append(_to_entry(endpoint.instance, pace, now))
        _log.info(
            "Endpoint has no pace any more" if is_over else "Endpoint paced",
            instance=endpoint.instance,
            cause=cause,
            limit=round(limit, 1),
            before=round(previous.limit, 1),
            factor=round(factor, 2),
            age_ms=round((now - previous.changed_at_s) * 1000),
        )


def _to_entry(
    instance: str, pace: _Pace, now: float
) -> peer_updates.EndpointPace:
    return peer_updates.EndpointPace(
        instance=instance,
        born_ms=pace.born_ms,
        limit=pace.limit or 0.0,
        factor=pace.factor,
        age_ms=max(0, round((now - pace.changed_at_s) * 1000)),
    )
