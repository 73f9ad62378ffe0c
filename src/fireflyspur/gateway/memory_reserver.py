"""Memory of several engines for one prompt."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
from collections.abc import Sequence
import contextlib
import dataclasses
import uuid

from fireflyspur.gateway import endpoint as endpoints
from fireflyspur.gateway import engine_orders
from fireflyspur.gateway import exceptions
from fireflyspur.observability import logs

# Engines free memory by themselves if this node dies: the time for which
# it is held is a share of that in which it must be free again.
_HOLD_SHARE = 0.75
# Renewals before the time for which the memory is held is over.
_RENEWALS_PER_HOLD = 3
# Orders to free memory whose answer is lost are sent again this often.
_RELEASE_TRIES = 3

_log = logs.log_for("memory")


@dataclasses.dataclass(frozen=True)
class MemoryLimits:
    """Bounds on memory that is set aside.

    :param free_s: time after the end of a request in which it must be free
    :param hold_max_s: longest time that an engine accepts
    """

    free_s: float
    hold_max_s: float

    @property
    def hold_s(self) -> float:
        """Time for which memory is held at once."""
        return min(self.free_s * _HOLD_SHARE, self.hold_max_s)


@dataclasses.dataclass(frozen=True)
class Reservation:
    """Memory on one engine.

    :param ticket: names the reservation there
    """

    endpoint: endpoints.Endpoint
    tokens: int
    ticket: str


class MemoryReserver:
    """Reserves memory on engines, all or nothing, and frees it again.

    :param orders: sends the orders
    :param limits: returns the bounds in force
    """

    def __init__(
        self,
        orders: engine_orders.EngineOrders,
        limits: Callable[[], MemoryLimits],
    ) -> None:
        self._orders = orders
        self._limits = limits
        self._releases: set[asyncio.Future[None]] = set()

    @contextlib.asynccontextmanager
    async def reserve(
        self, requested: Sequence[tuple[endpoints.Endpoint, int]]
    ) -> AsyncIterator[tuple[Reservation, ...]]:
        """Hold memory on each of some engines.

        It is freed in the background at the end, so that an answer does not
        wait for it.

        :param requested: engines, and the tokens on each
        :raises MemoryRefusedError: if one of them does not have it
        """
        reservations = tuple(
            Reservation(item, tokens, uuid.uuid4().hex[:16])
            for item, tokens in requested
        )
        async with contextlib.AsyncExitStack() as stack:
            stack.callback(self._release_all, reservations)
            await self._reserve_all(reservations)
            renewal = asyncio.ensure_future(self._renew(reservations))
            stack.callback(renewal.cancel)
            yield reservations

    async def close(self) -> None:
        """Wait until what is being freed is free."""
        await asyncio.gather(*self._releases, return_exceptions=True)

    async def _reserve_all(
        self, reservations: tuple[Reservation, ...]
    ) -> None:
        results = await asyncio.gather(
            *(self._send_reserve(item) for item in reservations)
        )
        for item, result in zip(reservations, results, strict=True):
            if result is not engine_orders.OrderResult.DONE:
                raise exceptions.MemoryRefusedError(
                    item.endpoint.instance, result.value
                )
        _log.info(
            "Memory held",
            instances=[r.endpoint.instance for r in reservations],
            tokens=sum(r.tokens for r in reservations),
        )

    async def _send_reserve(
        self, item: Reservation
    ) -> engine_orders.OrderResult:
        return await self._orders.reserve(
            item.endpoint.address,
            item.ticket,
            item.tokens,
            self._limits().hold_s,
        )

    async def _renew(self, reservations: tuple[Reservation, ...]) -> None:
        while True:
            await asyncio.sleep(self._limits().hold_s / _RENEWALS_PER_HOLD)
            results = await asyncio.gather(
                *(self._send_reserve(item) for item in reservations)
            )
            for item, result in zip(reservations, results, strict=True):
                if result is not engine_orders.OrderResult.DONE:
                    _log.warning(
                        "Memory not renewed",
                        instance=item.endpoint.instance,
                        result=result.value,
                    )

    def _release_all(self, reservations: tuple[Reservation, ...]) -> None:
        for item in reservations:
            release = asyncio.ensure_future(self._release(item))
            self._releases.add(release)
            release.add_done_callback(self._releases.discard)

    async def _release(self, item: Reservation) -> None:
        for _ in range(_RELEASE_TRIES):
            result = await self._orders.release(
                item.endpoint.address, item.ticket
            )
            if result is not engine_orders.OrderResult.UNKNOWN:
                return
        _log.warning(
            "Memory not released; the engine frees it by itself",
            instance=item.endpoint.instance,
            ticket=item.ticket,
            hold_s=self._limits().hold_s,
        )
