"""Datagrams between the nodes of the gateway."""

import asyncio
from collections.abc import Callable
import random

from google.protobuf import message as protobuf

from fireflyspur.gateway.common import address as addresses
from fireflyspur.gateway.common import clock
from fireflyspur.gateway.endpoints import endpoint as endpoints
from fireflyspur.gateway.fleet import peer_table
from fireflyspur.gateway.fleet import pool_map
from fireflyspur.generated import peer_updates_pb2 as peer_updates
from fireflyspur.observability import logs

# Updates within this time are sent in one datagram.
_BATCH_S = 0.002
# Datagrams below the usual MTU are not fragmented.
_MAX_DATAGRAM_BYTES = 1_200
# Size from which changes of endpoints get a further datagram.
_ENDPOINTS_BYTES = 900

_log = logs.log_for("peers")

UpdateHandler = Callable[[peer_updates.PeerUpdate, peer_table.Contact], None]


class UpdateChannel(asyncio.DatagramProtocol):
    """Sends updates of this node to the other nodes and receives theirs.

    Changes of load go to the nodes of a pool. What concerns all nodes goes to
    the own pool and to two nodes of each other one, which forward it.
    Datagrams may be lost, so no receiver may depend on any one of them.

    :param name: name of this node
    :param address: address at which this node receives
    :param peers: the other nodes
    :param handler: called with each update of another node
    """

    def __init__(
        self,
        name: str,
        address: addresses.Address,
        peers: peer_table.PeerTable,
        handler: UpdateHandler,
    ) -> None:
        self._name = name
        self._address = address
        self._peers = peers
        self._handler = handler
        self._incarnation = random.getrandbits(32)
        self._number = 0
        self._drafts: dict[pool_map.Pool, peer_updates.PeerUpdate] = {}
        self._fleet_draft = peer_updates.PeerUpdate()
        self._is_flush_scheduled = False
        self._is_stopping = False
        self._lacks_paths = False
        self._transport: asyncio.DatagramTransport | None = None

    @property
    def draft(self) -> peer_updates.PeerUpdate:
        """Draft of the next update for the own pool.

        Each draft is sent shortly after the access.
        """
        return self._draft_for(self._peers.pools.own)

    @property
    def fleet_draft(self) -> peer_updates.PeerUpdate:
        """Draft of the next update for all nodes."""
        self._schedule_flush()
        return self._fleet_draft

    def drafts_for(
        self, endpoint: endpoints.Endpoint
    ) -> list[peer_updates.PeerUpdate]:
        """Return the drafts for the nodes that share an endpoint's load."""
        pools = self._peers.pools
        other = pools.pool_of_endpoint(endpoint)
        if other == pools.own:
            return [self.draft]
        return [self.draft, self._draft_for(other)]

    def mark_stopping(self) -> None:
        """Say in each update from now on that this node is about to stop."""
        self._is_stopping = True

    def mark_paths(self, are_good: bool) -> None:
        """Say in each update from now on whether endpoints are reached."""
        self._lacks_paths = not are_good

    async def open(self) -> None:
        """Open the socket.

        :raises OSError: if the address cannot be used
        """
        await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self,
            local_addr=(self._address.host, self._address.port),
        )

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None

    def flush(self) -> None:
        """Send the drafts to their recipients."""
        self._is_flush_scheduled = False
        drafts, self._drafts = self._drafts, {}
        fleet_draft, self._fleet_draft = (
            self._fleet_draft,
            peer_updates.PeerUpdate(),
        )
        pools = self._peers.pools
        if fleet_draft.ByteSize():
            own = drafts.setdefault(pools.own, peer_updates.PeerUpdate())
            if fleet_draft.HasField("evacuations"):
                # Two states must not be merged into one.
                own.ClearField("evacuations")
            own.MergeFrom(fleet_draft)
        for pool, draft in drafts.items():
            self._send_to_all(draft, self._peers.recipients(pool))
        if fleet_draft.ByteSize() and pools.others:
            fleet_draft.is_for_pool = True
            relays = [
                relay
                for pool in pools.others
                for relay in self._peers.relays(pool)
            ]
            self._send_to_all(fleet_draft, relays)

    def _draft_for(self, pool: pool_map.Pool) -> peer_updates.PeerUpdate:
        self._schedule_flush()
        return self._drafts.setdefault(pool, peer_updates.PeerUpdate())

    def _schedule_flush(self) -> None:
        if not self._is_flush_scheduled:
            self._is_flush_scheduled = True
            asyncio.get_running_loop().call_later(_BATCH_S, self.flush)

    def _send_to_all(
        self, draft: peer_updates.PeerUpdate, recipients: list[peer_table.Peer]
    ) -> None:
        if not recipients:
            return
        for part in _split(draft):
            data = self._serialize(part)
            for peer in recipients:
                self._send(data, peer.address)

    def send_to(
        self, update: peer_updates.PeerUpdate, address: addresses.Address
    ) -> None:
        """Send an update to one node only."""
        self._send(self._serialize(update), address)

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Store the transport of the open socket."""
        self._transport = transport

    def datagram_received(self, data: bytes, sender: tuple[str, int]) -> None:
        """Handle a datagram of another node."""
        update = peer_updates.PeerUpdate()
        try:
            update.ParseFromString(data)
        except protobuf.DecodeError as error:
            _log.warning(
                "Datagram ignored", sender=str(sender), reason=str(error)
            )
            return
        if not update.node or update.node == self._name:
            return
        contact = self._peers.record_contact(
            update.node,
            addresses.Address(*sender[:2]),
            update.incarnation,
            update.number,
            update.is_stopping,
            update.failure_domain,
            update.sent_ms / 1000 if update.sent_ms else None,
            lacks_paths=update.lacks_paths,
        )
        self._handler(update, contact)

    def error_received(self, error: OSError) -> None:
        """Log that a datagram could not be sent."""
        _log.debug("Datagram not sent", reason=str(error))

    def _serialize(self, update: peer_updates.PeerUpdate) -> bytes:
        self._number += 1
        update.node = self._name
        update.incarnation = self._incarnation
        update.number = self._number
        update.is_stopping = self._is_stopping
        update.lacks_paths = self._lacks_paths
        update.sent_ms = round(clock.now_s() * 1000)
        return update.SerializeToString()

    def _send(self, data: bytes, address: addresses.Address) -> None:
        if self._transport is not None:
            self._transport.sendto(data, (address.host, address.port))


def _split(update: peer_updates.PeerUpdate) -> list[peer_updates.PeerUpdate]:
    """Split an update that does not fit in one datagram."""
    if update.ByteSize() <= _MAX_DATAGRAM_BYTES:
        return [update]
    parts = []
    for field in (
        update.started,
        update.reports,
        update.crashes,
        update.pool_load,
    ):
        for entry in field:
            part = peer_updates.PeerUpdate()
            match entry:
                case peer_updates.RequestStarted():
                    part.started.append(entry)
                case peer_updates.EndpointReport():
                    part.reports.append(entry)
                case peer_updates.PoolLoad():
                    part.pool_load.append(entry)
                case _:
                    part.crashes.append(entry)
            part.is_for_pool = update.is_for_pool
            parts.append(part)
    if update.endpoints.ByteSize() > _ENDPOINTS_BYTES:
        for seen in _split_endpoints(update.endpoints):
            part = peer_updates.PeerUpdate(endpoints=seen)
            part.is_for_pool = update.is_for_pool
            parts.append(part)
        update.ClearField("endpoints")
    update.ClearField("started")
    update.ClearField("reports")
    update.ClearField("crashes")
    update.ClearField("pool_load")
    return [update, *parts]


def _split_endpoints(
    seen: peer_updates.EndpointsSeen,
) -> list[peer_updates.EndpointsSeen]:
    """Split the changes of a list; the receiver collects all parts."""
    head = peer_updates.EndpointsSeen()
    head.CopyFrom(seen)
    head.ClearField("changed")
    head.ClearField("gone")
    parts = [peer_updates.EndpointsSeen()]
    parts[0].CopyFrom(head)
    for field in ("changed", "gone"):
        for change in getattr(seen, field):
            if parts[-1].ByteSize() > _ENDPOINTS_BYTES:
                parts.append(peer_updates.EndpointsSeen())
                parts[-1].CopyFrom(head)
            getattr(parts[-1], field).append(change)
    return parts
