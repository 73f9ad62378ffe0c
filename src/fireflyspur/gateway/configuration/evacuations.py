"""Failure domains that operators have evacuated."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import random

from fireflyspur.gateway.common import clock
from fireflyspur.observability import logs

# A store that came back from an older copy may have lost evacuations. Until
# operators can have repeated them, those known before stay in force.
_HOLD_S = 10.0
# Shares of the bound: the age of the state at which a node reads the store
# itself, the additional age for each rank, and the age at which every node
# does. Two calls that get no answer end within the rest of the bound.
_READ_SHARE = 0.35
_RANK_SHARE = 0.04
_LAST_SHARE = 0.5
# Maximum time that a call waits in the store, as a share of the bound.
_WAIT_SHARE = 0.2

_log = logs.log_for("evacuations")


@dataclasses.dataclass(frozen=True)
class EvacuationState:
    """The evacuations in force at a position of the operators' log.

    :param epoch: epoch of the store, within which positions are valid
    :param position: offset before which all records have been regarded
    :param domains: evacuated failure domains
    """

    epoch: int
    position: int
    domains: frozenset[str] = frozenset()

    @property
    def version(self) -> tuple[int, int]:
        """Orders the states."""
        return self.epoch, self.position


@dataclasses.dataclass(frozen=True)
class StoreRead:
    """A read of the store by some node.

    :param at_s: clock of this node when the state was the latest
    :param number: drawn at random by the node that read
    """

    at_s: float
    number: int


@dataclasses.dataclass(frozen=True)
class Hold:
    """Evacuations from before a restore of the store.

    :param restored_at_s: when the first node noticed the restore
    """

    domains: frozenset[str]
    restored_at_s: float

    @property
    def is_active(self) -> bool:
        """Whether these evacuations still hold."""
        return clock.now_s() - self.restored_at_s < _HOLD_S


class Evacuations:
    """Holds the latest state that was read by this node or another one.

    Without a bound, evacuations are known and not in force.

    :param on_change: called with the evacuated domains when they change
    """

    def __init__(self, on_change: Callable[[frozenset[str]], None]) -> None:
        self._on_change = on_change
        self._bound_s: float | None = None
        self._outer_s = 0.0
        self._state: EvacuationState | None = None
        # The read that confirmed the state last.
        self._read = StoreRead(float("-inf"), 0)
        # Start of the latest successful read by this node.
        self._own_read_at_s = float("-inf")
        self._hold: Hold | None = None
        self._in_force: frozenset[str] = frozenset()
        self._is_outdated = False

    @property
    def is_enabled(self) -> bool:
        """Whether evacuations are in force on this node."""
        return self._bound_s is not None

    @property
    def is_read(self) -> bool:
        """Whether this node has read the operators' records."""
        return self._own_read_at_s > float("-inf")

    @property
    def state(self) -> EvacuationState | None:
        """The latest state, or None before the first."""
        return self._state

    @property
    def hold(self) -> Hold | None:
        """Evacuations from before a restore that still hold, or None."""
        if self._hold is not None and self._hold.is_active:
            return self._hold
        return None

    @property
    def in_force(self) -> frozenset[str]:
        """The evacuated failure domains."""
        return self._in_force

    @property
    def read(self) -> StoreRead:
        """The read that confirmed the state last."""
        return self._read

    @property
    def own_read_at_s(self) -> float:
        """Start of the latest read by this node."""
        return self._own_read_at_s

    def age_s(self) -> float:
        """Return the seconds since the state was the latest."""
        return clock.now_s() - self._read.at_s

    def set_bounds(self, bound_s: float | None, outer_s: float) -> None:
        """Set the bounds.

        :param bound_s: time within which an evacuation is in force, or None
            if evacuations are not used
        :param outer_s: additional time for nodes that the store refuses
        """
        self._bound_s = bound_s
        self._outer_s = outer_s
        self._apply()

    def update_from_store(
        self, state: EvacuationState, read_at_s: float
    ) -> bool:
        """Handle a state that this node has read from the store.

        :param read_at_s: clock of this node when the state was the latest
        :returns: whether the other nodes may not know it yet
        """
        self._own_read_at_s = max(self._own_read_at_s, read_at_s)
        before = self._state.domains if self._state else frozenset()
        read = StoreRead(read_at_s, random.getrandbits(32))
        is_new = self._replace(state, read)
        return is_new and state.domains != before

    def update_from_peer(
        self, state: EvacuationState, read: StoreRead | None
    ) -> None:
        """Handle the state of another node.

        :param read: the read that confirmed it last, or None if its time is
            not known
        """
        self._replace(state, read)

    def update_hold(self, epoch: int, hold: Hold) -> None:
        """Keep what another node knew before the store was restored.

        :param epoch: epoch of the store after the restore
        """
        if self._state is None or self._state.epoch != epoch:
            return
        if self._hold is not None:
            hold = Hold(
                hold.domains | self._hold.domains,
                min(hold.restored_at_s, self._hold.restored_at_s),
            )
        self._hold = hold
        self._apply()

    def refresh(self) -> None:
        """Apply what changes with time, to be called at each heartbeat."""
        self._apply()
        self._log_age()

    def wait_s(self) -> float:
        """Return for how long a call may wait in the store."""
        if self._bound_s is None:
            return float("inf")
        return _WAIT_SHARE * self._bound_s

    def remaining_s(self, rank: int) -> float:
        """Return the time until this node must read the store itself.

        :param rank: rank of this node among the readers
        """
        if self._bound_s is None:
            return float("inf")
        share = min(_READ_SHARE + _RANK_SHARE * rank, _LAST_SHARE)
        # What the store answers may be older than what other nodes know.
        latest_s = max(self._read.at_s, self._own_read_at_s)
        return share * self._bound_s - (clock.now_s() - latest_s)

    def _replace(self, state: EvacuationState, read: StoreRead | None) -> bool:
        """Replace the state by a later one, or refresh its age.

        :returns: whether the state was replaced
        """
        known = self._state
        # A read that comes back by way of other nodes seems later at each
        # node, by the time that the fastest datagrams take.
        is_later = (
            read is not None
            and read.number != self._read.number
            and read.at_s > self._read.at_s
        )
        if known is not None and state.version < known.version:
            return False
        is_confirmed = known is not None and state.version == known.version
        if is_confirmed and not is_later:
            return False
        if is_later:
            self._read = read
        if state == known:
            self._log_age()
            return False
        if known is not None and state.epoch > known.epoch:
            self._begin_hold(state)
        self._state = state
        self._apply()
        return True

    def _begin_hold(self, state: EvacuationState) -> None:
        """Keep the evacuations that the store may have lost."""
        kept = self._state.domains
        if self.hold is not None:
            kept |= self.hold.domains
        self._hold = Hold(kept, clock.now_s())
        if kept - state.domains:
            _log.warning(
                "Evacuations kept after restore",
                domains=sorted(kept - state.domains),
                epoch=state.epoch,
                hold_s=_HOLD_S,
            )

    def _apply(self) -> None:
        in_force = self._find_in_force()
        begun, ended = in_force - self._in_force, self._in_force - in_force
        if not begun and not ended:
            return
        self._in_force = in_force
        self._log_changes("Evacuation begun", begun)
        self._log_changes("Evacuation ended", ended)
        self._on_change(in_force)

    def _find_in_force(self) -> frozenset[str]:
        if self._bound_s is None or self._state is None:
            return frozenset()
        held = self.hold.domains if self.hold is not None else frozenset()
        return self._state.domains | held

    def _log_changes(self, message: str, domains: Iterable[str]) -> None:
        for domain in sorted(domains):
            _log.warning(
                message,
                domain=domain,
                age_s=round(self.age_s(), 3),
                epoch=self._state.epoch if self._state else None,
                position=self._state.position if self._state else None,
            )

    def _log_age(self) -> None:
        """Log when the state becomes too old for the bounds, and current."""
        if self._bound_s is None or self._state is None:
            return
        age_s = self.age_s()
        is_outdated = age_s > self._bound_s + self._outer_s
        if is_outdated == self._is_outdated:
            return
        self._is_outdated = is_outdated
        _log.warning(
            "Evacuations outdated" if is_outdated else "Evacuations current",
            age_s=round(age_s, 1),
        )
