"""Endpoints that are leaving, and by which sign."""

import dataclasses
import enum
import time

# A report may be this much older than a refusal that came before it.
_REPORT_LAG_S = 5.0
# News may stem from the VM list, of which the engine knows nothing, so this
# node must have had the time to read the list itself.
_NEWS_LAG_S = 15.0
# Without a further sign an endpoint gets work again. One that still refuses
# is marked again by its first refusal, which runs nothing.
_EXPIRY_S = 60.0

Place = tuple[str, int]


class Sign(enum.Enum):
    """Where a node learned that an endpoint is leaving."""

    OWN = "own"
    NEWS = "news"
    VM_LIST = "vm_list"


@dataclasses.dataclass(frozen=True)
class _Mark:
    """A sign.

    :param seen_at: monotonic time of the latest such sign
    :param incarnation: of the engine, as far as it was known
    :param sampled_at: time of the report that said so, by the clock of the
        engine; None if it was no report
    """

    seen_at: float
    incarnation: str
    sampled_at: float | None


class LeavingMarks:
    """Keeps the signs apart, since each is undone by other evidence.

    What an endpoint said itself, here or to another node, is undone by its
    own later word. What the VM list shows is undone by the list alone: a VM
    is stopped whether or not the engine on it knows.
    """

    def __init__(self) -> None:
        self._marks: dict[Place, dict[Sign, _Mark]] = {}

    def is_marked(self, place: Place) -> bool:
        """Whether an endpoint is leaving."""
        return place in self._marks

    def mark(
        self,
        place: Place,
        sign: Sign,
        incarnation: str = "",
        sampled_at: float | None = None,
    ) -> bool:
        """Note a sign.

        :returns: whether it is the first one
        """
        is_first = place not in self._marks
        signs = self._marks.setdefault(place, {})
        now = time.monotonic()
        own = signs.get(Sign.OWN)
        if sign is Sign.NEWS and own is not None:
            # News repeat the endpoint's own word, which says more.
            signs[Sign.OWN] = dataclasses.replace(own, seen_at=now)
            return False
        signs[sign] = _Mark(now, incarnation, sampled_at)
        if sign is Sign.OWN:
            signs.pop(Sign.NEWS, None)
        return is_first

    def clear(self, place: Place) -> None:
        """Forget all signs."""
        self._marks.pop(place, None)

    def clear_by_report(
        self, place: Place, incarnation: str, sampled_at: float | None
    ) -> bool:
        """Take a report in which an engine says that it takes work.

        :returns: whether the endpoint gets work again
        """
        signs = self._marks.get(place)
        if not signs or Sign.VM_LIST in signs:
            return False
        now = time.monotonic()
        if not all(
            _is_undone(sign, mark, incarnation, sampled_at, now)
            for sign, mark in signs.items()
        ):
            return False
        self.clear(place)
        return True

    def expire(self) -> list[Place]:
        """Forget old signs, but for those of the VM list.

        :returns: the endpoints that get work again
        """
        limit = time.monotonic() - _EXPIRY_S
        expired = [
            place
            for place, signs in self._marks.items()
            if Sign.VM_LIST not in signs
            and all(mark.seen_at <= limit for mark in signs.values())
        ]
        for place in expired:
            self.clear(place)
        return expired


def _is_undone(
    sign: Sign,
    mark: _Mark,
    incarnation: str,
    sampled_at: float | None,
    now: float,
) -> bool:
    if mark.incarnation and incarnation and mark.incarnation != incarnation:
        # Reports of the former process may still be on their way.
        return _is_newer(incarnation, mark.incarnation)
    if mark.sampled_at is not None and sampled_at is not None:
        return sampled_at > mark.sampled_at
    # The clocks of the engine and of this node cannot be compared, so a
    # report counts once it must have been made after the sign.
    lag_s = _NEWS_LAG_S if sign is Sign.NEWS else _REPORT_LAG_S
    return now - mark.seen_at > lag_s


def _is_newer(incarnation: str, former: str) -> bool:
    """Whether a start time, or any other name, follows a former one."""
    if incarnation.isdecimal() and former.isdecimal():
        return int(incarnation) > int(former)
    return True
