"""Bins of prompt lengths, used as labels of metrics."""

_LENGTH_BINS = (
    (4_000, "up_to_4k"),
    (32_000, "up_to_32k"),
    (100_000, "up_to_100k"),
)
_LAST_BIN = "above_100k"


def length_bin(prompt_tokens: int) -> str:
    """Return the name of the bin of a prompt."""
    for limit, name in _LENGTH_BINS:
        if prompt_tokens <= limit:
            return name
    return _LAST_BIN
