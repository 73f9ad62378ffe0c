"""The other nodes of the gateway."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import random

from fireflyspur.gateway.common import address as addresses
from fireflyspur.gateway.common import clock
from fireflyspur.gateway.common import registry
from fireflyspur.gateway.fleet import pool_map
from fireflyspur.observability import logs

# A node sends a heartbeat each second. On a healthy network three lost
# datagrams in a row are rare.
_LIVE_S = 3.2
# A node that hears none of the others for this time is cut off from them. It
# exceeds the interval of heartbeats, and leaves time for a read within the
# bounds.
_CONNECTED_S = 1.25
# A silent node still gets all updates for this time, since it may only be
# unable to send.
_RECIPIENT_S = 12.0
# A node that was heard may be running beyond a lost link for this time.
_MAY_RUN_S = 600.0
# Nodes of a pool before their list has been read; no pool has more.
_ASSUMED_NODES = 48
# Clocks of healthy machines drift apart by less than this share.
_MAX_CLOCK_DRIFT = 0.0005
# Nodes of each other pool that forward an update to their pool. The first may
# have failed.
_RELAYS = 2

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
    :param clock_offset_s: time from the sending to the arrival of the fastest
        datagrams, by the clocks of both nodes; None before the first
    :param lacks_paths: whether it reaches few endpoints or none
    """

    name: str
    address: addresses.Address
    added_at_s: float
    last_seen_at_s: float | None = None
    incarnation: int = 0
    previous_incarnation: int | None = None
    number: int = 0
    is_stopping: bool = False
    clock_offset_s: float | None = None
    lacks_paths: bool = False

    def transit_s(self, offset_s: float, now: float) -> float:
        """Return how much longer a message was under way than others.

        :param offset_s: time from its sending to its arrival, by the clocks
            of both nodes
        """
        if self.clock_offset_s is None:
            return 0.0
        return max(0.0, offset_s - self.fastest_s(now))

    def fastest_s(self, now: float) -> float:
        """Return the offset that the fastest datagrams may have by now."""
        return self.clock_offset_s + _MAX_CLOCK_DRIFT * (
            now - self.last_seen_at_s
        )


@dataclasses.dataclass(frozen=True)
class Contact:
    """Changes of a peer that a datagram reveals.

    :param is_stale: whether a newer datagram arrived before this one
    :param is_restarted: whether the sender runs as a new process
    :param delay_s: how much longer the datagram was under way than others, as
        when this process was suspended meanwhile
    :param clock_offset_s: clock of this node less that of the sender, as the
        fastest datagrams show; None for the first datagram of a process, as
        it may have been under way for long
    """

    is_stale: bool = False
    is_restarted: bool = False
    delay_s: float = 0.0
    clock_offset_s: float | None = None


