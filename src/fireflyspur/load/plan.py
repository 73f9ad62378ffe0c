"""Arrivals of one run, drawn in advance under a seed."""

from collections.abc import Iterator
import dataclasses
import itertools
import math
import random

from fireflyspur.generated import load_mix

# Intervals with a rate in the upper quarter of the swing count as its peak.
_PEAK_QUANTILE = 0.75


@dataclasses.dataclass(frozen=True)
class Arrival:
    """One request of the plan.

    :param number: number in the run
    :param at_s: model time of its arrival, from the start of the run
    :param bin_name: bin of the length; empty for a booking
    :param prefix: number of the shared prefix, or None
    :param prefix_tokens: tokens of the prompt that come from the prefix
    :param is_peak: whether it arrives at the peak of a swing
    """

    number: int
    at_s: float
    account: load_mix.LoadAccount
    bin_name: str
    prompt_tokens: int = 0
    output_tokens: int = 0
    prefix: int | None = None
    prefix_tokens: int = 0
    is_peak: bool = False


def make_plan(mix: load_mix.LoadMix, seed: int) -> list[Arrival]:
    """Return the arrivals of the warm-up and the measured part, in order."""
    source = random.Random(seed)
    numbers = itertools.count(1)
    return [
        _draw(mix, source, next(numbers), at_s, is_peak)
        for at_s, is_peak in _times(mix, source)
    ]


def _times(
    mix: load_mix.LoadMix, source: random.Random
) -> Iterator[tuple[float, bool]]:
    """Yield Poisson arrivals whose rate changes from interval to interval."""
    swing = mix.swing
    total_s = mix.warm_up_s + mix.duration_s
    peak = swing.low + _PEAK_QUANTILE * (swing.high - swing.low)
    start_s = 0.0
    while start_s < total_s:
        factor = source.uniform(swing.low, swing.high)
        end_s = min(total_s, start_s + swing.interval_s)
        rate = mix.requests_per_s * factor
        is_peak = swing.high > swing.low and factor >= peak
        at_s = start_s + source.expovariate(rate) if rate else end_s
        while at_s < end_s:
            yield at_s, is_peak
            at_s += source.expovariate(rate)
        start_s = end_s


def _draw(
    mix: load_mix.LoadMix,
    source: random.Random,
    number: int,
    at_s: float,
    is_peak: bool,
) -> Arrival:
    weights = [account.weight for account in mix.accounts]
    account = source.choices(mix.accounts, weights)[0]
    one_in = mix.bookings.one_in
    if one_in and number % one_in == 0:
        return Arrival(number, at_s, account, "", is_peak=is_peak)
    bins = [
        b
        for b in mix.lengths
        if not account.lengths or b.name in account.lengths
    ]
    bin_ = source.choices(bins, [b.weight for b in bins])[0]
    low, high = math.log(bin_.min_tokens), math.log(bin_.max_tokens)
    tokens = round(math.exp(source.uniform(low, high)))
    output = source.randint(bin_.min_output_tokens, bin_.max_output_tokens)
    prefix = source.randrange(bin_.prefixes) if bin_.prefixes else None
    return Arrival(
        number=number,
        at_s=at_s,
        account=account,
        bin_name=bin_.name,
        prompt_tokens=tokens,
        output_tokens=output,
        prefix=prefix,
        prefix_tokens=0 if prefix is None else int(tokens * bin_.prefix_share),
        is_peak=is_peak,
    )
