"""Selection of the endpoints that serve a request."""

from collections.abc import Sequence
import dataclasses
import enum
import random

from fireflyspur.gateway.common import clock
from fireflyspur.gateway.configuration import routing_config
from fireflyspur.gateway.endpoints import endpoint as endpoints
from fireflyspur.gateway.endpoints import endpoint_directory
from fireflyspur.gateway.endpoints import endpoint_pace
from fireflyspur.gateway.scheduling import engine_candidates
from fireflyspur.gateway.scheduling import engine_group
from fireflyspur.gateway.scheduling import in_flight_table
from fireflyspur.gateway.scheduling import latency_model
from fireflyspur.gateway.scheduling import placement_cost
from fireflyspur.gateway.scheduling import pool_loads

# Cost of a failed request, as a share of its weight. It is as bad as a missed
# target.
_ERROR_COST = 1.0
# Cost of a request that would double the number that an endpoint takes. Where
# no endpoint has room, the limit refuses nothing.
_EXCESS_COST = 2.0
# Cost of an endpoint in another failure domain: latency and network traffic.
_REMOTE_COST = 0.01
# Added cost of an engine of another pool for each second of age of its report,
# as a prediction from an old report is more often wrong.
_AGE_COST_PER_S = 0.02
# Numbers of engines that may prefill one prompt together.
_GROUP_SIZES = (1, 2, 3, 4, 6, 8, 12, 16)
# Engines of other pools that are compared for a prompt that needs only one.
# The best of a few drawn at random is nearly as good as the best of all, and
# not all nodes choose the same.
_SAMPLED_ELSEWHERE = 8
# Splitting a prompt into parts shorter than this does not speed it up.
_MIN_PART_TOKENS = 8_000


class LoadSource(enum.StrEnum):
    """Where a node knows the load of an endpoint from."""

    OWN_POOL = "own_pool"
    REPORT = "report"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class Helper:
    """An endpoint that prefills a part of a prompt.

    :param tokens: memory to reserve there for the prompt; 0 if the primary
        endpoint has enough memory for all of it
    """

    endpoint: endpoints.Endpoint
    tokens: int = 0


@dataclasses.dataclass(frozen=True)
class Placement:
    """Endpoints selected for a request.

    :param primary: endpoint that responds
    :param helpers: endpoints that prefill parts of the prompt
    :param first_event_s: predicted time to the first event; None for an
        endpoint without published figures
    :param in_flight: number of in-flight requests on the primary endpoint
    :param load_source: where the load of the primary endpoint is known from
    :param load_age_s: age of the report with its load; None without one
    :param factor: factor of the primary endpoint, in the prediction
    """

    primary: endpoints.Endpoint
    helpers: tuple[Helper, ...] = ()
    first_event_s: float | None = None
    in_flight: int = 0
    load_source: LoadSource = LoadSource.OWN_POOL
    load_age_s: float | None = None
    factor: float = 1.0

    @property
    def is_elsewhere(self) -> bool:
        """Whether an engine of another pool responds."""
        return self.load_source is not LoadSource.OWN_POOL


