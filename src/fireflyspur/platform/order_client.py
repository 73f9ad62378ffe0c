"""Orders to engines by the platform's protocol."""

import asyncio
import contextlib

import msgspec

from fireflyspur.gateway import address as addresses
from fireflyspur.gateway import engine_orders
from fireflyspur.gateway import exceptions
from fireflyspur.gateway import http_exchange

_PATH = b"/api/order"
# An engine in reach accepts within a few round trips.
_CONNECT_TIMEOUT_S = 0.25
# Orders about memory are answered at once; a caller waits for the first one.
_ANSWER_TIMEOUT_S = 0.5
# Answers are some hundred bytes; a longer one is a fault.
_MAX_ANSWER_BYTES = 65_536
# The order has begun, or its state already holds.
_ACCEPTED = (200, 202)


class _Reserve(msgspec.Struct, tag_field="operation", tag="reserve"):
    id: str
    tokens: int
    hold_ms: int


class _Release(msgspec.Struct, tag_field="operation", tag="release"):
    id: str


class OrderClient(engine_orders.EngineOrders):
    """Sends each order on a connection of its own."""

    async def reserve(
        self,
        address: addresses.Address,
        ticket: str,
        tokens: int,
        duration_s: float,
    ) -> engine_orders.OrderResult:
        """Set memory aside, or renew the time for which it is."""
        order = _Reserve(ticket, tokens, round(duration_s * 1000))
        return await self._send(address, order)

    async def release(
        self, address: addresses.Address, ticket: str
    ) -> engine_orders.OrderResult:
        """Free memory that was set aside."""
        return await self._send(address, _Release(ticket))

    async def _send(
        self, address: addresses.Address, order: _Reserve | _Release
    ) -> engine_orders.OrderResult:
        try:
            exchange = await http_exchange.HttpExchange.connect(
                address, _CONNECT_TIMEOUT_S
            )
        except exceptions.EndpointUnreachableError:
            return engine_orders.OrderResult.REFUSED
        with contextlib.closing(exchange):
            body = msgspec.json.encode(order)
            headers = [
                (b"Host", str(address).encode()),
                (b"Content-Type", b"application/json"),
                (b"Content-Length", str(len(body)).encode()),
            ]
            exchange.send(b"POST", _PATH, headers, body)
            try:
                async with asyncio.timeout(_ANSWER_TIMEOUT_S):
                    head = await exchange.read_head()
                    await exchange.read_body(_MAX_ANSWER_BYTES)
            except (TimeoutError, exceptions.BrokenResponseError):
                return engine_orders.OrderResult.UNKNOWN
        if head.status in _ACCEPTED:
            return engine_orders.OrderResult.DONE
        return engine_orders.OrderResult.REFUSED
