"""The members of the fleet that a node knows."""

from collections.abc import Callable
import dataclasses
import time

from fireflyspur.membership import member
from fireflyspur.membership import update_queue
from fireflyspur.observability import logs

# Dead members are kept for this time. Otherwise delayed gossip would add them
# again as alive.
_DEAD_RETENTION_S = 600.0
# A refutation increases the incarnation by one, a restart by the milliseconds
# between the two starts. No process sends this many refutations.
_RESTART_GAP_MS = 10_000

_log = logs.log_for("members")

Listener = Callable[[member.Member | None, member.Member], None]


class MemberTable:
    """Holds the members, their states and the updates to send.

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
        """Return all members that are not dead, including this node."""
        return [self._own, *self.others()]

    def others(self) -> list[member.Member]:
        """Return all members that are not dead, excluding this node."""
        return [
            m
            for m in self._members.values()
            if m.state is not member.MemberState.DEAD
        ]

    def candidates(self) -> list[member.Member]:
        """Return the nodes of the VM list that are dead or not members yet."""
        return [
            c
            for c in self._candidates.values()
            if c.name not in self._members
            or self._members[c.name].state is member.MemberState.DEAD
        ]

    def live_names(self) -> list[str]:
        """Return the sorted names of alive members, including this node.

        A leaving node excludes itself unless it is the only one, so that it
        and the others choose the same owners.
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
        """Return a member, which may be dead, or None if it is unknown."""
        return self._own if name == self._own.name else self._members.get(name)

    def is_dead(self, name: str, incarnation: int) -> bool:
        """Whether a process of a member is known to have ended.

        A process that refuted a suspicion has a slightly higher incarnation
        and is not dead.
        """
        current = self.get(name)
        if current is None:
            return False
        if current.state is member.MemberState.DEAD:
            return current.incarnation >= incarnation
        return current.incarnation - incarnation >= _RESTART_GAP_MS

    def add_listener(self, listener: Listener) -> None:
        """Call a function with the previous and the new state on a change."""
        self._listeners.append(listener)

    def set_candidates(self, candidates: list[member.Member]) -> None:
        """Set the nodes that the VM list shows."""
        self._candidates = {
            c.name: c for c in candidates if c.name != self._own.name
        }

    def set_own_port(self, peer_port: int) -> None:
        """Set the port on which this node listens, before the first gossip."""
        self._own = dataclasses.replace(self._own, peer_port=peer_port)

    def set_own_state(self, state: member.MemberState) -> None:
        """Change the state of this node, which then spreads by gossip."""
        previous = self._own
        self._own = dataclasses.replace(previous, state=state)
        self._notify(previous, self._own)

    def apply(self, update: member.Member) -> bool:
        """Apply an update about a member.

        :returns: whether it changed the table
        """
        if update.name == self._own.name:
            return self._refute(update)
        current = self._members.get(update.name)
        if current is not None and not update.supersedes(current):
            return False
        is_dead = update.state is member.MemberState.DEAD
        self._members[update.name] = update
        if is_dead:
            self._dead_at[update.name] = time.monotonic()
        else:
            self._dead_at.pop(update.name, None)
        self._queue.add(update)
        self._notify(current, update)
        return True

    def take_updates(self) -> list[member.Member]:
        """Return the updates for the next message."""
        self._remove_dead()
        return self._queue.take(len(self.members()))

    def _refute(self, update: member.Member) -> bool:
        previous = self._own
        is_suspected = update.state in (
            member.MemberState.SUSPECT,
            member.MemberState.DEAD,
        )
        if previous.state is member.MemberState.DEAD or not (
            update.incarnation > previous.incarnation
            or (update.incarnation == previous.incarnation and is_suspected)
        ):
            return False
        # A higher incarnation belongs to a previous process of this node whose
        # clock was ahead. Members would ignore gossip about this process if
        # its incarnation did not exceed that one.
        self._own = dataclasses.replace(
            previous, incarnation=update.incarnation + 1
        )
        _log.info(
            "Refuted state {} with incarnation {}",
            update.state.name,
            self._own.incarnation,
        )
        self._notify(previous, self._own)
        return True

    def _remove_dead(self) -> None:
        limit = time.monotonic() - _DEAD_RETENTION_S
        for name in [n for n, at in self._dead_at.items() if at < limit]:
            del self._dead_at[name], self._members[name]

    def _notify(
        self, previous: member.Member | None, current: member.Member
    ) -> None:
        for listener in self._listeners:
            listener(previous, current)
