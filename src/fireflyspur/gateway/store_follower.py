"""Following of configuration and endpoints in the store."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from fireflyspur.errors import exceptions as base_exceptions
from fireflyspur.gateway import config_holder
from fireflyspur.gateway import endpoint_directory
from fireflyspur.gateway import exceptions
from fireflyspur.gateway import registry as registries
from fireflyspur.observability import logs

# A read of the configuration waits this long for a change. A connection
# that has gone silent is noticed after this time.
_CONFIG_WAIT_S = 1.0
_ENDPOINTS_INTERVAL_S = 0.8
_RETRY_S = 0.2

_log = logs.log_for("store")


class StoreFollower:
    """Keeps configuration and endpoints as new as the bounds ask.

    :param registry: the store
    :param holder: takes new configurations
    :param directory: takes new lists of endpoints
    """

    def __init__(
        self,
        registry: registries.Registry,
        holder: config_holder.ConfigHolder,
        directory: endpoint_directory.EndpointDirectory,
    ) -> None:
        self._registry = registry
        self._holder = holder
        self._directory = directory
        self._lost: set[str] = set()

    async def run(self) -> None:
        """Follow until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follow("config", self._read_config))
            group.create_task(self._follow("endpoints", self._read_endpoints))

    async def _follow(
        self, what: str, read: Callable[[], Awaitable[float]]
    ) -> None:
        while True:
            try:
                pause_s = await read()
                self._note_regained(what)
            except base_exceptions.FireflyspurError as error:
                self._note_lost(what, error)
                pause_s = _RETRY_S
            await asyncio.sleep(pause_s)

    async def _read_config(self) -> float:
        if self._holder.table is None:
            read = await self._registry.read_config()
        else:
            read = await self._registry.wait_config(_CONFIG_WAIT_S)
        if read.config is not None:
            self._holder.apply(read.config)
        self._holder.confirm(read.read_at_s)
        return _RETRY_S if self._holder.table is None else 0.0

    async def _read_endpoints(self) -> float:
        self._directory.replace(await self._registry.read_endpoints())
        return _ENDPOINTS_INTERVAL_S

    def _note_lost(
        self, what: str, error: base_exceptions.FireflyspurError
    ) -> None:
        if isinstance(error, exceptions.RecordInvalidError):
            _log.error("Record not used", what=what, reason=str(error))
        elif what not in self._lost:
            self._lost.add(what)
            _log.warning("Store lost", what=what, reason=str(error))

    def _note_regained(self, what: str) -> None:
        if what in self._lost:
            self._lost.remove(what)
            _log.info("Store regained", what=what)
