"""Load patterns for experiments."""

from collections.abc import Callable
from collections.abc import Iterator
import dataclasses
import math
import random

# Longest prompt that engines serve.
_MAX_TOKENS = 1_000_000


@dataclasses.dataclass(frozen=True)
class PromptKind:
    """A kind of request.

    :param rate: requests per second and engine
    :param prompt_tokens: median length of the prompts
    :param spread: standard deviation of the logarithm of the prompt's length
    :param target_s: target time to the first event
    :param max_gap_s: target for the longest pause between events
    :param timeout_s: time after which the caller disconnects
    :param worth: value of a response that meets its targets
    """

    name: str
    rate: float
    prompt_tokens: int
    spread: float
    output_tokens: int
    target_s: float
    max_gap_s: float
    timeout_s: float
    worth: float


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request and its time of arrival."""

    key: str
    at_s: float
    kind: PromptKind
    prompt_tokens: int


@dataclasses.dataclass(frozen=True)
class Outage:
    """A temporary failure of an engine.

    :param position: relative position in the list of engines, from 0 to 1
    """

    at_s: float
    duration_s: float
    position: float


@dataclasses.dataclass(frozen=True)
class Pattern:
    """A load pattern.

    :param rate_factor: returns the factor for the rate of a kind at a time
    :param outages: engines that fail
    """

    name: str
    rate_factor: Callable[[str, float], float]
    outages: tuple[Outage, ...] = ()


# A mix of different lengths, at rates that one engine serves with some spare
# capacity.
KINDS = (
    PromptKind("quote", 0.65, 5_000, 0.3, 1_700, 0.3, 0.2, 10.0, 1.0),
    PromptKind("review", 0.06, 45_000, 0.3, 1_000, 1.5, 0.5, 10.0, 2.0),
    PromptKind("archive", 0.018, 250_000, 0.5, 800, 4.0, 0.8, 15.0, 20.0),
)

# Duration of a wave of load, and of the low load that follows it.
_WAVE_S = 9.5
_PERIOD_S = 2 * _WAVE_S


def _steady(kind: str, at_s: float) -> float:
    return 1.0


def _quote_waves(kind: str, at_s: float) -> float:
    is_peak = at_s % _PERIOD_S < _WAVE_S
    if kind == "quote":
        return 2.4 if is_peak else 0.35
    return 0.4 if is_peak else 1.3


def _archive_waves(kind: str, at_s: float) -> float:
    is_peak = at_s % _PERIOD_S < _WAVE_S
    if kind == "archive":
        return 2.8 if is_peak else 0.1
    return 0.4 if is_peak else 1.3


PATTERNS = {
    pattern.name: pattern
    for pattern in (
        Pattern("steady", _steady),
        Pattern("quote-waves", _quote_waves),
        Pattern("archive-waves", _archive_waves),
        Pattern(
            "engines-lost",
            _archive_waves,
            (
                Outage(3.0, 8.0, 0.1),
                Outage(5.0, 8.0, 0.5),
                Outage(22.0, 6.0, 0.8),
            ),
        ),
    )
}


def arrivals(
    pattern: Pattern, engines: int, seconds: float, source: random.Random
) -> tuple[Arrival, ...]:
    """Generate the requests of a run, in the order of their arrival."""
    generated: list[Arrival] = []
    for kind in KINDS:
        generated.extend(_arrivals_of(kind, pattern, engines, seconds, source))
    return tuple(sorted(generated, key=lambda arrival: arrival.at_s))


def _arrivals_of(
    kind: PromptKind,
    pattern: Pattern,
    engines: int,
    seconds: float,
    source: random.Random,
) -> Iterator[Arrival]:
    """Generate arrivals at a varying rate.

    Arrivals at the highest rate are thinned to the rate at their time.
    """
    max_factor = 3.0
    at_s = 0.0
    number = 0
    while True:
        at_s += source.expovariate(kind.rate * engines * max_factor)
        if at_s >= seconds:
            return
        if source.random() * max_factor >= pattern.rate_factor(
            kind.name, at_s
        ):
            continue
        number += 1
        tokens = kind.prompt_tokens * math.exp(source.gauss(0, kind.spread))
        yield Arrival(
            f"{kind.name}-{number}",
            at_s,
            kind,
            min(_MAX_TOKENS, max(1_000, round(tokens))),
        )
