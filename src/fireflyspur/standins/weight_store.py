"""Stand-in of the platform's rate-limited weight store."""

import asyncio
import collections
import dataclasses

from tornado import web

from fireflyspur.standins import server


@dataclasses.dataclass(frozen=True)
class StoreSettings:
    """Speed and limit of the store.

    :param fetch_s: duration of one fetch
    :param max_fetches: fetches at one time; more get 429
    :param retry_after_s: what a refused fetch is told
    :param time_factor: how many times faster than real time it runs
    """

    fetch_s: float = 30.0
    max_fetches: int = 2
    retry_after_s: float = 5.0
    time_factor: float = 1.0


class WeightStore:
    """Counts and limits the fetches.

    :param settings: speed and limit
    """

    def __init__(self, settings: StoreSettings) -> None:
        self.settings = settings
        self.fetches: collections.Counter[str] = collections.Counter()
        self.refused = 0
        self.running = 0
        self.peak = 0
        self.is_down = False

    async def fetch(self, name: str) -> bool:
        """Make one fetch; False when too many run."""
        if self.running >= self.settings.max_fetches:
            self.refused += 1
            return False
        self.running += 1
        self.peak = max(self.peak, self.running)
        try:
            settings = self.settings
            await asyncio.sleep(settings.fetch_s / settings.time_factor)
        finally:
            self.running -= 1
        self.fetches[name] += 1
        return True


class _StoreHandler(server.JsonHandler):
    def initialize(self, store: WeightStore) -> None:
        self._store = store


class WeightsHandler(_StoreHandler):
    """``GET /weights/NAME/VERSION``."""

    async def get(self, name: str, version: str) -> None:
        """Respond when the weights have been fetched."""
        settings = self._store.settings
        if self._store.is_down:
            self.refuse(503, "outage")
        elif await self._store.fetch(f"{name}/{version}"):
            self.send({"name": name, "version": version})
        else:
            wait_s = settings.retry_after_s / settings.time_factor
            self.refuse(429, "rate_exceeded", Retry_After=f"{wait_s:g}")


class StatsHandler(_StoreHandler):
    """``GET /stats``."""

    def get(self) -> None:
        """Respond with the counts for checks."""
        store = self._store
        self.send(
            {
                "fetches": dict(store.fetches),
                "refused": store.refused,
                "running": store.running,
                "peak": store.peak,
            }
        )


class FaultsHandler(_StoreHandler):
    """``POST /faults``."""

    def post(self) -> None:
        """Set whether the store is down."""
        self._store.is_down = bool(self.read_json().get("down", False))
        self.send({})


def application(settings: StoreSettings) -> web.Application:
    """Return the stand-in's application."""
    arguments = {"store": WeightStore(settings)}
    return web.Application(
        [
            (r"/weights/([\w.-]+)/([\w.-]+)", WeightsHandler, arguments),
            ("/stats", StatsHandler, arguments),
            ("/faults", FaultsHandler, arguments),
        ],
        log_function=lambda handler: None,
    )
