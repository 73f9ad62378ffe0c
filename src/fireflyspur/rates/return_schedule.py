"""Times at which refused callers return."""

import random

# Requests that were refused at the same moment return over at least this
# time.
_MIN_SPREAD_S = 0.1
# Callers that can't be served within this time are not told an even later one.
_MAX_WAIT_S = 20.0


class ReturnSchedule:
    """Lets refused callers return one after the other.

    Callers return in the order of their refusals; more urgent ones do not
    wait for less urgent ones.
    """

    def __init__(self) -> None:
        # Time of the next return that is free, by priority.
        self._next_s: dict[int, float] = {}

    def add(
        self, priority: int, wait_s: float, step_s: float, now: float
    ) -> float:
        """Schedule a return.

        :param priority: priority of the request; 0 is the most urgent
        :param wait_s: time until any request can be served
        :param step_s: time between two returns
        :param now: clock time in seconds
        :returns: seconds from now
        """
        earliest_s = now + wait_s
        for other, next_s in self._next_s.items():
            if other <= priority:
                earliest_s = max(earliest_s, next_s)
        earliest_s = min(earliest_s, now + _MAX_WAIT_S)
        self._next_s[priority] = earliest_s + step_s
        spread_s = random.uniform(0, max(_MIN_SPREAD_S, step_s))
        return earliest_s - now + spread_s
