"""Polling of the load of engines."""

import asyncio
import random
import time

from fireflyspur.clients import engine_client
from fireflyspur.clients import exceptions
from fireflyspur.routing import engine_view
from fireflyspur.routing import load_report

# Responses to prompts report the load as well, so a busy engine is rarely
# polled.
_MAX_AGE_S = 1.0
# A poll costs 0.45 ms of CPU time and about 500 bytes. In a fleet with more
# engines than this, the maximum age of a report grows in proportion, so that
# a node that monitors 32 of 800 engines polls at most once a second.
_ENGINES_AT_FULL_RATE = 25
_PERIOD_S = 0.25


class LoadPoller:
    """Polls engines that have no recent load report.

    :param client: client of the engines
    :param view: updated with the reports
    """

    def __init__(
        self,
        client: engine_client.EngineClient,
        view: engine_view.EngineView,
    ) -> None:
        self._client = client
        self._view = view
        self._polled_at: dict[str, float] = {}

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            due = self._due(time.monotonic())
            await asyncio.gather(*(self.poll(name) for name in due))
            # Jitter, so that nodes do not poll an engine at the same time.
            await asyncio.sleep(_PERIOD_S * random.uniform(0.75, 1.25))

    async def poll(self, name: str) -> None:
        """Poll an engine; mark it as unreachable if it does not respond."""
        self._polled_at[name] = time.monotonic()
        try:
            values = await self._client.fetch(
                self._view.address(name), "/load"
            )
        except exceptions.EngineUnavailableError:
            self._view.mark_unreachable(name)
        except (exceptions.EngineRefusedError, KeyError):
            pass
        else:
            self._view.update_load(name, load_report.parse(values))

    def _due(self, now: float) -> list[str]:
        scale = max(1.0, len(self._view.specs()) / _ENGINES_AT_FULL_RATE)
        oldest = now - _MAX_AGE_S * scale
        return [
            name
            for name in self._view.monitored()
            if self._polled_at.get(name, oldest) <= oldest
            and self._reported_at(name) <= oldest
        ]

    def _reported_at(self, name: str) -> float:
        report = self._view.load(name)
        return report.received_at if report else 0.0
