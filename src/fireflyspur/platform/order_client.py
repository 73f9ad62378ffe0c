"""Client for the platform's protocol of orders to engines."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import contextlib

import msgspec

from fireflyspur.gateway.common import address as addresses
from fireflyspur.gateway.common import exceptions
from fireflyspur.gateway.requests import http_exchange
from fireflyspur.gateway.scheduling import engine_orders

_PATH = b"/api/order"
# A reachable engine accepts a connection within a few round trips.
_CONNECT_TIMEOUT_S = 0.25
# Engines respond to memory orders at once. The caller's request waits for the
# first order.
_RESPONSE_TIMEOUT_S = 0.5
# Responses have a few hundred bytes; a longer one is an error.
_MAX_RESPONSE_BYTES = 8_192
# The engine carries out the order, or the requested state already holds.
_SUCCESS_STATUSES = (200, 202)


class _ReserveOrder(msgspec.Struct, tag_field="operation", tag="reserve"):
    id: str
    tokens: int
    hold_ms: int


class _ReleaseOrder(msgspec.Struct, tag_field="operation", tag="release"):
    id: str


class OrderClient(engine_orders.EngineOrders):
    """Sends each order on a new connection."""

    async def reserve(
        self,
        address: addresses.Address,
        ticket: str,
        tokens: int,
        duration_s: float,
        may_send: Callable[[], Awaitable[bool]] | None = None,
    ) -> engine_orders.OrderResult:
        """Reserve memory, or extend a reservation."""
        order = _ReserveOrder(ticket, tokens, round(duration_s * 1000))
        return await self._send(address, order, may_send)

    async def release(
        self, address: addresses.Address, ticket: str
    ) -> engine_orders.OrderResult:
        """Release reserved memory."""
        return await self._send(address, _ReleaseOrder(ticket))

    async def _send(
        self,
        address: addresses.Address,
        order: _ReserveOrder | _ReleaseOrder,
        may_send: Callable[[], Awaitable[bool]] | None = None,
    ) -> engine_orders.OrderResult:
        try:
            exchange = await http_exchange.HttpExchange.connect(
                address, _CONNECT_TIMEOUT_S
            )
        except exceptions.EndpointUnreachableError:
            return engine_orders.OrderResult.REFUSED
        with contextlib.closing(exchange):
            if may_send is not None and not await may_send():
                return engine_orders.OrderResult.REFUSED
            body = msgspec.json.encode(order)
            headers = [
                (b"Host", str(address).encode()),
                (b"Content-Type", b"application/json"),
                (b"Content-Length", str(len(body)).encode()),
            ]
            exchange.send(b"POST", _PATH, headers, body)
            try:
                async with asyncio.timeout(_RESPONSE_TIMEOUT_S):
                    head = await exchange.read_head()
                    await exchange.read_body(_MAX_RESPONSE_BYTES)
            except (TimeoutError, exceptions.BrokenResponseError):
                return engine_orders.OrderResult.UNKNOWN
        if head.status in _SUCCESS_STATUSES:
            return engine_orders.OrderResult.DONE
        return engine_orders.OrderResult.REFUSED
