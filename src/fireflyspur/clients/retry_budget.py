"""Limit on retries, so that they cannot amplify an overload."""

_BURST = 10.0


class RetryBudget:
    """Token bucket of retries, refilled in part by each first attempt."""

    def __init__(self) -> None:
        self._tokens = _BURST

    def add_attempt(self, ratio: float) -> None:
        """Refill the budget for a first attempt.

        :param ratio: retries allowed for each first attempt
        """
        self._tokens = min(_BURST, self._tokens + ratio)

    def try_acquire(self) -> bool:
        """Spend one retry and return True, or False if none remains."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True
