"""When a node calls the store during and after an outage."""

from collections.abc import Callable
import dataclasses
import random

from fireflyspur.gateway.common import clock

# Attempts that all nodes together make on a topic that fails, each second.
# A store that is back is then read within a second by one of them, also if
# it still refuses half of the nodes.
_SHARED_PER_S = 4.0
# There are more attempts in the first second. If the store refuses only some
# nodes, one that it serves then reads before the data exceeds its bound.
_FIRST_PER_S = 16.0
_FIRST_S = 1.0
# Intervals of a node that must read for itself, for each topic that fails: the
# first one, after which they double, and the longest one of a lone node. The
# first ones do not depend on the number of nodes: a lost packet fails one call
# of one node, and what it reads is due.
_OWN_FIRST_S = 0.25
_OWN_LONGEST_S = 0.7
# Attempts of all nodes that must read for themselves, each second, once their
# intervals have doubled and as far as these stay below a limit.
_OWN_PER_S = 50.0
_OWN_SPREAD_MAX_S = 1.5
# Reads of all nodes that follow a change, each second.
_CATCH_UP_PER_S = 100.0
# Intervals vary by this share, so that nodes do not call in step.
_JITTER = 0.5
# A node that took over reads for all for this time, unless another one does.
_READER_S = 20.0
# Ages that nodes tell one another differ by less than this.
_AGE_TOLERANCE_S = 0.05


@dataclasses.dataclass(frozen=True)
class _Wait:
    """Wait for the next attempt on a topic.

    :param since_s: when it began
    :param until_s: when it ends
    :param interval_s: mean interval for which it was drawn
    :param failures: consecutive failed attempts of this node
    :param is_own: whether this node must read for itself
    """

    since_s: float
    until_s: float
    interval_s: float
    failures: int
    is_own: bool


@dataclasses.dataclass(frozen=True)
class _Reader:
    """This node as the reader of a topic for all nodes.

    :param read_at_s: its latest read
    :param until_s: when it stops to be the reader
    """

    read_at_s: float
    until_s: float


