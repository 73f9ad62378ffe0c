"""Check for evacuations immediately before something is sent."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Iterable

from fireflyspur.errors import exceptions as base_exceptions
from fireflyspur.gateway.common import clock
from fireflyspur.gateway.configuration import evacuations
from fireflyspur.gateway.endpoints import endpoint as endpoints
from fireflyspur.gateway.node import suspension
from fireflyspur.observability import logs

# After a suspension, requests wait this long for a read of the store: a call
# that gets no answer ends after one second, and another one follows it.
_MAX_WAIT_S = 1.5
# Pause after a failed read.
_RETRY_S = 0.1

_log = logs.log_for("evacuations")


class EvacuationCheck:
    """Finds endpoints that must no longer get what was placed on them.

    What was known before a suspension of this process may be too old, so
    that the store is read before anything is sent after it.

    :param known: the evacuations that this node knows
    :param detector: tells when this process was suspended
    :param read: reads the store and updates what this node knows
    """

    def __init__(
        self,
        known: evacuations.Evacuations,
        detector: suspension.SuspensionDetector,
        read: Callable[[], Awaitable[None]],
    ) -> None:
        self._known = known
        self._detector = detector
        self._read = read
        self._lock = asyncio.Lock()

    async def find_evacuated(
        self, checked: Iterable[endpoints.Endpoint]
    ) -> endpoints.Endpoint | None:
        """Return an endpoint whose failure domain is evacuated, or None.

        :param checked: endpoints to which something is to be sent
        """
        if not self._known.is_enabled:
            return None
        await self._wait_until_read()
        for endpoint in checked:
            if endpoint.failure_domain in self._known.in_force:
                return endpoint
        return None

    async def _wait_until_read(self) -> None:
        """Wait for a read of the store if this process was suspended.

        If the store does not respond, the last state stays in force.
        """
        while self._remaining_s() > 0:
            async with self._lock:
                remaining_s = self._remaining_s()
                if remaining_s > 0:
                    await self._read_once(remaining_s)

    def _remaining_s(self) -> float:
        """Return how long to wait for a read, or 0 if none is needed."""
        resumed_at_s = self._detector.resumed_at_s()
        if resumed_at_s is None or self._known.own_read_at_s >= resumed_at_s:
            return 0.0
        return max(0.0, resumed_at_s + _MAX_WAIT_S - clock.now_s())

    async def _read_once(self, timeout_s: float) -> None:
        try:
            async with asyncio.timeout(timeout_s):
                await self._read()
        except (TimeoutError, base_exceptions.FireflyspurError) as error:
            _log.warning(
                "Evacuations not read after suspension",
                reason=str(error) or "no answer in time",
                age_s=round(self._known.age_s(), 1),
            )
            await asyncio.sleep(min(_RETRY_S, timeout_s))
