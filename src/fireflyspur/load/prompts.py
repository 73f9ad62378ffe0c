"""Texts of the prompts, with shared and unique parts."""

import functools

from fireflyspur.load import plan

_BYTES_PER_TOKEN = 4
_MAX_TOKENS = 1_000_000


def build(arrival: plan.Arrival, run_name: str) -> str:
    """Return the prompt of an arrival.

    The prefix is the same in all runs; what follows it differs in each
    request. All characters are ASCII.

    :param run_name: name of the run
    """
    shared = arrival.prefix_tokens * _BYTES_PER_TOKEN
    text = ""
    if arrival.prefix is not None:
        head = f"prefix {arrival.bin_name} {arrival.prefix} "
        text = (head + _filler()[:shared])[:shared]
    text += f"request {run_name} {arrival.number} "
    rest = arrival.prompt_tokens * _BYTES_PER_TOKEN - len(text)
    return text + _filler()[: max(0, rest)]


@functools.cache
def _filler() -> str:
    return "page " * (_MAX_TOKENS * _BYTES_PER_TOKEN // 5 + 1)
