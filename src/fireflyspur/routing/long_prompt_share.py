"""Share of the engines that are preferred for long prompts."""

import math

_WINDOW_S = 30.0
# The share changes only after the target differs from it by at least this
# much for at least this time. Without hysteresis each long prompt changed it.
_MIN_CHANGE = 0.1
_MIN_CHANGE_S = 5.0
_MIN_SHARE = 0.1
_MAX_SHARE = 0.8


class LongPromptShare:
    """Adapts the share to the mix of prompts, with hysteresis.

    :param initial: initial share, from the policy record
    """

    def __init__(self, initial: float) -> None:
        self._initial = initial
        self._share = initial
        self._long_tokens = 0.0
        self._all_tokens = 0.0
        self._updated_at: float | None = None
        self._target_since: float | None = None

    @property
    def share(self) -> float:
        """The current share, from 0 to 1."""
        return self._share

    def reset(self, initial: float) -> None:
        """Reset the share if the policy record has changed it."""
        if initial != self._initial:
            self._initial = self._share = initial
            self._target_since = None

    def observe(self, tokens: int, is_long: bool, now: float) -> None:
        """Update the share with a prompt.

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
        self._update(now)

    def engine_count(self, engines: int) -> int:
        """Return how many of the engines are for long prompts.

        :param engines: number of engines
        """
        if engines <= 1:
            return engines
        return min(engines - 1, max(1, round(self._share * engines)))

    def _update(self, now: float) -> None:
        long_ratio = self._long_tokens / max(1.0, self._all_tokens)
        target = min(_MAX_SHARE, max(_MIN_SHARE, long_ratio))
        if abs(target - self._share) < _MIN_CHANGE:
            self._target_since = None
        elif self._target_since is None:
            self._target_since = now
        elif now - self._target_since >= _MIN_CHANGE_S:
            self._share = target
            self._target_since = None
