"""What a pool tells other pools of its engines, and when."""

from collections.abc import Iterator
from collections.abc import Sequence
import dataclasses
import random

from fireflyspur.gateway.common import clock
from fireflyspur.gateway.scheduling import pool_loads
from fireflyspur.generated import peer_updates_pb2 as peer_updates
from fireflyspur.observability import logs

# Reports to other pools in a second, so that the cost of a node doesn't grow
# with the number of pools.
_REPORTS_PER_S = 4
# Size of a report. A node receives about four reports a second, which must
# stay below 2 KB/s.
_MAX_BYTES = 400
# Regular reports in a second; the others are for changes of the room.
_REGULAR_PER_S = 3
_MAX_INTERVAL_S = 1.0
# A further report is sent at once if the room has changed by this factor, and
# by one slot of each engine.
_CHANGE_FACTOR = 2
# Idle engines that are named for nodes of older builds.
_MAX_IDLE = 4

_log = logs.log_for("pools")


@dataclasses.dataclass(frozen=True, slots=True)
class ReportedEngine:
    """An engine of the own pool.

    :param room: number of further requests that it has slots for
    """

    load: pool_loads.EngineLoad
    room: int


class PoolLoadReport:
    """Decides what is reported of the own pool's engines, and when."""

    def __init__(self) -> None:
        self._sent_at_s: list[float] = []
        self._next_at_s = 0.0
        self._last_room = 0
        # Clock time at which an engine was last reported to have room.
        self._offered_at_s: dict[str, float] = {}
        # Engines that the latest reports named as full.
        self._told_full: set[str] = set()

    def count_due(self, engines: Sequence[ReportedEngine], pools: int) -> int:
        """Return how many other pools get a report now.

        :param pools: number of the other pools
        """
        now = clock.now_s()
        room = sum(max(0, engine.room) for engine in engines)
        if now < self._next_at_s and not self._has_changed(room, len(engines)):
            return 0
        self._sent_at_s = [s for s in self._sent_at_s if now - s < 1.0]
        count = min(pools, _REPORTS_PER_S - len(self._sent_at_s))
        if count:
            if self._has_changed(room, len(engines)):
                _log.info(
                    "Room of the pool changed",
                    slots=room,
                    before=self._last_room,
                    engines=len(engines),
                )
            for instance in self._told_full:
                self._offered_at_s.pop(instance, None)
            self._told_full.clear()
            interval_s = min(_MAX_INTERVAL_S, pools / _REGULAR_PER_S)
            self._next_at_s = now + interval_s
            self._last_room = room
        self._sent_at_s += [now] * count
        return count

    def compose(
        self, engines: Sequence[ReportedEngine]
    ) -> peer_updates.PeerUpdate:
        """Return a report, with a choice of the engines if they don't fit.

        Each pool gets another choice, so that several pools do not send their
        requests to the same few engines. Engines that were offered before and
        are full now come first.
        """
        now = clock.now_s()
        self._offered_at_s = {
            instance: offered_at_s
            for instance, offered_at_s in self._offered_at_s.items()
            if now - offered_at_s < pool_loads.MAX_AGE_S
        }
        update = peer_updates.PeerUpdate(is_for_pool=True)
        report = update.pool_load.add(age_ms=0)
        for engine in self._rank(engines):
            _append(report, engine.load)
            is_idle = not engine.load.in_flight and engine.room > 0
            is_named = is_idle and len(update.idle.instances) < _MAX_IDLE
            if is_named:
                update.idle.instances.append(engine.load.instance)
            if update.ByteSize() > _MAX_BYTES:
                del report.engines[-1]
                if is_named:
                    del update.idle.instances[-1]
                break
            if engine.room > 0:
                self._offered_at_s[engine.load.instance] = now
            else:
                self._told_full.add(engine.load.instance)
        return update

    def _has_changed(self, room: int, engines: int) -> bool:
        lower, higher = sorted((room, self._last_room))
        return higher - lower >= max(1, engines) and (
            higher >= _CHANGE_FACTOR * lower
        )

    def _rank(
        self, engines: Sequence[ReportedEngine]
    ) -> Iterator[ReportedEngine]:
        for engine in engines:
            if engine.room <= 0 and engine.load.instance in self._offered_at_s:
                yield engine
        offered = [engine for engine in engines if engine.room > 0]
        yield from sorted(
            offered,
            key=lambda engine: random.random() ** (1 / engine.room),
            reverse=True,
        )


def apply(
    update: peer_updates.PeerUpdate, loads: pool_loads.PoolLoads
) -> None:
    """Add the loads in an update of another node to the known ones."""
    if update.pool_load:
        loads.add(decode(update))
    else:
        # Nodes of older builds name only idle engines.
        loads.add_idle(update.idle.instances)


def decode(update: peer_updates.PeerUpdate) -> list[pool_loads.EngineLoad]:
    """Return the loads in an update of another node."""
    now = clock.now_s()
    return [
        pool_loads.EngineLoad(
            engine.instance,
            engine.in_flight,
            float(engine.pending_prefill_ms),
            engine.free_tokens,
            engine.min_gap_ms / 1000 or None,
            now - report.age_ms / 1000,
        )
        for report in update.pool_load
        for engine in report.engines
    ]


def _append(
    report: peer_updates.PoolLoad, load: pool_loads.EngineLoad
) -> None:
    report.engines.add(
        instance=load.instance,
        in_flight=load.in_flight,
        pending_prefill_ms=round(load.pending_prefill_ms),
        free_tokens=load.free_tokens or 0,
        min_gap_ms=round((load.min_gap_s or 0.0) * 1000),
    )
