"""Models, role and orders of the engine stand-in."""

import asyncio
from collections.abc import Callable
from typing import Any

from tornado import httpclient

from fireflyspur.standins.engine import settings as engine_settings

_FETCH_TIMEOUT_S = 3600.0


class OrderError(Exception):
    """An order that the engine refuses; the text is the code."""


class Residency:
    """What the engine holds and does, as orders decide.

    :param settings: the state at the start and the times of loading
    :param on_change: called when weights went, so that the cache is void
    """

    def __init__(
        self,
        settings: engine_settings.EngineSettings,
        on_change: Callable[[], None],
    ) -> None:
        self._settings = settings
        self._on_change = on_change
        self._loading: asyncio.Task[None] | None = None
        self._wanted: dict[str, Any] | None = None
        self.serves_any = settings.models is None
        self.models: dict[str, str] = dict(settings.models or {})
        self.adapters: dict[str, str] = dict(settings.adapters)
        self.role = settings.role
        self.is_leaving = False
        self.fencing = 0

    @property
    def loading(self) -> dict[str, Any] | None:
        """The order that is being carried out, or None."""
        is_busy = self._loading is not None and not self._loading.done()
        return self._wanted if is_busy else None

    def serves(self, model: str, adapter: str) -> bool:
        """Whether a model and an adapter (may be empty) are resident."""
        if self.serves_any:
            return True
        return model in self.models and (
            not adapter or adapter in self.adapters
        )

    def obey(self, fencing: int, order: dict[str, Any]) -> None:
        """Carry an order out; loading goes on after the return.

        :raises OrderError: if the engine refuses it
        """
        if self._settings.checks_fencing and fencing < self.fencing:
            raise OrderError("stale_fencing")
        match order:
            case {"type": "set_models", "models": dict() as models}:
                adapters = order.get("adapters", {})
                self._set({"models": models, "adapters": adapters})
            case {"type": "set_role", "role": str() as role}:
                self.role = role
            case {"type": "leave"}:
                self.is_leaving = True
            case {"type": "return"}:
                self.is_leaving = False
            case _:
                raise OrderError("unknown_order")
        self.fencing = max(self.fencing, fencing)

    def _set(self, wanted: dict[str, Any]) -> None:
        if wanted == self.loading:
            return
        if self._loading:
            self._loading.cancel()
        self._wanted = wanted
        self._loading = asyncio.ensure_future(self._load(wanted))

    async def _load(self, wanted: dict[str, Any]) -> None:
        """Drop what is not wanted, then load what is missing."""
        kept_models = _kept(self.models, wanted["models"])
        kept_adapters = _kept(self.adapters, wanted["adapters"])
        if kept_models != self.models or kept_adapters != self.adapters:
            self._on_change()
        self.models, self.adapters = kept_models, kept_adapters
        self.serves_any = False
        times = self._settings
        for held, name, load_s in (
            (self.models, "models", times.model_load_s),
            (self.adapters, "adapters", times.adapter_load_s),
        ):
            for key, version in wanted[name].items():
                if held.get(key) != version:
                    await self._fetch(key, version)
                    await asyncio.sleep(load_s / times.time_factor)
                    held[key] = version

    async def _fetch(self, name: str, version: str) -> None:
        """Get weights from the store, waiting as long as it refuses."""
        url = self._settings.weight_store_url
        if not url:
            return
        client = httpclient.AsyncHTTPClient()
        while True:
            response = await client.fetch(
                f"{url}/weights/{name}/{version}",
                request_timeout=_FETCH_TIMEOUT_S,
                raise_error=False,
            )
            if response.code == 200:
                return
            wait_s = float(response.headers.get("Retry-After", "1"))
            await asyncio.sleep(wait_s)


def _kept(held: dict[str, str], wanted: dict[str, str]) -> dict[str, str]:
    return {k: v for k, v in held.items() if wanted.get(k) == v}
