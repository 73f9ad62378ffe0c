"""Share of the engines that long prompts prefer."""

import math

_WINDOW_S = 30.0
# The share changes only when the mix asks for at least this much more or
# less, for as long as this. Without hysteresis each long prompt moved it.
_MIN_CHANGE = 0.1
_HOLD_S = 5.0
_MIN_SHARE = 0.1
_MAX_SHARE = 0.8


class LongPromptShare:
    """Follows the mix of prefill work with hysteresis.

    :param initial: share at first, from the policy record
    """

    def __init__(self, initial: float) -> None:
        self._initial = initial
        self._share = initial
        self._long_tokens = 0.0
        self._all_tokens = 0.0
        self._updated_at: float | None = None
        self._wanted_since: float | None = None

    @property
    def share(self) -> float:
        """The share in use."""
        return self._share

    def reset(self, initial: float) -> None:
        """Start again from a share, when the record changed it."""
        if initial != self._initial:
            self._initial = self._share = initial
            self._wanted_since = None

    def observe(self, tokens: int, is_long: bool, now: float) -> None:
        """Count a prompt.

        :param tokens: prompt tokens to process
        :param now: monotonic time in seconds
        """
        if self._updated_at is not None:
            decay = math.exp((self._updated_at - now) / _WINDOW_S)
            self._long_tokens *= decay
            self._all_tokens *= decay
        self._updated_at = now
        self._all_tokens += tokens
        if is_long:
            self._long_tokens += tokens
        self._follow(now)

    def count(self, engines: int) -> int:
        """Return how many of a number of engines long prompts may use."""
        if engines <= 1:
            return engines
        return min(engines - 1, max(1, round(self._share * engines)))

    def _follow(self, now: float) -> None:
        mix = self._long_tokens / max(1.0, self._all_tokens)
        wanted = min(_MAX_SHARE, max(_MIN_SHARE, mix))
        if abs(wanted - self._share) < _MIN_CHANGE:
            self._wanted_since = None
        elif self._wanted_since is None:
            self._wanted_since = now
        elif now - self._wanted_since >= _HOLD_S:
            self._share = wanted
            self._wanted_since = None
