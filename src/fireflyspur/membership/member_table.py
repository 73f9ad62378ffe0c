"""The members that a node knows."""

from collections.abc import Callable
import dataclasses
import time

from fireflyspur.membership import member
from fireflyspur.membership import update_queue
from fireflyspur.observability import logs

# Dead members are remembered, since late gossip about them would otherwise
# bring them back.
_DEAD_MEMORY_S = 600.0
# A refutation raises the incarnation by one, a restart by the milliseconds
# between the two starts. No process refutes this often.
_RESTART_GAP_MS = 10_000

_log = logs.log_for("members")

Listener = Callable[[member.Member | None, member.Member], None]


class MemberTable:
    """Members with their states, and the updates that are to be sent.

    :param own: this node
    """

    def __init__(self, own: member.Member) -> None:
        self._own = own
        self._members: dict[str, member.Member] = {}
        self._candidates: dict[str, member.Member] = {}
        self._dead_at: dict[str, float] = {}
        self._queue = update_queue.UpdateQueue()
        self._listeners: list[Listener] = []

    @property
    def own(self) -> member.Member:
        """This node."""
        return self._own

    def members(self) -> list[member.Member]:
        """Return all members but the dead, this node included."""
        return [self._own, *self.others()]

    def others(self) -> list[member.Member]:
        """Return all members but the dead and this node."""
        return [
            m
            for m in self._members.values()
            if m.state is not member.MemberState.DEAD
        ]

    def candidates(self) -> list[member.Member]:
        """Return the nodes of the VM list that are not met, or dead."""
        return [
            c
            for c in self._candidates.values()
            if c.name not in self._members
            or self._members[c.name].state is member.MemberState.DEAD
        ]

    def live_names(self) -> list[str]:
        """Return the names of alive members, sorted, this node included.

        A leaving node leaves itself out, so that it and the others choose
        the same owners, unless it is alone.
        """
        names = [
            m.name
            for m in self._members.values()
            if m.state is member.MemberState.ALIVE
        ]
        if self._own.state is member.MemberState.ALIVE or not names:
            names.append(self._own.name)
        return sorted(names)

    def get(self, name: str) -> member.Member | None:
        """Return what is known of a member, dead or not."""
        return self._own if name == self._own.name else self._members.get(name)

    def is_dead(self, name: str, incarnation: int) -> bool:
        """Whether a process has ended, as far as the members know.

        A process that was suspected and refuted it goes on under a slightly
        higher incarnation and is not dead.
        """
        known = self.get(name)
        if known is None:
            return False
        if known.state is member.MemberState.DEAD:
            return known.incarnation >= incarnation
        return known.incarnation - incarnation >= _RESTART_GAP_MS

    def add_listener(self, listener: Listener) -> None:
        """Call a function with the former and the new state on a change."""
        self._listeners.append(listener)

    def set_candidates(self, candidates: list[member.Member]) -> None:
        """Replace the nodes that the VM list shows."""
        self._candidates = {
            c.name: c for c in candidates if c.name != self._own.name
        }

    def set_own_port(self, peer_port: int) -> None:
        """Set the port on which this node listens, before the first gossip."""
        self._own = dataclasses.replace(self._own, peer_port=peer_port)

    def set_own_state(self, state: member.MemberState) -> None:
        """Change this node's own state and spread it."""
        former = self._own
        self._own = dataclasses.replace(former, state=state)
        self._notify(former, self._own)

    def apply(self, update: member.Member) -> bool:
        """Take a statement about a member.

        :returns: whether it was new
        """
        if update.name == self._own.name:
            return self._refute(update)
        known = self._members.get(update.name)
        if known is not None and not update.supersedes(known):
            return False
        is_dead = update.state is member.MemberState.DEAD
        self._members[update.name] = update
        if is_dead:
            self._dead_at[update.name] = time.monotonic()
        else:
            self._dead_at.pop(update.name, None)
        self._queue.add(update)
        self._notify(known, update)
        return True

    def take_updates(self) -> list[member.Member]:
        """Return the updates for the next message."""
        self._forget_dead()
        return self._queue.take(len(self.members()))

    def _refute(self, update: member.Member) -> bool:
        former = self._own
        is_accused = update.state in (
            member.MemberState.SUSPECT,
            member.MemberState.DEAD,
        )
        if former.state is member.MemberState.DEAD or not (
            update.incarnation > former.incarnation
            or (update.incarnation == former.incarnation and is_accused)
        ):
            return False
        # A higher incarnation of the own name is left from a former process
        # whose clock was ahead; without a step above it, gossip about this
        # process would be ignored.
        self._own = dataclasses.replace(
            former, incarnation=update.incarnation + 1
        )
        _log.info(
            "Refuted state {} with incarnation {}",
            update.state.name,
            self._own.incarnation,
        )
        self._notify(former, self._own)
        return True

    def _forget_dead(self) -> None:
        limit = time.monotonic() - _DEAD_MEMORY_S
        for name in [n for n, at in self._dead_at.items() if at < limit]:
            del self._dead_at[name], self._members[name]

    def _notify(
        self, former: member.Member | None, current: member.Member
    ) -> None:
        for listener in self._listeners:
            listener(former, current)
