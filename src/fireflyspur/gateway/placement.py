"""Choice of the endpoints that serve a request."""

from collections.abc import Sequence
import dataclasses
import math
import random

from fireflyspur.gateway import clock
from fireflyspur.gateway import endpoint as endpoints
from fireflyspur.gateway import endpoint_directory
from fireflyspur.gateway import pass_model
from fireflyspur.gateway import routing_config
from fireflyspur.gateway import work_book

# Width of the range around a target within which a prediction may turn out
# either way, as a share of the target.
_UNCERTAINTY = 0.15
# Share of the predictions that are disturbed, and by what factor.
_DISTURBED_SHARE = 0.1
_DISTURBED_FACTOR = 2.5
# Cost of each fault that an endpoint had since it last worked, in shares of
# the request's own weight.
_FAULT_COST = 0.3
# Cost of a failure domain other than the node's own: latency and traffic.
_REMOTE_COST = 0.01
# Cost of a second of predicted waiting, so that of two endpoints which are
# both on time the faster one is taken.
_WAIT_COST_PER_S = 0.1
# Cost of a short prompt on an engine that runs no stream yet: it would take
# an engine from the long prompts that come next.
_IDLE_ENGINE_COST = 0.05
# Engine memory that is left free for answers longer than announced.
_MEMORY_SHARE = 0.95
# Long prompts cost callers more when they are late, though less than in
# proportion to their length.
_WEIGHT_EXPONENT = 0.75
_WEIGHT_UNIT_TOKENS = 5_000
# Engines that may read one prompt together.
_GROUP_SIZES = (1, 2, 3, 4, 6, 8, 12, 16)
_NOTHING = pass_model.Reading(0, 0.0)
# Engines that are compared for one prompt. The best of so many is nearly as
# good as the best of all, and the time of a choice stays bounded.
_MAX_COMPARED = 32
# Prompts below this gain nothing from being read in parts.
_MIN_PART_TOKENS = 8_000


@dataclasses.dataclass(frozen=True)
class Demand:
    """What a request asks of an endpoint.

    :param weight: cost of being late, relative to other requests
    """

    prompt_tokens: int
    output_tokens: int
    target_s: float
    max_gap_s: float
    weight: float


@dataclasses.dataclass(frozen=True)
class Helper:
    """An endpoint that reads a part of a prompt.

    :param tokens: memory that it keeps for the prompt; 0 if the first
        endpoint has room for all
    """

    endpoint: endpoints.Endpoint
    tokens: int = 0


@dataclasses.dataclass(frozen=True)
class Placement:
    """Endpoints chosen for a request.

    :param first: the endpoint that answers
    :param helpers: endpoints that read parts of the prompt
    :param first_event_s: predicted time to the first event; None where no
        figures of the engine are known
    :param works: requests known to be on the first endpoint
    """

    first: endpoints.Endpoint
    helpers: tuple[Helper, ...] = ()
    first_event_s: float | None = None
    works: int = 0


@dataclasses.dataclass(frozen=True)
class _Candidate:
    endpoint: endpoints.Endpoint
    outlook: work_book.Outlook
    handicap: float


@dataclasses.dataclass(frozen=True)
class _Group:
    """Candidates that read one prompt together.

    :param members: the one that answers comes first
    :param helper_tokens: memory for the prompt on each of the others
    """

    members: tuple[_Candidate, ...]
    helper_tokens: tuple[int, ...]


def weight_of(prompt_tokens: int) -> float:
    """Return the cost of being late for a prompt."""
    size = max(1.0, prompt_tokens / _WEIGHT_UNIT_TOKENS)
    return size**_WEIGHT_EXPONENT


