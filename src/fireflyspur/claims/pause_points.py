"""Named points at which a test pauses the node."""

from collections.abc import Iterable
import os
import signal

from fireflyspur.observability import logs

_log = logs.log_for("claims")


class PausePoints:
    """Pauses the process at the points named in the settings.

    Each point pauses the process once with SIGSTOP; SIGCONT resumes it.

    :param names: active points, see ``testing.pause_at`` in the settings
    """

    def __init__(self, names: Iterable[str] = ()) -> None:
        self._names = set(names)

    def is_active(self, name: str) -> bool:
        """Whether the point will pause the process when it is reached."""
        return name in self._names

    def reach(self, name: str) -> None:
        """Pause the process if the point is active."""
        if name in self._names:
            self._names.discard(name)
            _log.warning("Paused at {}", name)
            os.kill(os.getpid(), signal.SIGSTOP)
