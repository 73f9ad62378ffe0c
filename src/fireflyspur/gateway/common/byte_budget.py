"""Limit on the bytes that a node holds for all connections together."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib

from fireflyspur.gateway.common import clock
from fireflyspur.observability import logs

_REASON = (
    "the node holds too many bytes, and most of them for this the longest"
)

_log = logs.log_for("memory")

# Called with the reason why what is held must be given up.
End = Callable[[str], None]


class Holding:
    """Bytes that are held for one response or body.

    :param on_change: called after each change of the size
    """

    def __init__(self, on_change: Callable[[int], None]) -> None:
        self._on_change = on_change
        self._size = 0
        self._progress_at_s = 0.0
        self._end: End | None = None

    @property
    def size(self) -> int:
        """Bytes that are held."""
        return self._size

    @property
    def can_end(self) -> bool:
        """Whether the bytes can be given up."""
        return self._end is not None

    def weight(self, now_s: float) -> float:
        """Return the bytes times the seconds without progress."""
        return self._size * (now_s - self._progress_at_s)

    def set(self, size: int, end: End | None) -> None:
        """Set the number of bytes.

        :param end: gives them up; None if that is not possible
        """
        if not self._size:
            self._progress_at_s = clock.now_s()
        change = size - self._size
        self._size = size
        self._end = end
        self._on_change(change)

    def record_progress(self) -> None:
        """Record that a part was completed."""
        self._progress_at_s = clock.now_s()

    def give_up(self) -> None:
        """Give the bytes up; what is held afterwards counts again."""
        end = self._end
        self.set(0, None)
        if end is not None:
            end(_REASON)


class ByteBudget:
    """Ends what holds the most bytes the longest once there are too many.

    Each response and body has a bound of its own, but not their sum: bytes
    that come without end on many connections would use up the memory of the
    process, and the requests of all callers would end with it. What makes
    progress or is short weighs little, so it ends last.

    :param limit_bytes: returns the current limit
    """

    def __init__(self, limit_bytes: Callable[[], float]) -> None:
        self._limit_bytes = limit_bytes
        self._holdings: set[Holding] = set()
        self._held_bytes = 0
        self._ended = 0

    @classmethod
    def unlimited(cls) -> "ByteBudget":
        """Return a budget that ends nothing."""
        return cls(lambda: float("inf"))

    @property
    def held_bytes(self) -> int:
        """Bytes that are held for all connections."""
        return self._held_bytes

    @property
    def ended(self) -> int:
        """Number of responses and bodies that were given up."""
        return self._ended

    @contextlib.contextmanager
    def open(self) -> Iterator[Holding]:
        """Count what is held for a response or body within a context."""
        holding = Holding(self._handle_change)
        self._holdings.add(holding)
        try:
            yield holding
        finally:
            holding.set(0, None)
            self._holdings.discard(holding)

    def _handle_change(self, change: int) -> None:
        self._held_bytes += change
        while change > 0 and self._held_bytes > self._limit_bytes():
            now = clock.now_s()
            heaviest = max(
                (h for h in self._holdings if h.size and h.can_end),
                key=lambda holding: holding.weight(now),
                default=None,
            )
            if heaviest is None:
                return
            self._give_up(heaviest)

    def _give_up(self, holding: Holding) -> None:
        self._ended += 1
        _log.warning(
            "Too many bytes held",
            held=self._held_bytes,
            limit=self._limit_bytes(),
            given_up=holding.size,
        )
        holding.give_up()
