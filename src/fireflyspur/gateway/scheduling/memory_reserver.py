"""Reservation of memory on several engines for one prompt."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
import contextlib
import dataclasses
import uuid

from fireflyspur.gateway.common import clock
from fireflyspur.gateway.common import exceptions
from fireflyspur.gateway.endpoints import endpoint as endpoints
from fireflyspur.gateway.scheduling import engine_orders
from fireflyspur.observability import logs

# If this node crashes, the engines free the memory when the reservation
# expires. It therefore lasts only a part of the time within which the memory
# must be free again.
_RESERVATION_SHARE = 0.75
# Renewals before a reservation would expire.
_RENEWALS_PER_RESERVATION = 3
# Maximum number of attempts to release memory while no response arrives.
_MAX_RELEASE_ATTEMPTS = 3

# Returns an endpoint to which nothing may be sent any more, or None.
_Check = Callable[
    [Sequence[endpoints.Endpoint]], Awaitable[endpoints.Endpoint | None]
]

_log = logs.log_for("memory")


@dataclasses.dataclass(frozen=True)
class MemoryLimits:
    """Limits on the duration of memory reservations.

    :param free_s: time after the end of a request within which its memory
        must be free
    :param hold_max_s: longest duration that an engine accepts
    """

    free_s: float
    hold_max_s: float

    @property
    def reservation_s(self) -> float:
        """Duration of a reservation, unless it is renewed."""
        return min(self.free_s * _RESERVATION_SHARE, self.hold_max_s)


@dataclasses.dataclass(frozen=True)
class Reservation:
    """Memory reserved on one engine.

    :param ticket: identifies the reservation there
    :param expires_at_s: clock time until which it holds at least
    """

    endpoint: endpoints.Endpoint
    tokens: int
    ticket: str
    expires_at_s: float


class MemoryReserver:
    """Reserves memory on several engines, all or nothing, and releases it.

    :param orders: sends the orders
    :param limits: returns the current limits
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
        self,
        requested: Sequence[tuple[endpoints.Endpoint, int]],
        check: _Check | None = None,
    ) -> AsyncIterator[tuple[Reservation, ...]]:
        """Reserve memory on each of several engines within a context.

        The memory is released in the background at the end, so that the
        response doesn't wait for it.

        :param requested: engines, and the tokens on each
        :param check: returns one of them that must not get an order, or None
        :raises MemoryRefusedError: if one of them doesn't confirm it
        """
        # It lasts from the arrival of the order, which is later.
        expires_at_s = clock.now_s() + self._limits().reservation_s
        reservations = tuple(
            Reservation(endpoint, tokens, uuid.uuid4().hex[:16], expires_at_s)
            for endpoint, tokens in requested
        )
        async with contextlib.AsyncExitStack() as stack:
            stack.callback(self._release_all, reservations)
            await self._reserve_all(reservations, check)
            renewal = asyncio.ensure_future(self._renew(reservations))
            stack.callback(renewal.cancel)
            yield reservations

    async def close(self) -> None:
        """Wait for the releases in progress."""
        await asyncio.gather(*self._releases, return_exceptions=True)

    async def _reserve_all(
        self, reservations: tuple[Reservation, ...], check: _Check | None
    ) -> None:
        results = await asyncio.gather(
            *(
                self._send_reserve(reservation, check)
                for reservation in reservations
            )
        )
        for reservation, result in zip(reservations, results, strict=True):
            if result is not engine_orders.OrderResult.DONE:
                raise exceptions.MemoryRefusedError(
                    reservation.endpoint.instance, result.value
                )
        _log.info(
            "Memory held",
            instances=[r.endpoint.instance for r in reservations],
            tokens=sum(r.tokens for r in reservations),
        )

    async def _send_reserve(
        self, reservation: Reservation, check: _Check | None = None
    ) -> engine_orders.OrderResult:
        async def may_send() -> bool:
            return await check((reservation.endpoint,)) is None

        return await self._orders.reserve(
            reservation.endpoint.address,
            reservation.ticket,
            reservation.tokens,
            self._limits().reservation_s,
            None if check is None else may_send,
        )

    async def _renew(self, reservations: tuple[Reservation, ...]) -> None:
        while True:
            await asyncio.sleep(
                self._limits().reservation_s / _RENEWALS_PER_RESERVATION
            )
            results = await asyncio.gather(
                *(
                    self._send_reserve(reservation)
                    for reservation in reservations
                )
            )
            for reservation, result in zip(reservations, results, strict=True):
                if result is not engine_orders.OrderResult.DONE:
                    _log.warning(
                        "Memory not renewed",
                        instance=reservation.endpoint.instance,
                        result=result.value,
                    )

    def _release_all(self, reservations: tuple[Reservation, ...]) -> None:
        for reservation in reservations:
            release = asyncio.ensure_future(self._release(reservation))
            self._releases.add(release)
            release.add_done_callback(self._releases.discard)

    async def _release(self, reservation: Reservation) -> None:
        for _ in range(_MAX_RELEASE_ATTEMPTS):
            result = await self._orders.release(
                reservation.endpoint.address, reservation.ticket
            )
            if result is not engine_orders.OrderResult.UNKNOWN:
                return
        _log.warning(
            "Memory not released; the reservation will expire",
            instance=reservation.endpoint.instance,
            ticket=reservation.ticket,
            hold_s=self._limits().reservation_s,
        )
