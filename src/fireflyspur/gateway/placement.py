"""Choice of the endpoints that serve a request."""

from collections.abc import Sequence
import dataclasses
import random

from fireflyspur.gateway import clock
from fireflyspur.gateway import endpoint as endpoints
from fireflyspur.gateway import endpoint_directory
from fireflyspur.gateway import engine_group
from fireflyspur.gateway import in_flight_table
from fireflyspur.gateway import latency_model
from fireflyspur.gateway import placement_cost
from fireflyspur.gateway import routing_config

# Cost of each fault that an endpoint had since it last worked, in shares of
# the request's own weight.
_FAULT_COST = 0.3
# Cost of a failure domain other than the node's own: latency and traffic.
_REMOTE_COST = 0.01
# Engines that may read one prompt together.
_GROUP_SIZES = (1, 2, 3, 4, 6, 8, 12, 16)
# Engines that are compared for one prompt. The best of so many is nearly as
# good as the best of all, and the time of a choice stays bounded.
_MAX_COMPARED = 32
# Prompts below this gain nothing from being read in parts.
_MIN_PART_TOKENS = 8_000


@dataclasses.dataclass(frozen=True)
class Helper:
    """An endpoint that reads a part of a prompt.

    :param tokens: memory that it keeps for the prompt; 0 if the primary
        endpoint has room for all
    """

    endpoint: endpoints.Endpoint
    tokens: int = 0


@dataclasses.dataclass(frozen=True)
class Placement:
    """Endpoints chosen for a request.

    :param primary: the endpoint that answers
    :param helpers: endpoints that read parts of the prompt
    :param first_event_s: predicted time to the first event; None where no
        figures of the engine are known
    :param in_flight: requests known to be on the primary endpoint
    """

    primary: endpoints.Endpoint
    helpers: tuple[Helper, ...] = ()
    first_event_s: float | None = None
    in_flight: int = 0


class EndpointSelector:
    """Chooses endpoints by predicted lateness, the request's and others'.

    :param directory: the known endpoints
    :param book: what runs on them
    :param failure_domain: failure domain of this node
    """

    def __init__(
        self,
        directory: endpoint_directory.EndpointDirectory,
        book: in_flight_table.InFlightTable,
        failure_domain: str,
    ) -> None:
        self._directory = directory
        self._book = book
        self._failure_domain = failure_domain

    def choose_plain(
        self, service: str, excluded: frozenset[str]
    ) -> Placement | None:
        """Choose the endpoint of a plain service with the least work.

        :param excluded: instances that were tried
        """
        candidates = self._candidates(service, excluded)
        if not candidates:
            return None
        best = min(
            candidates,
            key=lambda item: (
                self._book.count(item.instance) / max(1, item.slots)
                + self._penalty(item),
                random.random(),
            ),
        )
        return Placement(best, in_flight=self._book.count(best.instance))

    def choose_engine(
        self,
        service: routing_config.Service,
        demand: placement_cost.Demand,
        excluded: frozenset[str],
    ) -> Placement | None:
        """Choose the engine, or group of engines, for a prompt."""
        engine = service.engine
        if engine is None:
            return self.choose_plain(service.name, excluded)
        now = clock.now_s()
        candidates = [
            placement_cost.Candidate(
                item,
                self._book.predict_load(item.instance, engine, now),
                self._penalty(item),
            )
            for item in self._sample(service.name, excluded)
        ]
        candidates = [c for c in candidates if _has_slot(engine, c)]
        if not candidates:
            return None
        options = self._options(engine, demand, candidates)
        return min(options, key=lambda option: option[0], default=(0, None))[1]

    def _options(
        self,
        engine: routing_config.EngineSpec,
        demand: placement_cost.Demand,
        candidates: Sequence[placement_cost.Candidate],
    ) -> list[tuple[float, Placement]]:
        full = latency_model.full_prefill(demand.prompt_tokens)
        options = []
        for size in _GROUP_SIZES:
            if size > len(candidates):
                break
            if size > 1 and full.tokens / size < _MIN_PART_TOKENS:
                break
            prefill = latency_model.prefill_part(full, size)
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

    def _candidates(
        self, service: str, excluded: frozenset[str]
    ) -> list[endpoints.Endpoint]:
        ready = self._directory.ready(service)
        usable = [
            item
            for item in ready
            if item.instance not in excluded
            and not self._directory.is_paused(item.instance)
        ]
        # When all are paused, a paused one is better than none.
        return usable or [e for e in ready if e.instance not in excluded]

    def _sample(
        self, service: str, excluded: frozenset[str]
    ) -> list[endpoints.Endpoint]:
        candidates = self._candidates(service, excluded)
        if len(candidates) <= _MAX_COMPARED:
            return candidates
        return random.sample(candidates, _MAX_COMPARED)

    def _penalty(self, item: endpoints.Endpoint) -> float:
        faults = self._directory.fault_count(item.instance)
        is_remote = item.failure_domain != self._failure_domain
        return _FAULT_COST * faults + _REMOTE_COST * is_remote


def _has_slot(
    engine: routing_config.EngineSpec, candidate: placement_cost.Candidate
) -> bool:
    """Whether an engine may take a prompt; those it helps count apart."""
    serving = len(candidate.load.streams)
    helping = candidate.load.in_flight - serving
    return max(serving, helping) < engine.slots
