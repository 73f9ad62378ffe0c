"""Orders to engines about their memory."""

import abc
import enum

from fireflyspur.gateway import address as addresses


class OrderResult(enum.StrEnum):
    """What an engine made of an order.

    Without an answer the order may have been carried out, or may be later.
    """

    DONE = "done"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class EngineOrders(abc.ABC):
    """Sends orders to engines; each costs a fee."""

    @abc.abstractmethod
    async def reserve(
        self,
        address: addresses.Address,
        ticket: str,
        tokens: int,
        hold_s: float,
    ) -> OrderResult:
        """Set memory aside, or renew the time for which it is.

        :param ticket: names the reservation
        :param hold_s: time after which the engine frees it by itself
        """

    @abc.abstractmethod
    async def release(
        self, address: addresses.Address, ticket: str
    ) -> OrderResult:
        """Free memory that was set aside."""
