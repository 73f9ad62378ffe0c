"""Named points at which a test stops the node."""

from collections.abc import Iterable
import os
import signal

from fireflyspur.observability import logs

_log = logs.log_for("claims")


class PausePoints:
    """Stops the process at the points that the settings name.

    Each point stops the process once, by SIGSTOP; SIGCONT lets it go on.

    :param names: active points, see ``testing.pause_at`` in the settings
    """

    def __init__(self, names: Iterable[str] = ()) -> None:
        self._names = set(names)

    def is_active(self, name: str) -> bool:
        """Whether the point is still to stop the process."""
        return name in self._names

    def reach(self, name: str) -> None:
        """Stop the process if the point is active."""
        if name in self._names:
            self._names.discard(name)
            _log.warning("Paused at {}", name)
            os.kill(os.getpid(), signal.SIGSTOP)