class ReadSchedule:
    """Spreads the calls of a node to a store that fails or comes back.

    Nodes that hear one another share the attempts on a topic: each one draws
    its wait from a range that grows with their number, and a read that is
    announced ends the waits of all. A node that hears nobody, or that must
    read for itself, has a rate of its own.

    :param draw: returns a random number from 0 to 1
    """

    def __init__(self, draw: Callable[[], float] = random.random) -> None:
        self._draw = draw
        self._waits: dict[str, _Wait] = {}
        self._readers: dict[str, _Reader] = {}

    def failures(self, topic: str) -> int:
        """Return the number of consecutive failed attempts on a topic."""
        wait = self._waits.get(topic)
        return wait.failures if wait else 0

    def shared_wait_s(
        self,
        topic: str,
        nodes: int,
        read_at_s: float,
        *,
        is_late: bool,
        has_turn: bool,
    ) -> float:
        """Return the time until an attempt on behalf of all nodes.

        :param nodes: number of nodes that hear one another
        :param read_at_s: time of the newest data that this node has
        :param is_late: whether that data should have been replaced by now
        :param has_turn: whether this node is among the first readers, which
            attempt one after the other
        """
        now = clock.now_s()
        wait = self._waits.get(topic)
        if wait is not None and not wait.failures:
            is_obsolete = wait.is_own or not is_late
        else:
            # Another node reads since the failure. This one waits on, unless
            # data is missing again.
            is_obsolete = wait and is_late and wait.since_s < read_at_s
        if is_obsolete:
            del self._waits[topic]
            has_turn = has_turn and not wait.failures
            wait = None
        if wait is None:
            if not is_late or has_turn or nodes <= 1:
                return 0.0
            wait = self._first_wait(nodes, now)
        wait = self._rescale(wait, nodes, now)
        self._waits[topic] = wait
        return max(0.0, wait.until_s - now)

    def own_wait_s(self, topic: str, nodes: int, longest_s: float) -> float:
        """Return the time until an attempt of this node for itself.

        Nodes that follow the same change call one after the other.

        :param nodes: number of nodes that hear one another
        :param longest_s: greatest delay before the first attempt
        """
        now = clock.now_s()
        wait = self._waits.get(topic)
        if wait is None or not wait.is_own:
            spread_s = min(nodes / _CATCH_UP_PER_S, longest_s)
            until_s = now + self._draw() * spread_s
            wait = _Wait(now, until_s, spread_s, 0, is_own=True)
            self._waits[topic] = wait
        return max(0.0, wait.until_s - now)

    def retry_wait_s(self, topic: str) -> float:
        """Return the time until an attempt after one that failed."""
        wait = self._waits.get(topic)
        return max(0.0, wait.until_s - clock.now_s()) if wait else 0.0

    def record_failure(self, topic: str, nodes: int, *, is_own: bool) -> None:
        """Draw the wait for the next attempt after one that failed.

        :param nodes: number of nodes that hear one another
        :param is_own: whether this node must read for itself
        """
        now = clock.now_s()
        failures = self.failures(topic) + 1
        failed = {t for t, w in self._waits.items() if w.failures} | {topic}
        interval_s = self._interval_s(failures, nodes, is_own, len(failed))
        wait_s = interval_s * (1 + _JITTER * (2 * self._draw() - 1))
        self._waits[topic] = _Wait(
            now, now + wait_s, interval_s, failures, is_own
        )

    def record_success(self, topic: str) -> None:
        """Record that this node has read a topic.

        If its attempts had failed, the store is back, and other topics that
        failed are tried at once.
        """
        wait = self._waits.pop(topic, None)
        if wait is None or not wait.failures:
            return
        now = clock.now_s()
        for other, pending in self._waits.items():
            if pending.failures:
                self._waits[other] = dataclasses.replace(pending, until_s=now)

    def record_read_for_all(
        self, topic: str, before_s: float, read_at_s: float, *, is_late: bool
    ) -> None:
        """Record a read that is announced to the other nodes.

        :param before_s: time of the data before this read
        :param read_at_s: time of this read
        :param is_late: whether no other node had read in time
        """
        now = clock.now_s()
        reader = self._readers.get(topic)
        if is_late:
            self._readers[topic] = _Reader(read_at_s, now + _READER_S)
        elif reader is not None:
            is_sole = before_s <= reader.read_at_s + _AGE_TOLERANCE_S
            until_s = reader.until_s if is_sole else now
            self._readers[topic] = _Reader(read_at_s, until_s)

    def is_reader(self, topic: str, read_at_s: float) -> bool:
        """Return whether this node goes on as the reader of a topic.

        The first readers failed, and this node has read in their place.

        :param read_at_s: time of the newest data that this node has
        """
        reader = self._readers.get(topic)
        if reader is None or clock.now_s() >= reader.until_s:
            return False
        return read_at_s <= reader.read_at_s + _AGE_TOLERANCE_S

    def _first_wait(self, nodes: int, now: float) -> _Wait:
        """Draw the wait before the first attempt in an outage."""
        place = self._draw() * nodes
        in_first_s = _FIRST_PER_S * _FIRST_S
        wait_s = min(place, in_first_s) / _FIRST_PER_S
        wait_s += max(0.0, place - in_first_s) / _SHARED_PER_S
        return _Wait(now, now + wait_s, nodes / _SHARED_PER_S, 0, is_own=False)

    def _rescale(self, wait: _Wait, nodes: int, now: float) -> _Wait:
        """Adapt a shared wait to the number of nodes that share it.

        A node that is cut off from the others does not wait for them.
        """
        if wait.is_own:
            return wait
        interval_s = nodes / _SHARED_PER_S
        if wait.failures:
            failed = sum(1 for w in self._waits.values() if w.failures)
            interval_s = self._interval_s(
                wait.failures, nodes, is_own=False, topics=failed
            )
        elif nodes <= 1:
            interval_s = 0.0
        if interval_s == wait.interval_s:
            return wait
        factor = interval_s / wait.interval_s
        until_s = now + factor * max(0.0, wait.until_s - now)
        return dataclasses.replace(
            wait, until_s=until_s, interval_s=max(interval_s, 1e-9)
        )

    def _interval_s(
        self, failures: int, nodes: int, is_own: bool, topics: int
    ) -> float:
        """Return the mean interval between attempts that fail.

        :param topics: number of topics that fail
        """
        doubled_s = topics * _OWN_FIRST_S * 2.0 ** min(failures - 1, 8)
        longest_s = topics * _OWN_LONGEST_S
        if is_own:
            share_s = min(nodes / _OWN_PER_S, _OWN_SPREAD_MAX_S)
            return min(doubled_s, max(longest_s, share_s))
        return max(min(doubled_s, longest_s), nodes / _SHARED_PER_S)
