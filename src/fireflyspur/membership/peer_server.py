"""The gRPC server that other nodes call."""

from collections.abc import Awaitable
from collections.abc import Callable

import grpc
import grpc.aio

from fireflyspur.generated import peer_pb2
from fireflyspur.generated import peer_pb2_grpc
from fireflyspur.membership import gossiper as gossipers
from fireflyspur.membership import update_bus

DemandHandler = Callable[
    [peer_pb2.DemandReport], Awaitable[peer_pb2.ShareGrant]
]

_OPTIONS = (
    # Otherwise a second process on the same port would receive some calls.
    ("grpc.so_reuseport", 0),
    ("grpc.http2.bdp_probe", 0),
    ("grpc.max_send_message_length", 64 * 1024 * 1024),
)
_STOP_GRACE_S = 0.5


class _Servicer(peer_pb2_grpc.PeerServicer):
    def __init__(
        self,
        gossiper: gossipers.Gossiper,
        bus: update_bus.UpdateBus,
        read_catalog: Callable[[int], peer_pb2.CatalogReply | None],
    ) -> None:
        self._gossiper = gossiper
        self._bus = bus
        self._read_catalog = read_catalog
        self.demand_handler: DemandHandler | None = None

    async def Exchange(  # noqa: N802
        self, request: peer_pb2.Gossip, context: grpc.aio.ServicerContext
    ) -> peer_pb2.Gossip:
        return self._gossiper.handle_exchange(request)

    async def PushNews(  # noqa: N802
        self, request: peer_pb2.News, context: grpc.aio.ServicerContext
    ) -> peer_pb2.Ack:
        self._bus.receive(request)
        return peer_pb2.Ack()

    async def Probe(  # noqa: N802
        self, request: peer_pb2.ProbeRequest, context: grpc.aio.ServicerContext
    ) -> peer_pb2.ProbeReply:
        reachable = await self._gossiper.handle_probe(request)
        return peer_pb2.ProbeReply(reachable=reachable)

    async def FetchCatalog(  # noqa: N802
        self,
        request: peer_pb2.CatalogRequest,
        context: grpc.aio.ServicerContext,
    ) -> peer_pb2.CatalogReply:
        response = self._read_catalog(request.after_offset)
        if response is None:
            await context.abort(
                grpc.StatusCode.UNAVAILABLE, "no configuration yet"
            )
        return response

    async def ReportDemand(  # noqa: N802
        self,
        request: peer_pb2.DemandReport,
        context: grpc.aio.ServicerContext,
    ) -> peer_pb2.ShareGrant:
        if self.demand_handler is None:
            await context.abort(
                grpc.StatusCode.UNIMPLEMENTED, "no coordinator here"
            )
        return await self.demand_handler(request)


class PeerServer:
    """Serves the gRPC service ``Peer``.

    :param gossiper: handles exchanges and probes
    :param bus: receives urgent updates
    :param read_catalog: returns the entries above an offset, or None if no
        catalog is loaded
    """

    def __init__(
        self,
        gossiper: gossipers.Gossiper,
        bus: update_bus.UpdateBus,
        read_catalog: Callable[[int], peer_pb2.CatalogReply | None],
    ) -> None:
        self._servicer = _Servicer(gossiper, bus, read_catalog)
        self._server: grpc.aio.Server | None = None

    def set_demand_handler(self, handler: DemandHandler) -> None:
        """Set the function that handles demand reports."""
        self._servicer.demand_handler = handler

    async def start(self, address: str, port: int) -> int:
        """Start to listen.

        :param port: the port, or 0 for a free one
        :returns: the port in use
        :raises OSError: if the port is not available
        """
        self._server = grpc.aio.server(options=_OPTIONS)
        peer_pb2_grpc.add_PeerServicer_to_server(self._servicer, self._server)
        try:
            bound_port = self._server.add_insecure_port(f"{address}:{port}")
        except RuntimeError as error:
            raise OSError(f"cannot listen on {address}:{port}") from error
        await self._server.start()
        return bound_port

    async def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            await self._server.stop(_STOP_GRACE_S)
