"""Whether this node reaches endpoints at all."""

import asyncio
from collections.abc import Callable
import contextlib
import random

from fireflyspur.gateway.common import clock
from fireflyspur.gateway.common import exceptions
from fireflyspur.gateway.endpoints import endpoint as endpoints
from fireflyspur.gateway.endpoints import endpoint_directory
from fireflyspur.gateway.requests import http_exchange
from fireflyspur.observability import logs

# Other endpoints that are tried before one is blamed, and those that are tried
# before the node counts as isolated, as some may have failed together with it.
_CONTROLS = 3
_ALL_CONTROLS = 32
# A reachable endpoint accepts a connection within a few round trips.
_CONNECT_TIMEOUT_S = 0.3
# Interval at which an isolated node looks for an endpoint that it reaches.
_RETRY_S = 0.5

_log = logs.log_for("endpoints")


class Reachability:
    """Tells endpoints that accept no connection from lost paths of this node.

    A node that reaches no endpoint at all is isolated. What it sees of
    endpoints then says nothing about them.

    :param directory: the known endpoints
    :param on_change: called when the node becomes isolated (True) or not
    """

    def __init__(
        self,
        directory: endpoint_directory.EndpointDirectory,
        on_change: Callable[[bool], None],
    ) -> None:
        self._directory = directory
        self._on_change = on_change
        self._connected_at_s = float("-inf")
        self._is_isolated = False
        self._check: asyncio.Future[None] | None = None
        self._search: asyncio.Future[None] | None = None

    @property
    def is_isolated(self) -> bool:
        """Whether this node reaches no endpoint, as far as it knows."""
        return self._is_isolated

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
        self._record_connection()
        return exchange

    async def accepts(self, endpoint: endpoints.Endpoint) -> bool:
        """Return whether an endpoint accepts a connection."""
        try:
            exchange = await self.connect(endpoint, _CONNECT_TIMEOUT_S)
        except exceptions.EndpointUnreachableError:
            return False
        exchange.close()
        return True

    async def is_at_fault(self, instance: str, since_s: float) -> bool:
        """Return whether an endpoint is at fault that accepts no connection.

        It is if this node reaches another one.

        :param since_s: clock time at which the failed connection began
        """
        while self._connected_at_s < since_s and not self._is_isolated:
            if self._check is None:
                controls = self._controls(instance, _ALL_CONTROLS)
                if not controls:
                    return True
                check = asyncio.ensure_future(self._try_controls(controls))
                self._check = check
                check.add_done_callback(self._clear_check)
            await asyncio.shield(self._check)
        return not self._is_isolated

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

    def _controls(self, instance: str, most: int) -> list[endpoints.Endpoint]:
        others = [
            endpoint
            for endpoint in self._directory.usable()
            if endpoint.instance != instance
        ]
        return random.sample(others, min(most, len(others)))

    async def _try_controls(self, controls: list[endpoints.Endpoint]) -> None:
        first, rest = controls[:_CONTROLS], controls[_CONTROLS:]
        if await self._reaches_any(first) or await self._reaches_any(rest):
            return
        self._set_isolated(True)
        if self._search is None or self._search.done():
            self._search = asyncio.ensure_future(self._search_endpoint())

    async def _reaches_any(self, tried: list[endpoints.Endpoint]) -> bool:
        """Return whether one of some endpoints accepts a connection.

        A connection that another request got meanwhile counts too.
        """
        started_at_s = clock.now_s()
        tasks = [asyncio.ensure_future(self.accepts(e)) for e in tried]
        try:
            for task in asyncio.as_completed(tasks):
                if await task:
                    return True
        finally:
            for task in tasks:
                task.cancel()
        return self._connected_at_s >= started_at_s

    async def _search_endpoint(self) -> None:
        """Look for an endpoint that accepts a connection until one does."""
        while self._is_isolated:
            await asyncio.sleep(_RETRY_S)
            await self._reaches_any(self._controls("", _CONTROLS))

    def _clear_check(self, check: "asyncio.Future[None]") -> None:
        self._check = None
        with contextlib.suppress(asyncio.CancelledError):
            check.result()

    def _record_connection(self) -> None:
        if self._is_isolated:
            # Faults since then were those of the paths.
            self._directory.forget_faults(self._connected_at_s)
        self._connected_at_s = clock.now_s()
        self._set_isolated(False)

    def _set_isolated(self, is_isolated: bool) -> None:
        if is_isolated == self._is_isolated:
            return
        self._is_isolated = is_isolated
        if is_isolated:
            _log.warning("No endpoint reached")
        else:
            _log.info("Endpoint reached again")
        self._on_change(is_isolated)
