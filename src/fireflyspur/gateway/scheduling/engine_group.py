"""Selection of engines that together have the memory for a prompt."""

from collections.abc import Sequence
import dataclasses
import math

from fireflyspur.gateway.configuration import routing_config
from fireflyspur.gateway.scheduling import placement_cost

# Usable part of an engine's memory; the rest is left free for responses that
# are longer than announced.
_MEMORY_SHARE = 0.95


@dataclasses.dataclass(frozen=True)
class Group:
    """Candidates that prefill one prompt together.

    :param members: the engine that responds, followed by its helpers
    :param helper_tokens: memory for the prompt on each helper, in tokens
    """

    members: tuple[placement_cost.Candidate, ...]
    helper_tokens: tuple[int, ...]


def find_group(
    engine: routing_config.EngineSpec,
    demand: placement_cost.Demand,
    ranked: Sequence[placement_cost.Candidate],
    size: int,
) -> Group | None:
    """Return the best candidates that together have the memory.

    An engine that has the memory alone is preferred; its helpers then store no
    part of the prompt.

    :param ranked: candidates, best first
    :param size: number of members
    """
    needed = demand.prompt_tokens + demand.output_tokens
    free = [_free_tokens(engine, c) for c in ranked]
    single_index = next(
        (i for i, tokens in enumerate(free) if tokens >= needed), None
    )
    if single_index is not None:
        others = [c for i, c in enumerate(ranked) if i != single_index]
        members = (ranked[single_index], *others[: size - 1])
        return Group(members, (0,) * (size - 1))
    members = tuple(ranked[:size])
    if sum(free[:size]) < needed:
        return None
    return Group(members, _shares(demand, free[:size]))


def _free_tokens(
    engine: routing_config.EngineSpec, candidate: placement_cost.Candidate
) -> int:
    usable = int(engine.kv_tokens * _MEMORY_SHARE)
    return max(0, usable - candidate.load.memory_tokens)


def _shares(
    demand: placement_cost.Demand, free: Sequence[int]
) -> tuple[int, ...]:
    """Return the memory in tokens that each helper provides.

    The first endpoint stores an even share of the prompt and the response, and
    more only if the helpers don't have the memory.
    """
    even = math.ceil(demand.prompt_tokens / len(free))
    remaining = demand.prompt_tokens + demand.output_tokens - free[0]
    shares = []
    for index, tokens in enumerate(free[1:], 1):
        later_free = sum(free[index + 1 :])
        share = min(tokens, max(even, remaining - later_free))
        shares.append(share)
        remaining -= share
    return tuple(shares)
