"""Selection of the endpoints that serve a request."""

from collections.abc import Sequence
import dataclasses
import random

from fireflyspur.gateway.common import clock
from fireflyspur.gateway.configuration import routing_config
from fireflyspur.gateway.endpoints import endpoint as endpoints
from fireflyspur.gateway.endpoints import endpoint_directory
from fireflyspur.gateway.scheduling import engine_candidates
from fireflyspur.gateway.scheduling import engine_group
from fireflyspur.gateway.scheduling import in_flight_table
from fireflyspur.gateway.scheduling import latency_model
from fireflyspur.gateway.scheduling import placement_cost

# Cost of each fault of an endpoint since its last success, as a share of the
# request's weight.
_FAULT_COST = 0.3
# Cost of an endpoint in another failure domain: latency and network traffic.
_REMOTE_COST = 0.01
# Numbers of engines that may prefill one prompt together.
_GROUP_SIZES = (1, 2, 3, 4, 6, 8, 12, 16)
# Cost of the best placement in the own pool, as a share of the prompt's
# weight, from which idle engines of other pools are compared as well.
_SPILL_COST = 0.1
# Splitting a prompt into parts shorter than this does not speed it up.
_MIN_PART_TOKENS = 8_000


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
    """

    primary: endpoints.Endpoint
    helpers: tuple[Helper, ...] = ()
    first_event_s: float | None = None
    in_flight: int = 0


class EndpointSelector:
    """Selects the endpoints whose predicted cost is lowest.

    The cost covers missed targets of the request itself and of the requests
    that are already in flight.

    :param directory: the known endpoints
    :param table: in-flight requests that this node knows of
    :param candidates: finds the engines to compare
    :param failure_domain: failure domain of this node
    """

    def __init__(
        self,
        directory: endpoint_directory.EndpointDirectory,
        table: in_flight_table.InFlightTable,
        candidates: engine_candidates.EngineCandidates,
        failure_domain: str,
    ) -> None:
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
            key=lambda endpoint: (
                self._table.count(endpoint.instance) / max(1, endpoint.slots)
                + self._penalty(endpoint),
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
        best = self._best(
            engine, demand, self._candidates.in_pool(service.name, excluded)
        )
        if best is not None and best[0] < _SPILL_COST * demand.weight:
            return best[1]
        spilled = self._best(
            engine,
            demand,
            self._candidates.idle_elsewhere(service.name, excluded),
        )
        if best is None or (spilled is not None and spilled[0] < best[0]):
            best = spilled
        if best is None:
            # How busy these engines are is not known; they may refuse.
            best = self._best(
                engine,
                demand,
                self._candidates.elsewhere(service.name, excluded),
            )
        return None if best is None else best[1]

    def _best(
        self,
        engine: routing_config.EngineSpec,
        demand: placement_cost.Demand,
        compared: Sequence[endpoints.Endpoint],
    ) -> tuple[float, Placement] | None:
        """Return the placement with the lowest cost, and its cost."""
        now = clock.now_s()
        candidates = [
            placement_cost.Candidate(
                endpoint,
                self._table.predict_load(endpoint.instance, engine, now),
                self._penalty(endpoint),
            )
            for endpoint in compared
        ]
        candidates = [c for c in candidates if _has_slot(engine, c)]
        options = self._options(engine, demand, candidates)
        return min(options, key=lambda option: option[0], default=None)

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
        )
        return cost.total, placement

    def _penalty(self, endpoint: endpoints.Endpoint) -> float:
        faults = self._directory.fault_count(endpoint.instance)
        is_remote = endpoint.failure_domain != self._failure_domain
        return _FAULT_COST * faults + _REMOTE_COST * is_remote


def _has_slot(
    engine: routing_config.EngineSpec, candidate: placement_cost.Candidate
) -> bool:
    """Return whether an engine has a free slot for a prompt.

    Prompts that it only helps to prefill are counted separately from those
    that it responds to.
    """
    serving = len(candidate.load.streams)
    helping = candidate.load.in_flight - serving
    return max(serving, helping) < engine.slots
