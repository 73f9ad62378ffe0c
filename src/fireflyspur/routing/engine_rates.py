"""Rate limits that engines name for all nodes together."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import time

from fireflyspur.membership import rendezvous
from fireflyspur.observability import logs
from fireflyspur.rates import pacing
from fireflyspur.rates import return_schedule
from fireflyspur.routing import load_report

# With a lower rate, an engine has fewer owners instead of slower ones.
_MIN_OWNER_RATE_PER_S = 0.5
# An engine that names a lower rate, such as zero, still gets a prompt now and
# then.
_MIN_RATE_PER_S = 0.05
_MAX_WAIT_AFTER_RISE_S = 1.0
# Time after which a caller may find an owner of the engine.
_OTHER_NODE_RETRY_S = 0.25

_log = logs.log_for("limits")


@dataclasses.dataclass(frozen=True)
class _Limit:
    """The rate that an engine has named.

    :param paced: prompts of this node, at its part of the rate
    """

    requests_per_s: float
    paced: pacing.Pacing = pacing.Pacing()


@dataclasses.dataclass(frozen=True)
class _Owners:
    """Nodes that may send to an engine, kept until a node or the rate changes.

    :param names: live nodes that they were chosen from
    :param count: number of owners
    """

    names: Sequence[str]
    count: int
    is_owner: bool


class EngineRates:
    """Keeps the rates that engines name, without messages between nodes.

    A rate is divided evenly between the owners of the engine, the live nodes
    with the highest rendezvous hashes. Other nodes send it nothing.

    :param node_name: name of this node
    :param live_names: returns the names of the live nodes
    """

    def __init__(
        self, node_name: str, live_names: Callable[[], Sequence[str]]
    ) -> None:
        self._node_name = node_name
        self._live_names = live_names
        self._limits: dict[str, _Limit] = {}
        self._owners: dict[str, _Owners] = {}
        self._returns = return_schedule.ReturnSchedule()
        # Engines whose invalid rate has been logged.
        self._invalid: set[str] = set()

    def record(self, engine: str, report: load_report.LoadReport) -> None:
        """Record what an engine reports; an invalid rate changes nothing."""
        if report.has_invalid_rate:
            if engine not in self._invalid:
                self._invalid.add(engine)
                _log.warning("Rate of {} not valid", engine)
            return
        rate = report.max_requests_per_s
        if rate is not None:
            rate = max(_MIN_RATE_PER_S, rate)
        known = self._limits.get(engine)
        old = known.requests_per_s if known else None
        if rate == old:
            return
        _log.info("Rate of {}: {} a second, before {}", engine, rate, old)
        if rate is None:
            del self._limits[engine]
            return
        paced = known.paced if known else pacing.Pacing()
        if rate > (old or 0.0):
            # The wait at a low rate must not outlast it for long.
            now = time.monotonic()
            paced = paced.limit_wait(_MAX_WAIT_AFTER_RISE_S, now)
        self._limits[engine] = _Limit(rate, paced)
        if old is None:
            # What was sent before is not known.
            self.add_request(engine)

    def remove(self, engine: str) -> None:
        """Forget the rate of an engine that has restarted."""
        self._limits.pop(engine, None)
        self._invalid.discard(engine)

    def add_request(self, engine: str) -> None:
        """Count a prompt that this node sends to an engine."""
        limit = self._limits.get(engine)
        if limit is None:
            return
        rate = self._own_rate_per_s(engine, limit)
        if rate:
            paced = limit.paced.add_request(rate, time.monotonic())
            self._limits[engine] = dataclasses.replace(limit, paced=paced)

    def allows(self, engine: str) -> bool:
        """Return whether this node may send a prompt to an engine now."""
        return self._wait_s(engine) <= 0

    def retry_after_s(
        self, engines: Iterable[str], priority: int
    ) -> float | None:
        """Return when a refused caller is to return.

        :param engines: the engines that might run the prompt
        :param priority: priority of the prompt; 0 is the most urgent
        :returns: seconds, or None if one of them may get a prompt now
        """
        engines = list(engines)
        wait_s = min(map(self._wait_s, engines), default=0.0)
        if wait_s <= 0:
            return None
        if wait_s == float("inf"):
            return _OTHER_NODE_RETRY_S
        rate = sum(
            self._own_rate_per_s(engine, self._limits[engine])
            for engine in engines
        )
        return self._returns.add(priority, wait_s, 1 / rate, time.monotonic())

    def _wait_s(self, engine: str) -> float:
        limit = self._limits.get(engine)
        if limit is None:
            return 0.0
        rate = self._own_rate_per_s(engine, limit)
        if not rate:
            return float("inf")
        return limit.paced.wait_s(rate, time.monotonic())

    def _own_rate_per_s(self, engine: str, limit: _Limit) -> float:
        names = self._live_names()
        count = int(limit.requests_per_s / _MIN_OWNER_RATE_PER_S)
        count = max(1, min(len(names), count))
        owners = self._owners.get(engine)
        if owners is None or (owners.names, owners.count) != (names, count):
            ranked = rendezvous.rank(f"rate/{engine}", names)
            owners = _Owners(names, count, self._node_name in ranked[:count])
            self._owners[engine] = owners
        return limit.requests_per_s / count if owners.is_owner else 0.0
