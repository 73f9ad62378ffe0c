"""Whether this node reaches endpoints at all."""

import asyncio
from collections.abc import Callable
import contextlib
import enum
import random

from fireflyspur.gateway.common import clock
from fireflyspur.gateway.common import exceptions
from fireflyspur.gateway.endpoints import endpoint as endpoints
from fireflyspur.gateway.endpoints import endpoint_directory
from fireflyspur.gateway.requests import http_exchange
from fireflyspur.observability import logs

# Other endpoints that are tried when one accepts no connection. If all of the
# first ones do, the endpoint is at fault; else more are tried. The last number
# is for a node that has reached none so far, before it counts as isolated.
_FIRST_CONTROLS = 3
_CONTROLS = 12
_MAX_CONTROLS = 48
# Share of the tried endpoints that a node with good paths reaches.
_GOOD_SHARE = 0.5
# A reachable endpoint accepts a connection within a few round trips.
_CONNECT_TIMEOUT_S = 0.3
# Interval at which a node without good paths tries endpoints.
_RETRY_S = 0.5

_log = logs.log_for("endpoints")


class Paths(enum.Enum):
    """Which endpoints a node reaches, as far as it knows.

    ``GOOD``: most of them. ``POOR``: some. ``NONE``: none, it is isolated.
    """

    GOOD = "good"
    POOR = "poor"
    NONE = "none"


class Reachability:
    """Tells endpoints that accept no connection from lost paths of this node.

    What a node without good paths sees of endpoints says little about them.

    :param directory: the known endpoints
    :param on_change: called with whether the paths are good, when that changes
    """

    def __init__(
        self,
        directory: endpoint_directory.EndpointDirectory,
        on_change: Callable[[bool], None],
    ) -> None:
        self._directory = directory
        self._on_change = on_change
        self._paths = Paths.GOOD
        # Clock time of the last connection while the paths were good.
        self._connected_at_s = float("-inf")
        self._check: asyncio.Future[None] | None = None
        self._search: asyncio.Future[None] | None = None

    @property
    def has_good_paths(self) -> bool:
        """Whether this node reaches most endpoints."""
        return self._paths is Paths.GOOD

    @property
    def is_isolated(self) -> bool:
        """Whether this node reaches no endpoint."""
        return self._paths is Paths.NONE

    async def connect(
        self,
        endpoint: endpoints.Endpoint,
        timeout_s: float,
        on_silence: http_exchange.SilenceCallback | None = None,
    ) -> http_exchange.HttpExchange:
        """Connect to an endpoint.

        :raises EndpointUnreachableError: if it cannot connect in time
        """
        exchange = await http_exchange.HttpExchange.connect(
            endpoint.address, timeout_s, on_silence
        )
        if self._paths is Paths.GOOD:
            self._connected_at_s = clock.now_s()
        return exchange

    async def accepts(self, endpoint: endpoints.Endpoint) -> bool:
        """Return whether an endpoint accepts a connection."""
        try:
            exchange = await self.connect(endpoint, _CONNECT_TIMEOUT_S)
        except exceptions.EndpointUnreachableError:
            return False
        exchange.close()
        return True

    async def is_at_fault(self, instance: str) -> bool:
        """Return whether an endpoint is at fault that accepts no connection.

        It is if this node reaches most of the others.
        """
        if self._paths is Paths.GOOD:
            if self._check is None:
                self._check = asyncio.ensure_future(
                    self._try_controls(instance)
                )
                self._check.add_done_callback(self._clear_check)
            await asyncio.shield(self._check)
        return self._paths is Paths.GOOD

    async def settle(self) -> None:
        """Wait until a check that is under way has ended."""
        # One that was asked for just now begins.
        await asyncio.sleep(0)
        if self._check is not None:
            await asyncio.shield(self._check)

    async def close(self) -> None:
        """End the background tasks."""
        tasks = [t for t in (self._check, self._search) if t is not None]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _try_controls(self, instance: str) -> None:
        controls = self._draw_others(instance)
        first, rest = controls[:_FIRST_CONTROLS], controls[_FIRST_CONTROLS:]
        reached = await self._count_reached(first)
        if reached < len(first):
            self._set_paths(await self._survey(rest, reached, len(first)))

    async def _survey(
        self, untried: list[endpoints.Endpoint], reached: int, tried: int
    ) -> Paths:
        """Try endpoints until it is clear what this node reaches.

        :param untried: endpoints to try
        :param reached: number of endpoints that it reached just now
        :param tried: number of those that were tried
        """
        for most in (_CONTROLS, _MAX_CONTROLS):
            batch = untried[: most - tried]
            untried = untried[len(batch) :]
            reached += await self._count_reached(batch)
            tried += len(batch)
            if reached:
                break
        return _to_paths(reached, tried)

    def _draw_others(self, instance: str = "") -> list[endpoints.Endpoint]:
        """Return endpoints to try in random order, except for one."""
        others = [
            endpoint
            for endpoint in self._directory.usable()
            if endpoint.instance != instance
        ]
        return random.sample(others, min(_MAX_CONTROLS, len(others)))

    async def _count_reached(self, tried: list[endpoints.Endpoint]) -> int:
        """Return how many endpoints accept a connection; pause the others."""
        results = await asyncio.gather(*(self.accepts(e) for e in tried))
        for endpoint, is_accepted in zip(tried, results, strict=True):
            if not is_accepted:
                self._directory.record_fault(
                    endpoint.instance, "no connection"
                )
        return sum(results)

    async def _search_paths(self) -> None:
        """Try endpoints until the paths are good again."""
        while self._paths is not Paths.GOOD:
            await asyncio.sleep(_RETRY_S)
            self._set_paths(await self._survey(self._draw_others(), 0, 0))

    def _clear_check(self, check: "asyncio.Future[None]") -> None:
        self._check = None
        with contextlib.suppress(asyncio.CancelledError):
            check.result()

    def _set_paths(self, paths: Paths) -> None:
        if paths is self._paths:
            return
        was_good = self._paths is Paths.GOOD
        self._paths = paths
        _log.info("Paths to endpoints changed", paths=paths.value)
        if paths is Paths.GOOD:
            # Faults since then were those of the paths.
            self._directory.forget_faults(self._connected_at_s)
            self._on_change(True)
        elif was_good:
            self._search = asyncio.ensure_future(self._search_paths())
            self._on_change(False)


def _to_paths(reached: int, tried: int) -> Paths:
    if reached and reached >= _GOOD_SHARE * tried:
        return Paths.GOOD
    return Paths.POOR if reached else Paths.NONE
