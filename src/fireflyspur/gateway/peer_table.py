"""The other nodes of the gateway."""

import dataclasses

from fireflyspur.gateway import address as addresses
from fireflyspur.gateway import clock
from fireflyspur.observability import logs

# A node sends a heartbeat each second. On a healthy network three lost
# datagrams in a row are rare.
_LIVE_S = 3.2
# A silent node still gets all updates for this time, since it may only be
# unable to send.
_RECIPIENT_S = 12.0

_log = logs.log_for("peers")


@dataclasses.dataclass(frozen=True)
class Peer:
    """Another node.

    :param added_at_s: when its address became known
    :param last_seen_at_s: when its last datagram arrived, or None
    :param incarnation: random number that identifies the process
    :param previous_incarnation: incarnation of the previous process, whose
        datagrams may still arrive, or None
    :param number: sequence number of the last datagram
    """

    name: str
    address: addresses.Address
    added_at_s: float
    last_seen_at_s: float | None = None
    incarnation: int = 0
    previous_incarnation: int | None = None
    number: int = 0
    is_stopping: bool = False


@dataclasses.dataclass(frozen=True)
class Contact:
    """Changes of a peer that a datagram reveals.

    :param is_stale: whether a newer datagram arrived before this one
    :param is_new: whether the sender was unknown or silent
    :param is_restarted: whether the sender runs as a new process
    """

    is_stale: bool = False
    is_new: bool = False
    is_restarted: bool = False


class PeerTable:
    """Holds the other nodes by name.

    :param name: name of this node
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._peers: dict[str, Peer] = {}
        self._silent: set[str] = set()

    def set_address(self, name: str, address: addresses.Address) -> None:
        """Set the address of a node."""
        if name == self._name:
            return
        peer = self._peers.get(name)
        if peer is None or peer.address != address:
            self._peers[name] = Peer(name, address, clock.now_s())

    def record_contact(
        self,
        name: str,
        address: addresses.Address,
        incarnation: int,
        number: int,
        is_stopping: bool,
    ) -> Contact:
        """Record that a datagram of a node arrived."""
        now = clock.now_s()
        peer = self._peers.get(name)
        if peer is not None and incarnation == peer.previous_incarnation:
            return Contact(is_stale=True)
        is_same_process = peer is not None and incarnation == peer.incarnation
        if is_same_process and number <= peer.number:
            return Contact(is_stale=True)
        was_live = peer is not None and self._is_live(peer, now)
        self._peers[name] = Peer(
            name=name,
            address=address,
            added_at_s=peer.added_at_s if peer else now,
            last_seen_at_s=now,
            incarnation=incarnation,
            previous_incarnation=_previous_incarnation(peer, is_same_process),
            number=number,
            is_stopping=is_stopping,
        )
        self._silent.discard(name)
        if not was_live:
            _log.info("Peer heard", peer=name, address=str(address))
        return Contact(
            is_new=not was_live,
            is_restarted=peer is not None and not is_same_process,
        )

    def log_silent_peers(self) -> None:
        """Log a warning for each node that became silent."""
        now = clock.now_s()
        for peer in self._peers.values():
            if peer.last_seen_at_s is None or self._is_live(peer, now):
                continue
            if peer.name not in self._silent:
                self._silent.add(peer.name)
                _log.warning(
                    "Peer silent",
                    peer=peer.name,
                    silent_s=round(now - peer.last_seen_at_s, 1),
                    is_stopping=peer.is_stopping,
                )

    def live_names(self) -> list[str]:
        """Return the names of this node and of its live peers.

        Peers that are stopping are left out.
        """
        now = clock.now_s()
        names = [
            peer.name
            for peer in self._peers.values()
            if self._is_live(peer, now) and not peer.is_stopping
        ]
        return [self._name, *names]

    def recipients(self) -> list[Peer]:
        """Return the nodes to which updates are sent."""
        now = clock.now_s()
        return [
            peer
            for peer in self._peers.values()
            if now - (peer.last_seen_at_s or peer.added_at_s) < _RECIPIENT_S
        ]

    def fleet_size(self) -> int:
        """Return the number of nodes that may be running."""
        return len(self.recipients()) + 1

    def _is_live(self, peer: Peer, now: float) -> bool:
        return (
            peer.last_seen_at_s is not None
            and now - peer.last_seen_at_s < _LIVE_S
        )


def _previous_incarnation(
    peer: Peer | None, is_same_process: bool
) -> int | None:
    if peer is None:
        return None
    return peer.previous_incarnation if is_same_process else peer.incarnation