class PeerTable:
    """Holds the other nodes by name.

    :param name: name of this node
    :param failure_domain: failure domain of this node
    """

    def __init__(self, name: str, failure_domain: str) -> None:
        self._name = name
        self._pools = pool_map.PoolMap(name, failure_domain)
        self._peers: dict[str, Peer] = {}
        self._silent: set[str] = set()
        self._has_list = False

    @property
    def pools(self) -> pool_map.PoolMap:
        """Pools of all known nodes."""
        return self._pools

    @property
    def has_list(self) -> bool:
        """Whether the list of nodes has been read since the start."""
        return self._has_list

    def add_nodes(self, nodes: Mapping[str, registry.NodeEntry]) -> None:
        """Add nodes that have registered, by name."""
        self._has_list = True
        now = clock.now_s()
        others = {k: v for k, v in nodes.items() if k != self._name}
        for name, entry in others.items():
            peer = self._peers.get(name)
            if peer is None or peer.address != entry.address:
                self._peers[name] = Peer(name, entry.address, now)
        self._pools.set_nodes(
            {name: entry.failure_domain for name, entry in others.items()}
        )

    def record_contact(
        self,
        name: str,
        address: addresses.Address,
        incarnation: int,
        number: int,
        is_stopping: bool,
        failure_domain: str = "",
        sent_at_s: float | None = None,
        *,
        lacks_paths: bool = False,
    ) -> Contact:
        """Record that a datagram of a node arrived.

        :param failure_domain: that of the node; empty if it did not say
        :param sent_at_s: clock of the node when it sent the datagram
        :param lacks_paths: whether the node reaches few endpoints or none
        """
        now = clock.now_s()
        if failure_domain:
            self._pools.set_node(name, failure_domain)
        peer = self._peers.get(name)
        if peer is not None and incarnation == peer.previous_incarnation:
            return Contact(is_stale=True)
        is_same_process = peer is not None and incarnation == peer.incarnation
        if is_same_process and number <= peer.number:
            return Contact(is_stale=True)
        was_live = peer is not None and self._is_live(peer, now)
        offset_s = delay_s = 0.0
        known_offset_s = None
        if sent_at_s is not None:
            offset_s = now - sent_at_s
        if is_same_process and peer.clock_offset_s is not None:
            delay_s = peer.transit_s(offset_s, now)
            offset_s = min(offset_s, peer.fastest_s(now))
            known_offset_s = offset_s
        self._peers[name] = Peer(
            name=name,
            address=address,
            added_at_s=peer.added_at_s if peer else now,
            last_seen_at_s=now,
            incarnation=incarnation,
            previous_incarnation=_previous_incarnation(peer, is_same_process),
            number=number,
            is_stopping=is_stopping,
            clock_offset_s=None if sent_at_s is None else offset_s,
            lacks_paths=lacks_paths,
        )
        self._silent.discard(name)
        if not was_live and self.is_in_pool(name):
            _log.info("Peer heard", peer=name, address=str(address))
        return Contact(
            is_restarted=peer is not None and not is_same_process,
            delay_s=delay_s,
            clock_offset_s=known_offset_s,
        )

    def log_silent_peers(self) -> None:
        """Log a warning for each node that became silent."""
        now = clock.now_s()
        for peer in self._pool_peers(self._pools.own):
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
        """Return the names of this node and of the live peers in its pool.

        Peers that are stopping are left out.
        """
        now = clock.now_s()
        names = [
            peer.name
            for peer in self._pool_peers(self._pools.own)
            if self._is_live(peer, now) and not peer.is_stopping
        ]
        return [self._name, *names]

    def connected_nodes(self) -> int:
        """Return the number of nodes that hear one another, with this one.

        Nodes of other pools are counted in the same proportion as those of
        the own pool, as they send no heartbeats to this one.
        """
        now = clock.now_s()
        known = heard = 1
        for peer in self._pool_peers(self._pools.own):
            known += 1
            seen_at_s = peer.last_seen_at_s
            if seen_at_s is not None and now - seen_at_s < _CONNECTED_S:
                heard += not peer.is_stopping
        if heard == 1:
            return 1
        others = sum(
            len(self._pools.members(pool)) for pool in self._pools.others
        )
        return heard + round(others * heard / known)

    def recipients(self, pool: pool_map.Pool | None = None) -> list[Peer]:
        """Return the nodes to which updates for a pool are sent.

        This node hears all nodes of its own pool, but not those of others.

        :param pool: by default the pool of this node
        """
        if pool is not None and pool != self._pools.own:
            return list(self._pool_peers(pool))
        now = clock.now_s()
        return [
            peer
            for peer in self._pool_peers(self._pools.own)
            if now - (peer.last_seen_at_s or peer.added_at_s) < _RECIPIENT_S
        ]

    def carriers(
        self, others: int, is_allowed: Callable[[str | None], bool]
    ) -> list[Peer]:
        """Return nodes that may take requests of a node without paths.

        If no node of the own pool can, some of other pools are returned,
        which may have ended or be without paths too.

        :param others: greatest number of nodes of other pools
        :param is_allowed: returns whether nodes of a failure domain may
        """
        now = clock.now_s()
        own = [
            peer
            for peer in self._pool_peers(self._pools.own)
            if self._is_live(peer, now)
            and not (peer.is_stopping or peer.lacks_paths)
            and is_allowed(self._pools.domain_of_node(peer.name))
        ]
        allowed = [
            pool
            for pool in self._pools.others
            if is_allowed(pool.failure_domain)
        ]
        if own or not allowed:
            return own
        pools = random.sample(allowed, min(others, len(allowed)))
        elsewhere = (list(self._pool_peers(pool)) for pool in pools)
        return [random.choice(peers) for peers in elsewhere if peers]

    def is_lost(self, name: str) -> bool:
        """Return whether a node was heard of, but not lately."""
        peer = self._peers.get(name)
        if peer is None or peer.last_seen_at_s is None:
            return False
        return not self._is_live(peer, clock.now_s())

    def is_at(self, name: str, host: str) -> bool:
        """Return whether a known node has a host."""
        peer = self._peers.get(name)
        return peer is not None and peer.address.host == host

    def transit_s(self, name: str, sent_at_s: float) -> float:
        """Return how much longer a message of a node was under way.

        :param sent_at_s: clock of the node when it sent the message
        """
        now = clock.now_s()
        return self._peers[name].transit_s(now - sent_at_s, now)

    def relays(self, pool: pool_map.Pool) -> list[Peer]:
        """Return nodes of another pool that forward an update to it."""
        peers = list(self._pool_peers(pool))
        return random.sample(peers, min(_RELAYS, len(peers)))

    def is_in_pool(self, name: str) -> bool:
        """Return whether a node is in the pool of this node."""
        return self._pools.pool_of_node(name) == self._pools.own

    def fleet_size(self) -> int:
        """Return the number of nodes that may be running.

        Nodes of other pools count even if they have ended.
        """
        others = sum(
            len(self._pools.members(pool)) for pool in self._pools.others
        )
        return len(self.recipients()) + 1 + others

    def possible_size(self) -> int:
        """Return the number of nodes of the own pool that may be running.

        A node that hears no other one, or has not read their list, can't
        tell which have ended and counts all of them.
        """
        now = clock.now_s()
        peers = list(self._pool_peers(self._pools.own))
        if not self._has_list:
            return max(_ASSUMED_NODES, len(peers) + 1)
        is_alone = not any(self._is_live(peer, now) for peer in peers)
        return 1 + sum(
            is_alone or _may_run(peer, now)
            for peer in peers
            if not peer.is_stopping
        )

    def _pool_peers(self, pool: pool_map.Pool) -> Iterable[Peer]:
        names = self._pools.members(pool)
        return (self._peers[name] for name in names if name in self._peers)

    def _is_live(self, peer: Peer, now: float) -> bool:
        return (
            peer.last_seen_at_s is not None
            and now - peer.last_seen_at_s < _LIVE_S
        )


def _may_run(peer: Peer, now: float) -> bool:
    """Return whether a peer may be running, heard or not."""
    if peer.last_seen_at_s is None:
        return now - peer.added_at_s < _RECIPIENT_S
    return now - peer.last_seen_at_s < _MAY_RUN_S


def _previous_incarnation(
    peer: Peer | None, is_same_process: bool
) -> int | None:
    if peer is None:
        return None
    return peer.previous_incarnation if is_same_process else peer.incarnation
