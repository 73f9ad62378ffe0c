"""Selection of the endpoints that serve a request."""

import collections
from collections.abc import Mapping
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
# Cost of an endpoint for each one of its failure domain that did not serve the
# request: a domain often fails as a whole, and only a few attempts are left.
_FAILED_DOMAIN_COST = 0.25
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
    :param free_share: share of the slots of the engines compared that is free;
        None for an endpoint without published figures
    """

    primary: endpoints.Endpoint
    helpers: tuple[Helper, ...] = ()
    first_event_s: float | None = None
    in_flight: int = 0
    load_source: LoadSource = LoadSource.OWN_POOL
    load_age_s: float | None = None
    factor: float = 1.0
    free_share: float | None = None

    @property
    def is_elsewhere(self) -> bool:
        """Whether an engine of another pool responds."""
        return self.load_source is not LoadSource.OWN_POOL


@dataclasses.dataclass(frozen=True)
class _Search:
    """What engines are compared for.

    :param excluded: instances that must not be chosen
    :param failed: number of them by failure domain
    """

    service: str
    engine: routing_config.EngineSpec
    demand: placement_cost.Demand
    excluded: frozenset[str]
    failed: Mapping[str, int]


class EndpointSelector:
    """Selects the endpoints whose predicted cost is lowest.

    The cost covers missed targets of the request itself and of the requests
    that are already in flight.

    :param directory: the known endpoints
    :param table: in-flight requests that this node knows of
    :param candidates: finds the engines to compare
    :param failure_domain: failure domain of this node
    :param paces: paces, by which endpoints of plain services are compared, or
        None if there are none
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
        failed = self._count_domains(excluded)
        best = min(
            candidates,
            key=lambda endpoint: (
                self._plain_cost(endpoint, failed),
                random.random(),
            ),
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
        search = _Search(
            service.name,
            engine,
            demand,
            excluded,
            self._count_domains(excluded),
        )
        placement = self._choose_known(search)
        if placement is not None:
            return placement
        placement = self._choose_fallback(search)
        if placement is None:
            return None
        return dataclasses.replace(placement, free_share=0.0)

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
                service.name,
                service.engine,
                frozenset(),
                engine_candidates.MAX_COMPARED,
            )
        )

    def _choose_known(self, search: _Search) -> Placement | None:
        """Choose among the engines whose load is known."""
        in_pool = self._candidates.in_pool(search.service, search.excluded)
        own = self._own_candidates(search, in_pool)
        count = min(
            _other_pool_sample_size(search.demand),
            engine_candidates.MAX_COMPARED - len(own),
        )
        reported = self._candidates.reported(
            search.service, search.engine, search.excluded, count
        )
        others = self._remote_candidates(search, reported)
        return self._best(
            search, [*own, *others], full=len(in_pool) - len(own)
        )

    def _choose_fallback(self, search: _Search) -> Placement | None:
        """Choose an engine of another pool that may turn out to be full."""
        service, excluded = search.service, search.excluded
        reported = self._candidates.possibly_full(
            service,
            search.engine,
            excluded,
            _other_pool_sample_size(search.demand),
        )
        candidates = self._remote_candidates(search, reported)
        placement = self._best(search, candidates)
        if placement is not None:
            return placement
        others = self._candidates.unreported(service, search.engine, excluded)
        if not others:
            others = self._candidates.paused(service, excluded)
        placement = self._best(search, self._own_candidates(search, others))
        if placement is None or self._candidates.is_own(placement.primary):
            return placement
        return dataclasses.replace(placement, load_source=LoadSource.UNKNOWN)

    def _own_candidates(
        self, search: _Search, compared: Sequence[endpoints.Endpoint]
    ) -> list[placement_cost.Candidate]:
        """Return the engines that have a slot, as far as the table tells."""
        now, engine = clock.now_s(), search.engine
        candidates = []
        for endpoint in compared:
            load = self._table.predict_load(endpoint.instance, engine, now)
            candidates.append(self._candidate(search, endpoint, load))
        return [
            candidate
            for candidate in candidates
            if pool_loads.busy_slots(candidate.load) < engine.slots
        ]

    def _remote_candidates(
        self,
        search: _Search,
        reported: Sequence[tuple[endpoints.Endpoint, pool_loads.RemoteLoad]],
    ) -> list[placement_cost.Candidate]:
        return [
            self._candidate(search, endpoint, load.predicted, load.age_s)
            for endpoint, load in reported
        ]

    def _candidate(
        self,
        search: _Search,
        endpoint: endpoints.Endpoint,
        load: in_flight_table.PredictedLoad,
        report_age_s: float | None = None,
    ) -> placement_cost.Candidate:
        penalty = self._penalty(endpoint, search.failed)
        penalty += _AGE_COST_PER_S * (report_age_s or 0.0)
        return placement_cost.Candidate(endpoint, load, penalty, report_age_s)

    def _best(
        self,
        search: _Search,
        candidates: Sequence[placement_cost.Candidate],
        full: int = 0,
    ) -> Placement | None:
        """Return the placement with the lowest cost.

        :param full: number of other engines, which have no slot
        """
        options = self._options(search.engine, search.demand, candidates)
        best = min(options, key=lambda option: option[0].total, default=None)
        if best is None:
            return None
        _, placement = best
        free_share = _free_share(search.engine, candidates, full)
        return dataclasses.replace(placement, free_share=free_share)

    def _options(
        self,
        engine: routing_config.EngineSpec,
        demand: placement_cost.Demand,
        candidates: Sequence[placement_cost.Candidate],
    ) -> list[tuple[placement_cost.Cost, Placement]]:
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
    ) -> tuple[placement_cost.Cost, Placement]:
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
        )
        return cost, placement

    def _plain_cost(
        self, endpoint: endpoints.Endpoint, failed: Mapping[str, int]
    ) -> float:
        in_flight = self._table.count(endpoint.instance)
        pace = self._paces.assess(endpoint, in_flight)
        slowness = (pace.factor - 1) * (in_flight + 1)
        load = (in_flight + slowness) / max(1, endpoint.slots)
        penalty = self._penalty(endpoint, failed)
        return load + penalty + _EXCESS_COST * pace.excess

    def _count_domains(self, excluded: frozenset[str]) -> Mapping[str, int]:
        """Return how many excluded endpoints each failure domain has."""
        found = map(self._directory.find_named, excluded)
        return collections.Counter(
            endpoint.failure_domain
            for endpoint in found
            if endpoint is not None
        )

    def _penalty(
        self, endpoint: endpoints.Endpoint, failed: Mapping[str, int]
    ) -> float:
        """Return the added cost of an endpoint, as a share of the weight.

        :param failed: endpoints that did not serve the request, by domain
        """
        domain = endpoint.failure_domain
        return (
            _ERROR_COST
            * self._directory.errors.draw_penalty(endpoint.instance)
            + _REMOTE_COST * (domain != self._failure_domain)
            + _FAILED_DOMAIN_COST * failed.get(domain, 0)
        )


def _other_pool_sample_size(demand: placement_cost.Demand) -> int:
    """Return how many engines of other pools to compare for a prompt."""
    if demand.prompt_tokens < 2 * _MIN_PART_TOKENS:
        return _SAMPLED_ELSEWHERE
    return engine_candidates.MAX_COMPARED


def _free_share(
    engine: routing_config.EngineSpec,
    candidates: Sequence[placement_cost.Candidate],
    full: int,
) -> float:
    """Return the share of the slots that is free.

    :param candidates: engines with a free slot
    :param full: number of engines that have none
    """
    free = sum(
        engine.slots - pool_loads.busy_slots(c.load) for c in candidates
    )
    return free / ((len(candidates) + full) * engine.slots)
