"""Detection of times in which this process did not run."""

from fireflyspur.gateway.common import clock
from fireflyspur.observability import logs

# A timer of a loaded process is late by less than this.
_MIN_SUSPENSION_S = 1.0

_log = logs.log_for("node")


class SuspensionDetector:
    """Notices that the process was paused, or its VM suspended.

    What the process knew before may no longer hold after it.

    :param interval_s: time between two calls of ``tick``
    """

    def __init__(self, interval_s: float) -> None:
        self._interval_s = interval_s
        self._ticked_at_s = clock.now_s()
        self._resumed_at_s: float | None = None

    def tick(self) -> None:
        """Record that the process runs; to be called at each interval."""
        self._check()
        self._ticked_at_s = clock.now_s()

    def resumed_at_s(self) -> float | None:
        """Return when the last suspension ended, or None if there was none.

        A suspension is noticed also before the first tick after it.
        """
        self._check()
        return self._resumed_at_s

    def _check(self) -> None:
        now = clock.now_s()
        suspended_s = now - self._ticked_at_s - self._interval_s
        if suspended_s < _MIN_SUSPENSION_S:
            return
        self._ticked_at_s = now
        self._resumed_at_s = now
        _log.warning("Process resumed", suspended_s=round(suspended_s, 1))