class EndpointSelector:
    """Selects the endpoints whose predicted cost is lowest.

    The cost covers missed targets of the request itself and of the requests
    that are already in flight.

    :param directory: the known endpoints
    :param table: in-flight requests that this node knows of
    :param candidates: finds the engines to compare
    :param failure_domain: failure domain of this node
    :param paces: paces of endpoints, or None if they have none
    """

    def __init__(
        self,
        directory: endpoint_directory.EndpointDirectory,
        table: in_flight_table.InFlightTable,
        candidates: engine_candidates.EngineCandidates,
        failure_domain: str,
        paces: endpoint_pace.EndpointPaces | None = None,
    ) -> None:
        self._paces = paces or endpoint_pace.EndpointPaces.none()
        self._directory = directory
        self._table = table
        self._candidates = candidates
        self._failure_domain = failure_domain

    def choose_plain(
        self, service: str, excluded: frozenset[str]
    ) -> Placement | None:
        """Choose the least loaded endpoint of a plain service.

        :param excluded: instances that must not be chosen
        :returns: None if no endpoint is available
        """
        candidates = self._candidates.available(
            self._directory.ready(service), excluded
        )
        if not candidates:
            return None
        best = min(
            candidates,
            key=lambda endpoint: (self._plain_cost(endpoint), random.random()),
        )
        return Placement(best, in_flight=self._table.count(best.instance))

    def choose_engine(
        self,
        service: routing_config.Service,
        demand: placement_cost.Demand,
        excluded: frozenset[str],
    ) -> Placement | None:
        """Choose the engine, or group of engines, for a prompt.

        :param excluded: instances that must not be chosen
        :returns: None if no engine or group has room
        """
        engine = service.engine
        if engine is None:
            return self.choose_plain(service.name, excluded)
        return self._choose_known(
            service.name, engine, demand, excluded
        ) or self._choose_last(service.name, engine, demand, excluded)

    def record_full(
        self, service: routing_config.Service, instance: str
    ) -> None:
        """Record that an engine refused a request as it has no room."""
        if service.engine is not None:
            self._candidates.record_full(instance, service.engine)

    def has_reported_room(self, service: routing_config.Service) -> bool:
        """Return whether another pool reported an engine with room."""
        return service.engine is not None and bool(
            self._candidates.reported(
                service.name, service.engine, frozenset(), 1
            )
        )

    def _choose_known(
        self,
        service: str,
        engine: routing_config.EngineSpec,
        demand: placement_cost.Demand,
        excluded: frozenset[str],
    ) -> Placement | None:
        """Choose among the engines whose load is known."""
        own = self._own_candidates(
            engine, self._candidates.in_pool(service, excluded)
        )
        count = min(
            _count_elsewhere(demand), engine_candidates.MAX_COMPARED - len(own)
        )
        reported = self._candidates.reported(service, engine, excluded, count)
        return self._best(
            engine, demand, [*own, *map(self._remote_candidate, reported)]
        )

    def _choose_last(
        self,
        service: str,
        engine: routing_config.EngineSpec,
        demand: placement_cost.Demand,
        excluded: frozenset[str],
    ) -> Placement | None:
        """Choose an engine of another pool that may turn out to be full."""
        reported = self._candidates.reported_earlier(
            service, engine, excluded, _count_elsewhere(demand)
        )
        placement = self._best(
            engine, demand, [*map(self._remote_candidate, reported)]
        )
        if placement is not None:
            return placement
        unreported = self._own_candidates(
            engine, self._candidates.unreported(service, engine, excluded)
        )
        placement = self._best(engine, demand, unreported)
        if placement is None:
            return None
        return dataclasses.replace(placement, load_source=LoadSource.UNKNOWN)

    def _own_candidates(
        self,
        engine: routing_config.EngineSpec,
        compared: Sequence[endpoints.Endpoint],
    ) -> list[placement_cost.Candidate]:
        """Return the engines that have a slot, as far as the table tells."""
        now = clock.now_s()
        candidates = [self._candidate(engine, e, now) for e in compared]
        return [
            candidate
            for candidate in candidates
            if pool_loads.busy_slots(candidate.load) < engine.slots
        ]

    def _remote_candidate(
        self, reported: tuple[endpoints.Endpoint, pool_loads.RemoteLoad]
    ) -> placement_cost.Candidate:
        endpoint, load = reported
        pace = self._paces.assess(endpoint, load.predicted.in_flight)
        penalty = self._penalty(endpoint) + _AGE_COST_PER_S * load.age_s
        penalty += _EXCESS_COST * pace.excess
        return placement_cost.Candidate(
            endpoint, load.predicted, penalty, load.age_s, pace.factor
        )

    def _best(
        self,
        engine: routing_config.EngineSpec,
        demand: placement_cost.Demand,
        candidates: Sequence[placement_cost.Candidate],
    ) -> Placement | None:
        """Return the placement with the lowest cost."""
        options = self._options(engine, demand, candidates)
        best = min(options, key=lambda option: option[0], default=None)
        return None if best is None else best[1]

    def _options(
        self,
        engine: routing_config.EngineSpec,
        demand: placement_cost.Demand,
        candidates: Sequence[placement_cost.Candidate],
    ) -> list[tuple[float, Placement]]:
        full_prefill = latency_model.full_prefill(demand.prompt_tokens)
        options = []
        for size in _GROUP_SIZES:
            if size > len(candidates):
                break
            if size > 1 and full_prefill.tokens / size < _MIN_PART_TOKENS:
                break
            prefill = latency_model.prefill_part(full_prefill, size)
            ranked = sorted(
                candidates,
                key=lambda c: (
                    placement_cost.estimate_cost(
                        engine, demand, (c,), prefill
                    ).total,
                    random.random(),
                ),
            )
            group = engine_group.find_group(engine, demand, ranked, size)
            if group is not None:
                options.append(self._evaluate(engine, demand, group, prefill))
        return options

    def _evaluate(
        self,
        engine: routing_config.EngineSpec,
        demand: placement_cost.Demand,
        group: engine_group.Group,
        prefill: latency_model.Prefill,
    ) -> tuple[float, Placement]:
        members = group.members
        cost = placement_cost.estimate_cost(engine, demand, members, prefill)
        helpers = zip(members[1:], group.helper_tokens, strict=True)
        placement = Placement(
            members[0].endpoint,
            tuple(Helper(c.endpoint, tokens) for c, tokens in helpers),
            cost.first_event_s,
            members[0].load.in_flight,
            LoadSource.OWN_POOL
            if members[0].report_age_s is None
            else LoadSource.REPORT,
            members[0].report_age_s,
            members[0].factor,
        )
        return cost.total, placement

    def _candidate(
        self,
        engine: routing_config.EngineSpec,
        endpoint: endpoints.Endpoint,
        now: float,
    ) -> placement_cost.Candidate:
        load = self._table.predict_load(endpoint.instance, engine, now)
        pace = self._paces.assess(endpoint, load.in_flight)
        penalty = self._penalty(endpoint) + _EXCESS_COST * pace.excess
        return placement_cost.Candidate(
            endpoint, load, penalty, factor=pace.factor
        )

    def _plain_cost(self, endpoint: endpoints.Endpoint) -> float:
        in_flight = self._table.count(endpoint.instance)
        pace = self._paces.assess(endpoint, in_flight)
        slowness = (pace.factor - 1) * (in_flight + 1)
        load = (in_flight + slowness) / max(1, endpoint.slots)
        return load + self._penalty(endpoint) + _EXCESS_COST * pace.excess

    def _penalty(self, endpoint: endpoints.Endpoint) -> float:
        error_rate = self._directory.errors.draw_penalty(endpoint.instance)
        is_remote = endpoint.failure_domain != self._failure_domain
        return _ERROR_COST * error_rate + _REMOTE_COST * is_remote


def _count_elsewhere(demand: placement_cost.Demand) -> int:
    """Return how many engines of other pools to compare for a prompt."""
    if demand.prompt_tokens < 2 * _MIN_PART_TOKENS:
        return _SAMPLED_ELSEWHERE
    return engine_candidates.MAX_COMPARED
