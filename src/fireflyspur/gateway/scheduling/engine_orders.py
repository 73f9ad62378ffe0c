"""Orders to engines about their memory."""

import abc
from collections.abc import Awaitable
from collections.abc import Callable
import enum

from fireflyspur.gateway.common import address as addresses


class OrderResult(enum.StrEnum):
    """Result of an order.

    UNKNOWN means that no response arrived: the engine may have executed the
    order, or may still execute it.
    """

    DONE = "done"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class EngineOrders(abc.ABC):
    """Sends orders to engines; the platform charges a fee for each."""

    @abc.abstractmethod
    async def reserve(
        self,
        address: addresses.Address,
        ticket: str,
        tokens: int,
        duration_s: float,
        may_send: Callable[[], Awaitable[bool]] | None = None,
    ) -> OrderResult:
        """Reserve memory, or renew a reservation.

        :param ticket: identifies the reservation
        :param duration_s: time after which the reservation expires
        :param may_send: asked immediately before the order is sent; None to
            send it in any case
        """

    @abc.abstractmethod
    async def release(
        self, address: addresses.Address, ticket: str
    ) -> OrderResult:
        """Release reserved memory."""