class Placer:
    """Chooses endpoints by predicted lateness, the request's and others'.

    :param directory: the known endpoints
    :param book: what runs on them
    :param failure_domain: failure domain of this node
    """

    def __init__(
        self,
        directory: endpoint_directory.EndpointDirectory,
        book: work_book.WorkBook,
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
                + self._handicap(item),
                random.random(),
            ),
        )
        return Placement(best, works=self._book.count(best.instance))

    def choose_engine(
        self,
        service: routing_config.Service,
        demand: Demand,
        excluded: frozenset[str],
    ) -> Placement | None:
        """Choose the engine, or group of engines, for a prompt."""
        engine = service.engine
        if engine is None:
            return self.choose_plain(service.name, excluded)
        now = clock.now_s()
        candidates = [
            _Candidate(
                item,
                self._book.outlook(item.instance, engine, now),
                self._handicap(item),
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
        demand: Demand,
        candidates: Sequence[_Candidate],
    ) -> list[tuple[float, Placement]]:
        whole = pass_model.whole_prompt(demand.prompt_tokens)
        options = []
        for size in _GROUP_SIZES:
            if size > len(candidates):
                break
            if size > 1 and whole.tokens / size < _MIN_PART_TOKENS:
                break
            reading = pass_model.part_of(whole, size)
            ranked = sorted(
                candidates,
                key=lambda c: (
                    _cost(engine, demand, c, reading),
                    random.random(),
                ),
            )
            group = _group(engine, demand, ranked, size)
            if group is not None:
                options.append(self._rate(engine, demand, group, reading))
        return options

    def _rate(
        self,
        engine: routing_config.EngineSpec,
        demand: Demand,
        group: "_Group",
        reading: pass_model.Reading,
    ) -> tuple[float, Placement]:
        members = group.members
        times = [
            pass_model.first_event_ms(
                engine, c.outlook.state, reading, is_urgent=index > 0
            )
            for index, c in enumerate(members)
        ]
        first_s = max(times) / 1000
        cost = demand.weight * (
            _lateness(first_s, demand.target_s)
            + _WAIT_COST_PER_S * first_s
            + sum(c.handicap for c in members)
        )
        cost += sum(
            _harm(engine, c, reading, is_urgent=index > 0)
            for index, c in enumerate(members)
        )
        cost += _idle_cost(demand, members[0])
        helpers = zip(members[1:], group.helper_tokens, strict=True)
        placement = Placement(
            members[0].endpoint,
            tuple(Helper(c.endpoint, tokens) for c, tokens in helpers),
            first_s,
            members[0].outlook.works,
        )
        return cost, placement

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

    def _handicap(self, item: endpoints.Endpoint) -> float:
        faults = self._directory.fault_count(item.instance)
        is_remote = item.failure_domain != self._failure_domain
        return _FAULT_COST * faults + _REMOTE_COST * is_remote


def _has_slot(
    engine: routing_config.EngineSpec, candidate: _Candidate
) -> bool:
    return candidate.outlook.works < engine.slots


def _free_tokens(
    engine: routing_config.EngineSpec, candidate: _Candidate
) -> int:
    usable = int(engine.kv_tokens * _MEMORY_SHARE)
    return max(0, usable - candidate.outlook.memory_tokens)


def _group(
    engine: routing_config.EngineSpec,
    demand: Demand,
    ranked: Sequence[_Candidate],
    size: int,
) -> _Group | None:
    """Return the best candidates that have the memory together."""
    wanted = demand.prompt_tokens + demand.output_tokens
    free = [_free_tokens(engine, c) for c in ranked]
    roomy = next(
        (i for i, tokens in enumerate(free) if tokens >= wanted), None
    )
    if roomy is not None:
        others = [c for i, c in enumerate(ranked) if i != roomy]
        members = (ranked[roomy], *others[: size - 1])
        return _Group(members, (0,) * (size - 1))
    members = tuple(ranked[:size])
    if sum(free[:size]) < wanted:
        return None
    return _Group(members, _shares(demand, free[:size]))


def _shares(demand: Demand, free: Sequence[int]) -> tuple[int, ...]:
    """Return the memory that each helper keeps.

    The first endpoint keeps its even share and the answer, and more only
    if the others have no room.
    """
    even = math.ceil(demand.prompt_tokens / len(free))
    left = demand.prompt_tokens + demand.output_tokens - free[0]
    shares = []
    for index, tokens in enumerate(free[1:], 1):
        later = sum(free[index + 1 :])
        share = min(tokens, max(even, left - later))
        shares.append(share)
        left -= share
    return tuple(shares)


def _cost(
    engine: routing_config.EngineSpec,
    demand: Demand,
    candidate: _Candidate,
    reading: pass_model.Reading,
) -> float:
    first_s = (
        pass_model.first_event_ms(engine, candidate.outlook.state, reading)
        / 1000
    )
    own = (
        _lateness(first_s, demand.target_s)
        + _WAIT_COST_PER_S * first_s
        + candidate.handicap
    )
    harm = _harm(engine, candidate, reading)
    return demand.weight * own + harm + _idle_cost(demand, candidate)


def _idle_cost(demand: Demand, candidate: _Candidate) -> float:
    is_short = demand.prompt_tokens < _MIN_PART_TOKENS * 2
    return _IDLE_ENGINE_COST * (is_short and not candidate.outlook.streams)


def _harm(
    engine: routing_config.EngineSpec,
    candidate: _Candidate,
    reading: pass_model.Reading,
    *,
    is_urgent: bool = False,
) -> float:
    """Return the cost of the delays that reading causes to others."""
    outlook = candidate.outlook
    cost = 0.0
    if outlook.streams:
        gap_s = pass_model.longest_gap_ms(engine, outlook.state, reading) / 1e3
        before_s = pass_model.longest_gap_ms(engine, outlook.state, _NOTHING)
        before_s /= 1e3
        cost += sum(
            stream.weight
            * (
                _lateness(gap_s, stream.max_gap_s)
                - _lateness(before_s, stream.max_gap_s)
            )
            for stream in outlook.streams
        )
    if is_urgent and outlook.waiting:
        delay_s = pass_model.read_ms(engine, reading) / 1e3
        cost += sum(
            item.weight
            * (
                _lateness(item.first_event_s + delay_s, item.target_s)
                - _lateness(item.first_event_s, item.target_s)
            )
            for item in outlook.waiting
        )
    return cost


def _lateness(predicted_s: float, target_s: float) -> float:
    """Return the chance that something comes after its target.

    Most predictions are good; some turn out too short by far, when an
    endpoint fails or meets work that was not known.
    """
    ratio = predicted_s / target_s
    usual = _step((ratio - 1) / _UNCERTAINTY)
    disturbed = _step((ratio * _DISTURBED_FACTOR - 1) / _UNCERTAINTY)
    return usual + _DISTURBED_SHARE * (disturbed - usual)


def _step(excess: float) -> float:
    """Return a smooth step from 0 to 1 around 0."""
    if excess > 15:
        return 1.0
    if excess < -15:
        return 0.0
    return 1 / (1 + math.exp(-2 * excess))
