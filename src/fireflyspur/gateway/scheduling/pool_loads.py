"""Load of the engines of other pools."""

from collections.abc import Iterable
import dataclasses
import math

from fireflyspur.gateway.common import clock
from fireflyspur.gateway.configuration import routing_config
from fireflyspur.gateway.scheduling import in_flight_table
from fireflyspur.gateway.scheduling import latency_model

# A pool reports about once a second. Another node takes over 3.2 s after the
# reporting one has become silent.
MAX_AGE_S = 4.5
# Requests that an engine may have got from others since its report, for each
# second of age. Its own pool fills few engines first, which get several times
# the mean.
_UNSEEN_PER_S = 3.0
# Memory that such requests may use; an engine crashes when it has none left.
_UNSEEN_TOKENS_PER_S = 45_000
# Requests that were sent this long before a report may not be counted in it:
# updates are batched for 2 ms, and domains are some milliseconds apart.
_TRANSIT_S = 0.05
# At usual response lengths, an engine frees a slot several times a second, so
# a report that it is full says little after this time.
_FULL_S = 0.25
_ASSUMED_WEIGHT = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class EngineLoad:
    """Load of an engine of another pool, as reported.

    :param in_flight: requests that take up slots
    :param pending_prefill_ms: prefill time left for the queued prompts
    :param free_tokens: memory that its requests leave free, or None for all
    :param min_gap_s: shortest target for a pause of its streams, or None
    :param taken_at_s: clock time of this node when the figures were taken
    """

    instance: str
    in_flight: int
    pending_prefill_ms: float
    free_tokens: int | None
    min_gap_s: float | None
    taken_at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Report:
    """A report, and what it counts of this node's pool.

    :param own_in_flight: requests of this pool
    :param own_tokens: memory that they use
    """

    load: EngineLoad
    own_in_flight: int
    own_tokens: int


@dataclasses.dataclass(frozen=True, slots=True)
class RemoteLoad:
    """Load that a request would find on an engine of another pool.

    :param room: number of further requests that the engine has slots for
    :param likely_room: the same less those that others may have sent since
        the report
    :param age_s: age of the report
    """

    predicted: in_flight_table.PredictedLoad
    room: int
    likely_room: int
    age_s: float


class PoolLoads:
    """Holds what other pools reported of their engines.

    Reports may be lost, arrive late or come from a pool with another view of
    the engines. In a prediction, what this node's pool has there now replaces
    what it had at the time of the report, and a margin grows with its age.

    :param table: in-flight requests that this node's pool knows of
    """

    def __init__(self, table: in_flight_table.InFlightTable) -> None:
        self._table = table
        self._reports: dict[str, _Report] = {}

    @property
    def has_any(self) -> bool:
        """Whether another pool has reported engines."""
        return bool(self._reports)

    @property
    def instances(self) -> list[str]:
        """Instances of the reported engines."""
        return list(self._reports)

    def add(self, loads: Iterable[EngineLoad]) -> None:
        """Add reported loads, unless they are older than the known ones."""
        oldest_s = clock.now_s() - MAX_AGE_S
        self._reports = {
            instance: report
            for instance, report in self._reports.items()
            if report.load.taken_at_s > oldest_s
        }
        for load in loads:
            known = self._reports.get(load.instance)
            if load.taken_at_s <= oldest_s:
                continue
            if known is None or known.load.taken_at_s <= load.taken_at_s:
                own = self._table.usage_before(
                    load.instance, load.taken_at_s - _TRANSIT_S
                )
                self._reports[load.instance] = _Report(load, *own)

    def add_idle(self, instances: Iterable[str]) -> None:
        """Add engines that were just reported to have no requests."""
        now = clock.now_s()
        self.add(
            EngineLoad(instance, 0, 0.0, None, None, now)
            for instance in instances
        )

    def record_full(
        self, instance: str, engine: routing_config.EngineSpec
    ) -> None:
        """Record that an engine refused a request as it has no room."""
        self.add(
            [EngineLoad(instance, engine.slots, 0.0, 0, None, clock.now_s())]
        )

    def predict(
        self, instance: str, engine: routing_config.EngineSpec
    ) -> RemoteLoad | None:
        """Return the load of an engine, or None without a recent report."""
        report, now = self._reports.get(instance), clock.now_s()
        if report is None or now - report.load.taken_at_s >= MAX_AGE_S:
            return None
        age_s = max(0.0, now - report.load.taken_at_s)
        unseen = round(_UNSEEN_PER_S * age_s)
        others = max(0, report.load.in_flight - report.own_in_flight) + unseen
        other_tokens = max(
            0, _used_tokens(report.load, engine) - report.own_tokens
        )
        other_tokens += round(_UNSEEN_TOKENS_PER_S * age_s)
        own = self._table.predict_load(instance, engine, now)
        sent = own
        if own.in_flight:
            since_s = report.load.taken_at_s - _TRANSIT_S
            sent = self._table.predict_load(instance, engine, now, since_s)
        state = _combine_state(
            report.load, others, other_tokens, own, sent, engine
        )
        predicted = _combine_load(
            report.load, state, others, other_tokens, own
        )
        likely_room = engine.slots - others - busy_slots(own)
        return RemoteLoad(predicted, likely_room + unseen, likely_room, age_s)

    def is_full(
        self, instance: str, engine: routing_config.EngineSpec
    ) -> bool:
        """Return whether a recent report leaves an engine no slot."""
        load = self.predict(instance, engine)
        return load is not None and load.room <= 0 and load.age_s < _FULL_S


