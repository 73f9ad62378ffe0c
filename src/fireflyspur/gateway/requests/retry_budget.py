"""Limit on retries that all nodes share."""

import collections
from collections.abc import Callable
import dataclasses

from fireflyspur.gateway.common import clock


@dataclasses.dataclass(frozen=True)
class RetryLimits:
    """Limits on the retries that all nodes together send to a service.

    :param ratio: retries allowed per request
    :param extra: additional retries allowed per window
    :param window_s: length of the sliding window in seconds
    """

    ratio: float
    extra: float
    window_s: float


class RetryBudget:
    """Counts requests and retries of each service in a sliding window.

    Each node uses its share of the extra retries, so that no message
    between nodes is needed before a retry.

    :param limits: limits for all nodes together
    :param node_count: returns the number of nodes that may be running
    """

    # Part of the limit that is used; the rest covers the retries that are in
    # flight when the number of nodes changes.
    _USED_SHARE = 0.8

    def __init__(
        self, limits: RetryLimits, node_count: Callable[[], int]
    ) -> None:
        self._limits = limits
        self._node_count = node_count
        self._requests: dict[str, collections.deque[float]] = {}
        self._retries: dict[str, collections.deque[float]] = {}

    def set_limits(self, limits: RetryLimits) -> None:
        """Replace the limits."""
        self._limits = limits

    def record_request(self, service: str) -> None:
        """Count a request of a caller."""
        self._window(self._requests, service).append(clock.now_s())

    def try_acquire(self, service: str) -> bool:
        """Acquire one retry.

        :returns: False if the share of this node is used up
        """
        if not self.is_available(service):
            return False
        self._window(self._retries, service).append(clock.now_s())
        return True

    def is_available(self, service: str) -> bool:
        """Return whether a retry could be acquired now."""
        retries = self._window(self._retries, service)
        requests = self._window(self._requests, service)
        extra = self._limits.extra / max(1, self._node_count())
        allowed = self._limits.ratio * len(requests) + extra
        return len(retries) + 1 <= allowed * self._USED_SHARE

    def _window(
        self, counts: dict[str, collections.deque[float]], service: str
    ) -> collections.deque[float]:
        times = counts.setdefault(service, collections.deque())
        window_start_s = clock.now_s() - self._limits.window_s
        while times and times[0] < window_start_s:
            times.popleft()
        return times
