"""Patterns of load for experiments."""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import math
import random

# Longest prompt that is served.
_MAX_TOKENS = 1_000_000


@dataclasses.dataclass(frozen=True)
class PromptKind:
    """A kind of request.

    :param rate: requests a second for each engine
    :param spread: standard deviation of the logarithm of the prompt's length
    :param target_s: time to the first event that is on time
    :param max_gap_s: longest pause that is on time
    :param patience_s: time after which the caller leaves
    :param worth: value of an answer that is on time
    """

    name: str
    rate: float
    prompt_tokens: int
    spread: float
    output_tokens: int
    target_s: float
    max_gap_s: float
    patience_s: float
    worth: float


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request that comes at a moment."""

    key: str
    at_s: float
    kind: PromptKind
    prompt_tokens: int


@dataclasses.dataclass(frozen=True)
class Loss:
    """An engine that is lost for a while.

    :param share: its place in the list of engines, from 0 to 1
    """

    at_s: float
    for_s: float
    share: float


@dataclasses.dataclass(frozen=True)
class Pattern:
    """A pattern of load.

    :param factor: returns what a kind's rate is multiplied by at a time
    :param losses: engines that are lost
    """

    name: str
    factor: Callable[[str, float], float]
    losses: tuple[Loss, ...] = ()


# A mix of unlike lengths that one engine serves with some room to spare.
KINDS = (
    PromptKind("quote", 0.65, 5_000, 0.3, 1_700, 0.3, 0.2, 10.0, 1.0),
    PromptKind("review", 0.06, 45_000, 0.3, 1_000, 1.5, 0.5, 10.0, 2.0),
    PromptKind("archive", 0.018, 250_000, 0.5, 800, 4.0, 0.8, 15.0, 20.0),
)

# Length of a wave of load, and of the calm after it.
_WAVE_S = 9.5
_PERIOD_S = 2 * _WAVE_S


def _steady(kind: str, at_s: float) -> float:
    return 1.0


def _quote_waves(kind: str, at_s: float) -> float:
    is_crest = at_s % _PERIOD_S < _WAVE_S
    if kind == "quote":
        return 2.4 if is_crest else 0.35
    return 0.4 if is_crest else 1.3


def _archive_waves(kind: str, at_s: float) -> float:
    is_crest = at_s % _PERIOD_S < _WAVE_S
    if kind == "archive":
        return 2.8 if is_crest else 0.1
    return 0.4 if is_crest else 1.3


PATTERNS = {
    pattern.name: pattern
    for pattern in (
        Pattern("steady", _steady),
        Pattern("quote-waves", _quote_waves),
        Pattern("archive-waves", _archive_waves),
        Pattern(
            "engines-lost",
            _archive_waves,
            (Loss(3.0, 8.0, 0.1), Loss(5.0, 8.0, 0.5), Loss(22.0, 6.0, 0.8)),
        ),
    )
}


def arrivals(
    pattern: Pattern, engines: int, seconds: float, source: random.Random
) -> tuple[Arrival, ...]:
    """Draw the requests of a run, in the order of their times."""
    found: list[Arrival] = []
    for kind in KINDS:
        found.extend(_of_kind(kind, pattern, engines, seconds, source))
    return tuple(sorted(found, key=lambda item: item.at_s))


def _of_kind(
    kind: PromptKind,
    pattern: Pattern,
    engines: int,
    seconds: float,
    source: random.Random,
) -> Iterator[Arrival]:
    """Thin a stream at the highest rate down to the rate of each moment."""
    highest = 3.0
    at_s = 0.0
    number = 0
    while True:
        at_s += source.expovariate(kind.rate * engines * highest)
        if at_s >= seconds:
            return
        if source.random() * highest >= pattern.factor(kind.name, at_s):
            continue
        number += 1
        tokens = kind.prompt_tokens * math.exp(source.gauss(0, kind.spread))
        yield Arrival(
            f"{kind.name}-{number}",
            at_s,
            kind,
            min(_MAX_TOKENS, max(1_000, round(tokens))),
        )
