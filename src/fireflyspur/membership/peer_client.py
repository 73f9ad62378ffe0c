"""Calls to other nodes."""

import collections
from typing import Any

import grpc
import grpc.aio

from fireflyspur.generated import peer_pb2
from fireflyspur.generated import peer_pb2_grpc

# Small fleets keep a connection to every peer. Large fleets would have a full
# mesh of idle connections.
_MAX_CHANNELS = 16
_OPTIONS = (
    # Peers are called directly, even if the environment sets a proxy.
    ("grpc.enable_http_proxy", 0),
    ("grpc.use_local_subchannel_pool", 1),
    # The bandwidth estimator sends extra pings.
    ("grpc.http2.bdp_probe", 0),
    ("grpc.service_config_disable_resolution", 1),
    # A failed peer is retried in the next round, not after a backoff of up to
    # two minutes.
    ("grpc.initial_reconnect_backoff_ms", 200),
    ("grpc.max_reconnect_backoff_ms", 1000),
    ("grpc.max_receive_message_length", 64 * 1024 * 1024),
)


class PeerClient:
    """Calls peers through channels to the most recent ones."""

    def __init__(self) -> None:
        self._channels: collections.OrderedDict[str, grpc.aio.Channel] = (
            collections.OrderedDict()
        )
        self._in_use: collections.Counter[str] = collections.Counter()
        self._connect_count = 0

    @property
    def connect_count(self) -> int:
        """Number of channels opened so far."""
        return self._connect_count

    async def exchange(
        self, target: str, gossip: peer_pb2.Gossip, timeout_s: float
    ) -> peer_pb2.Gossip | None:
        """Exchange gossip, or return None if the peer does not respond."""
        return await self._call(target, "Exchange", gossip, timeout_s)

    async def probe(
        self, target: str, request: peer_pb2.ProbeRequest, timeout_s: float
    ) -> bool:
        """Return whether a peer reaches another one."""
        response = await self._call(target, "Probe", request, timeout_s)
        return response is not None and response.reachable

    async def push_update(
        self, target: str, update: peer_pb2.News, timeout_s: float
    ) -> bool:
        """Push an urgent update and return whether the peer responded."""
        response = await self._call(target, "PushNews", update, timeout_s)
        return response is not None

    async def fetch_catalog(
        self, target: str, after_offset: int, timeout_s: float
    ) -> peer_pb2.CatalogReply | None:
        """Fetch the entries above an offset, or return None on failure."""
        request = peer_pb2.CatalogRequest(after_offset=after_offset)
        return await self._call(target, "FetchCatalog", request, timeout_s)

    async def report_demand(
        self, target: str, report: peer_pb2.DemandReport, timeout_s: float
    ) -> peer_pb2.ShareGrant | None:
        """Report demand to a coordinator, or return None on failure."""
        return await self._call(target, "ReportDemand", report, timeout_s)

    async def close(self) -> None:
        """Close all channels."""
        while self._channels:
            await self._channels.popitem()[1].close()

    async def _call(
        self, target: str, method: str, request: Any, timeout_s: float
    ) -> Any:
        channel = await self._channel(target)
        self._in_use[target] += 1
        try:
            stub = peer_pb2_grpc.PeerStub(channel)
            return await getattr(stub, method)(request, timeout=timeout_s)
        except grpc.aio.AioRpcError:
            await self._drop(target, channel)
            return None
        finally:
            self._in_use[target] -= 1
            if not self._in_use[target]:
                del self._in_use[target]

    async def _channel(self, target: str) -> grpc.aio.Channel:
        channel = self._channels.get(target)
        if channel is None:
            channel = grpc.aio.insecure_channel(target, options=_OPTIONS)
            self._channels[target] = channel
            self._connect_count += 1
            await self._evict()
        self._channels.move_to_end(target)
        return channel

    async def _evict(self) -> None:
        idle = [t for t in self._channels if not self._in_use[t]]
        for target in idle[:-1]:
            if len(self._channels) <= _MAX_CHANNELS:
                return
            await self._channels.pop(target).close()

    async def _drop(self, target: str, channel: grpc.aio.Channel) -> None:
        if self._in_use[target] == 1 and self._channels.get(target) is channel:
            del self._channels[target]
            await channel.close()
