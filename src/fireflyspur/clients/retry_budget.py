"""Bound on retries, so that they cannot amplify an overload."""

_BURST = 10.0


class RetryBudget:
    """Token bucket that each first attempt fills by a part of a retry."""

    def __init__(self) -> None:
        self._tokens = _BURST

    def add_attempt(self, ratio: float) -> None:
        """Count a first attempt.

        :param ratio: retries allowed for each first attempt
        """
        self._tokens = min(_BURST, self._tokens + ratio)

    def try_acquire(self) -> bool:
        """Use one retry; False when none is left."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
