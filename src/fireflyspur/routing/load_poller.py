"""Polling of the engines' load."""

import asyncio
import random
import time

from fireflyspur.clients import engine_client
from fireflyspur.clients import exceptions
from fireflyspur.routing import engine_view
from fireflyspur.routing import load_report

# Answers carry the load as well, so a busy engine is seldom asked.
_MAX_AGE_S = 1.0
_PERIOD_S = 0.25


class LoadPoller:
    """Asks engines for their load when no recent report is known.

    :param client: client of the engines
    :param view: takes the reports
    """

    def __init__(
        self,
        client: engine_client.EngineClient,
        view: engine_view.EngineView,
    ) -> None:
        self._client = client
        self._view = view

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            now = time.monotonic()
            due = [n for n in self._view.followed() if self._is_due(n, now)]
            await asyncio.gather(*(self.poll(name) for name in due))
            # Nodes must not all ask an engine at the same moment.
            await asyncio.sleep(_PERIOD_S * random.uniform(0.75, 1.25))

    async def poll(self, name: str) -> None:
        """Ask one engine; one that does not answer is passed over."""
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

    def _is_due(self, name: str, now: float) -> bool:
        report = self._view.load(name)
        return report is None or now - report.received_at >= _MAX_AGE_S
