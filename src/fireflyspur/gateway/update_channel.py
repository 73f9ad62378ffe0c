"""Datagrams between the nodes of the gateway."""

import asyncio
from collections.abc import Callable
import random

from google.protobuf import message as protobuf

from fireflyspur.gateway import address as addresses
from fireflyspur.gateway import peer_table
from fireflyspur.generated import fleet_news_pb2 as fleet_news
from fireflyspur.observability import logs

# News that come within this time leave in one datagram.
_COLLECT_S = 0.002
# A datagram below the usual MTU is not cut into fragments.
_MAX_DATAGRAM_BYTES = 1_200

_log = logs.log_for("peers")

Receive = Callable[[fleet_news.FleetNews, peer_table.Contact], None]


class UpdateChannel(asyncio.DatagramProtocol):
    """Sends this node's news to all others and receives theirs.

    Datagrams may be lost. Whoever reads them must be able to do without.

    :param name: name of this node
    :param address: where it receives
    :param peers: the other nodes
    :param receive: takes the news of others
    """

    def __init__(
        self,
        name: str,
        address: addresses.Address,
        peers: peer_table.PeerTable,
        receive: Receive,
    ) -> None:
        self._name = name
        self._address = address
        self._peers = peers
        self._receive = receive
        self._incarnation = random.getrandbits(32)
        self._number = 0
        self._draft = fleet_news.FleetNews()
        self._is_flush_due = False
        self._transport: asyncio.DatagramTransport | None = None

    @property
    def draft(self) -> fleet_news.FleetNews:
        """News that leave shortly; for adding to."""
        if not self._is_flush_due:
            self._is_flush_due = True
            asyncio.get_running_loop().call_later(_COLLECT_S, self.flush)
        return self._draft

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
        """Send what was collected."""
        self._is_flush_due = False
        draft, self._draft = self._draft, fleet_news.FleetNews()
        for part in _split(draft):
            data = self._finish(part)
            for peer in self._peers.recipients():
                self._send(data, peer.address)

    def send_to(
        self, news: fleet_news.FleetNews, address: addresses.Address
    ) -> None:
        """Send news to one node only."""
        self._send(self._finish(news), address)

    def connection_made(self, transport: asyncio.DatagramTransport) -> None:
        """Take over the socket."""
        self._transport = transport

    def datagram_received(self, data: bytes, sender: tuple[str, int]) -> None:
        """Take a datagram in."""
        news = fleet_news.FleetNews()
        try:
            news.ParseFromString(data)
        except protobuf.DecodeError as error:
            _log.warning(
                "Datagram not used", sender=str(sender), reason=str(error)
            )
            return
        if not news.node or news.node == self._name:
            return
        heard = self._peers.record_contact(
            news.node,
            addresses.Address(*sender[:2]),
            news.incarnation,
            news.number,
            news.is_stopping,
        )
        self._receive(news, heard)

    def error_received(self, error: OSError) -> None:
        """Note that a datagram could not be sent."""
        _log.debug("Datagram not sent", reason=str(error))

    def _finish(self, news: fleet_news.FleetNews) -> bytes:
        self._number += 1
        news.node = self._name
        news.incarnation = self._incarnation
        news.number = self._number
        return news.SerializeToString()

    def _send(self, data: bytes, address: addresses.Address) -> None:
        if self._transport is not None:
            self._transport.sendto(data, (address.host, address.port))


def _split(news: fleet_news.FleetNews) -> list[fleet_news.FleetNews]:
    """Cut news that do not fit in one datagram."""
    if news.ByteSize() <= _MAX_DATAGRAM_BYTES:
        return [news]
    parts = []
    for field in (news.started, news.reports, news.crashes):
        for item in field:
            part = fleet_news.FleetNews()
            match item:
                case fleet_news.WorkStarted():
                    part.started.append(item)
                case fleet_news.EndpointReport():
                    part.reports.append(item)
                case _:
                    part.crashes.append(item)
            parts.append(part)
    news.ClearField("started")
    news.ClearField("reports")
    news.ClearField("crashes")
    return [news, *parts]
