"""Groups of engines that have the memory for a prompt."""

from collections.abc import Sequence
import dataclasses
import math

from fireflyspur.gateway import placement_cost
from fireflyspur.gateway import routing_config

# Engine memory that is left free for answers longer than announced.
_MEMORY_SHARE = 0.95


@dataclasses.dataclass(frozen=True)
class Group:
    """Candidates that read one prompt together.

    :param members: the one that answers comes first
    :param helper_tokens: memory for the prompt on each of the others
    """

    members: tuple[placement_cost.Candidate, ...]
    helper_tokens: tuple[int, ...]


def find_group(
    engine: routing_config.EngineSpec,
    demand: placement_cost.Demand,
    ranked: Sequence[placement_cost.Candidate],
    size: int,
) -> Group | None:
    """Return the best candidates that have the memory together."""
    needed = demand.prompt_tokens + demand.output_tokens
    free = [_free_tokens(engine, c) for c in ranked]
    single = next(
        (i for i, tokens in enumerate(free) if tokens >= needed), None
    )
    if single is not None:
        others = [c for i, c in enumerate(ranked) if i != single]
        members = (ranked[single], *others[: size - 1])
        return Group(members, (0,) * (size - 1))
    members = tuple(ranked[:size])
    if sum(free[:size]) < needed:
        return None
    return Group(members, _shares(demand, free[:size]))


def _free_tokens(
    engine: routing_config.EngineSpec, candidate: placement_cost.Candidate
) -> int:
    usable = int(engine.kv_tokens * _MEMORY_SHARE)
    return max(0, usable - candidate.outlook.memory_tokens)


def _shares(
    demand: placement_cost.Demand, free: Sequence[int]
) -> tuple[int, ...]:
    """Return the memory that each helper keeps.

    The first endpoint keeps its even share and the answer, and more only
    if the others have no room.
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
