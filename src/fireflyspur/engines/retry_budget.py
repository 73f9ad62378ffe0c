"""Limit on retries, so that they cannot amplify an overload."""

from collections.abc import Callable

# Retries that a node may make after its start, before any first attempt.
_INITIAL_RETRIES = 5.0
_MAX_AVAILABLE = 100.0


class RetryBudget:
    """Token bucket that first attempts fill and retries drain.

    :param ratio: returns the retries allowed for each first attempt
    :param initial: number of retries allowed before any first attempt
    """

    def __init__(
        self, ratio: Callable[[], float], initial: float = _INITIAL_RETRIES
    ) -> None:
        self._ratio = ratio
        self._available = initial
        self._spent = 0
        self._denied = 0

    def record_first_attempt(self) -> None:
        """Count a first attempt."""
        self._available = min(_MAX_AVAILABLE, self._available + self._ratio())

    def try_spend(self) -> bool:
        """Take one retry; return False if the budget is empty."""
        # Rounding errors can make the sum of many ratios slightly too small.
        if self._available < 1 - 1e-9:
            self._denied += 1
            return False
        self._available -= 1
        self._spent += 1
        return True

    def view(self) -> dict[str, float]:
        """Return the state for operators."""
        return {
            "available": round(self._available, 3),
            "spent": self._spent,
            "denied": self._denied,
        }