def describe(
    instance: str,
    engine: routing_config.EngineSpec,
    load: in_flight_table.PredictedLoad,
) -> EngineLoad:
    """Return the load of an engine of the own pool for a report."""
    return EngineLoad(
        instance,
        busy_slots(load),
        load.state.pending_prefill_ms,
        max(0, engine.kv_tokens - load.memory_tokens),
        min((s.max_gap_s for s in load.streams), default=None),
        clock.now_s(),
    )


def busy_slots(load: in_flight_table.PredictedLoad) -> int:
    """Return the number of slots that are taken on an engine.

    Prompts that it only helps to prefill are counted separately from those
    that it responds to.
    """
    serving = len(load.streams)
    return max(serving, load.in_flight - serving)


def _combine_state(
    load: EngineLoad,
    others: int,
    other_tokens: int,
    own: in_flight_table.PredictedLoad,
    sent: in_flight_table.PredictedLoad,
    engine: routing_config.EngineSpec,
) -> latency_model.EngineState:
    """Return the state of an engine as of now.

    The other pools go on sending, so the reported prefills count until a
    later report.

    :param others: requests of other pools
    :param own: requests of this pool
    :param sent: those of them that the report does not count
    """
    pending_ms = load.pending_prefill_ms
    pending_tokens = pending_ms / 1000 * engine.prefill_tokens_per_s
    return latency_model.EngineState(
        sequences=others + own.state.sequences,
        context_tokens=other_tokens + own.state.context_tokens,
        pending_prefill_ms=pending_ms + sent.state.pending_prefill_ms,
        urgent_prefill_ms=own.state.urgent_prefill_ms,
        pending_chunks=sent.state.pending_chunks
        + latency_model.chunk_count(engine, math.ceil(pending_tokens)),
    )


def _combine_load(
    load: EngineLoad,
    state: latency_model.EngineState,
    others: int,
    other_tokens: int,
    own: in_flight_table.PredictedLoad,
) -> in_flight_table.PredictedLoad:
    stream = in_flight_table.Stream(
        load.min_gap_s or math.inf, _ASSUMED_WEIGHT
    )
    # The targets of waiting prompts are not known. It is assumed that they
    # are just met.
    waiting_s = load.pending_prefill_ms / 1000
    waiting = in_flight_table.WaitingPrompt(
        waiting_s, waiting_s, _ASSUMED_WEIGHT
    )
    return in_flight_table.PredictedLoad(
        state,
        others + own.in_flight,
        other_tokens + own.memory_tokens,
        (stream,) * others + own.streams,
        ((waiting,) if load.pending_prefill_ms else ()) + own.waiting,
    )


def _used_tokens(load: EngineLoad, engine: routing_config.EngineSpec) -> int:
    if load.free_tokens is None:
        return 0
    return max(0, engine.kv_tokens - load.free_tokens)
