"""Following of configuration and endpoints in the store."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from fireflyspur.errors import exceptions as base_exceptions
from fireflyspur.gateway import config_holder
from fireflyspur.gateway import endpoint_directory
from fireflyspur.gateway import exceptions
from fireflyspur.gateway import fleet_link
from fireflyspur.gateway import reader_rank
from fireflyspur.gateway import registry as registries
from fireflyspur.observability import logs

# Longest wait of the reader for a new configuration, and as a share of the
# bound. A connection that has gone silent is noticed after this time.
CONFIG_WAIT_S = 1.0
_WAIT_SHARE = 0.5
# Shares of the bounds after which a node reads by itself, by which each next
# rank waits longer, and after which all have read. The wait of the reader of
# the configuration is over before the next rank's share is.
_ENDPOINTS_SHARE = 0.38
_CONFIG_SHARE = 0.55
_RANK_SHARE = 0.08
_LAST_SHARE = 0.75
# Versions that follow one another faster are read together.
_CHANGE_PAUSE_S = 0.15
# Pause after a failed call: several tries fit in the bounds.
_RETRY_S = 0.2

_log = logs.log_for("store")


class StoreFollower:
    """Keeps configuration and endpoints as new as the bounds ask.

    :param name: name of this node
    :param registry: the store
    :param link: the other nodes
    :param config_bound_s: time in which a configuration is in force
    :param endpoints_bound_s: time in which a leaving endpoint gets no work
    """

    def __init__(
        self,
        name: str,
        registry: registries.Registry,
        holder: config_holder.ConfigHolder,
        directory: endpoint_directory.EndpointDirectory,
        link: fleet_link.FleetLink,
        config_bound_s: float,
        endpoints_bound_s: float,
    ) -> None:
        self._name = name
        self._registry = registry
        self._holder = holder
        self._directory = directory
        self._link = link
        self._config_bound_s = config_bound_s
        self._endpoints_bound_s = endpoints_bound_s
        self._lost: set[str] = set()
        self._is_config_read = False
        self._sought_version = 0
        self._woken = {
            what: asyncio.Event() for what in ("config", "endpoints")
        }
        link.on_behind(self._wake)

    def set_bounds(
        self, config_bound_s: float, endpoints_bound_s: float
    ) -> None:
        """Put other bounds into force."""
        self._config_bound_s = config_bound_s
        self._endpoints_bound_s = endpoints_bound_s

    async def run(self) -> None:
        """Follow until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follow("config", self._follow_config))
            group.create_task(
                self._follow("endpoints", self._follow_endpoints)
            )

    async def _follow(
        self, what: str, read: Callable[[], Awaitable[None]]
    ) -> None:
        while True:
            try:
                await read()
            except base_exceptions.FireflyspurError as error:
                self._note_lost(what, error)
                await asyncio.sleep(_RETRY_S)

    async def _follow_config(self) -> None:
        if not self._is_config_read:
            self._take_config(await self._registry.read_config())
        elif self._is_config_behind():
            self._sought_version = self._link.announced_version
            self._take_config(await self._registry.wait_config(0))
            await asyncio.sleep(_CHANGE_PAUSE_S)
        elif self._holder.table is None or self._rank("config") == 0:
            wait_s = min(CONFIG_WAIT_S, _WAIT_SHARE * self._config_bound_s)
            read = await self._registry.wait_config(wait_s)
            self._take_config(read)
            if read.config is not None:
                await asyncio.sleep(_CHANGE_PAUSE_S)
        elif (left_s := self._left_s("config")) > 0:
            await self._pause("config", left_s)
        else:
            self._take_config(await self._registry.wait_config(0))

    async def _follow_endpoints(self) -> None:
        left_s = self._left_s("endpoints")
        if left_s > 0 and not self._link.sync.is_behind:
            await self._pause("endpoints", left_s)
            return
        read = await self._registry.read_endpoints()
        self._link.announce_endpoints(self._link.sync.update_from_store(read))
        self._note_regained("endpoints")

    def _take_config(self, read: registries.ConfigRead) -> None:
        self._is_config_read = True
        if read.config is not None:
            self._holder.apply(read.config)
        self._holder.confirm(read.read_at_s)
        self._note_regained("config")
        if self._holder.table is not None:
            self._link.announce_config()

    def _left_s(self, what: str) -> float:
        """Return the time until this node must read by itself."""
        later = _RANK_SHARE * self._rank(what)
        if what == "config":
            share = min(_CONFIG_SHARE + later, _LAST_SHARE)
            return share * self._config_bound_s - self._holder.age_s()
        share = min(_ENDPOINTS_SHARE + later, _LAST_SHARE)
        return share * self._endpoints_bound_s - self._directory.age_s()

    def _is_config_behind(self) -> bool:
        told = self._link.announced_version
        return told > max(self._holder.version, self._sought_version)

    def _wake(self) -> None:
        for event in self._woken.values():
            event.set()

    async def _pause(self, what: str, seconds: float) -> None:
        """Sleep until others know more, or the time is over."""
        self._woken[what].clear()
        try:
            async with asyncio.timeout(seconds):
                await self._woken[what].wait()
        except TimeoutError:
            return

    def _rank(self, what: str) -> int:
        live = self._link.peers.live_names()
        return reader_rank.rank_of(self._name, live, what)

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
