"""Writing of lines without blocking."""

import collections
from collections.abc import Callable
import os

# Lines that are kept for a slow reader; a few hundred kilobytes.
_MAX_PENDING_LINES = 2_000


class BoundedWriter:
    """Writes lines to a file descriptor and drops those beyond a limit.

    :param fd: an open file descriptor, which is made non-blocking
    :param format_dropped: returns the line that reports a number of dropped
        lines
    :param max_pending: maximum number of lines kept for a slow reader
    """

    def __init__(
        self,
        fd: int,
        format_dropped: Callable[[int], str],
        max_pending: int = _MAX_PENDING_LINES,
    ) -> None:
        self._fd = fd
        self._format_dropped = format_dropped
        self._max_pending = max_pending
        self._pending: collections.deque[bytes] = collections.deque()
        self._dropped = 0
        os.set_blocking(fd, False)

    @property
    def dropped(self) -> int:
        """Lines dropped since the last report."""
        return self._dropped

    def write(self, line: str) -> None:
        """Write a line, now or when the reader has caught up."""
        if len(self._pending) >= self._max_pending:
            self._dropped += 1
        else:
            self._pending.append(line.encode(errors="replace") + b"\n")
        self.flush()

    def flush(self) -> None:
        """Write pending lines until the reader would block."""
        while self._pending:
            line = self._pending[0]
            try:
                written = os.write(self._fd, line)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed its end.
                self._dropped += len(self._pending)
                self._pending.clear()
                return
            if written < len(line):
                self._pending[0] = line[written:]
                return
            self._pending.popleft()
        if self._dropped:
            count, self._dropped = self._dropped, 0
            report = self._format_dropped(count).encode() + b"\n"
            self._pending.append(report)
