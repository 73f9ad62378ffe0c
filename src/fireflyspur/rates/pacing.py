"""Spacing of requests at a rate."""

import dataclasses

# Requests of this time may be sent at once.
_BURST_S = 0.5


@dataclasses.dataclass(frozen=True)
class Pacing:
    """Spaces requests at a rate that may change, with short bursts.

    :param next_at_s: clock time at which all requests so far have been due
    """

    next_at_s: float = 0.0

    def wait_s(
        self, requests_per_s: float, now: float, burst_s: float = _BURST_S
    ) -> float:
        """Return the time until a request may be sent; at most 0 for now.

        :param requests_per_s: the rate, above 0
        :param now: clock time in seconds
        :param burst_s: requests of this time may be sent at once
        """
        burst = max(1.0, burst_s * requests_per_s)
        return self.next_at_s - now - (burst - 1) / requests_per_s

    def add_request(self, requests_per_s: float, now: float) -> "Pacing":
        """Return the pacing after another request.

        :param requests_per_s: the rate, above 0
        :param now: clock time in seconds
        """
        return Pacing(max(self.next_at_s, now) + 1 / requests_per_s)

    def limit_wait(self, max_wait_s: float, now: float) -> "Pacing":
        """Return the pacing with a shorter wait, after the rate has risen."""
        return Pacing(min(self.next_at_s, now + max_wait_s))
