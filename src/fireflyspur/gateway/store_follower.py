"""Reading of the configuration and the endpoints from the store."""

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

# Maximum time that a call waits in the store for a new configuration, in
# seconds and as a share of the bound. A connection that no longer responds is
# noticed after this time.
CONFIG_WAIT_S = 1.0
_WAIT_SHARE = 0.5
# Shares of the bounds: the age of the data at which a node reads the store
# itself, the additional age for each rank, and the age at which every node
# reads. The wait for a configuration ends before the share of the next rank.
_ENDPOINTS_SHARE = 0.38
_CONFIG_SHARE = 0.55
_RANK_SHARE = 0.08
_LAST_SHARE = 0.75
# Versions that follow one another within this time are read together.
_CHANGE_PAUSE_S = 0.15
# Pause after a failed call, which allows several attempts within the bounds.
_RETRY_S = 0.2

_log = logs.log_for("store")


class StoreFollower:
    """Keeps the configuration and the endpoints within their maximum age.

    Only one node reads a topic while the others are up to date through its
    updates.

    :param name: name of this node
    :param registry: registry in the store
    :param holder: is updated with each configuration
    :param directory: endpoints that this node knows
    :param link: exchanges updates with the other nodes
    :param config_bound_s: time within which a new configuration is applied
    :param endpoints_bound_s: time after which a leaving endpoint no longer
        gets requests
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
        self._failing: set[str] = set()
        self._is_config_read = False
        self._requested_version = 0
        self._wake_events = {
            topic: asyncio.Event() for topic in ("config", "endpoints")
        }
        link.on_behind(self._wake)

    def set_bounds(
        self, config_bound_s: float, endpoints_bound_s: float
    ) -> None:
        """Set other bounds."""
        self._config_bound_s = config_bound_s
        self._endpoints_bound_s = endpoints_bound_s

    async def run(self) -> None:
        """Read the store when needed until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follow("config", self._follow_config))
            group.create_task(
                self._follow("endpoints", self._follow_endpoints)
            )

    async def _follow(
        self, topic: str, read: Callable[[], Awaitable[None]]
    ) -> None:
        while True:
            try:
                await read()
            except base_exceptions.FireflyspurError as error:
                self._log_failure(topic, error)
                await asyncio.sleep(_RETRY_S)

    async def _follow_config(self) -> None:
        if not self._is_config_read:
            self._apply_config(await self._registry.read_config())
        elif self._is_config_behind():
            self._requested_version = self._link.announced_version
            self._apply_config(await self._registry.wait_config(0))
            await asyncio.sleep(_CHANGE_PAUSE_S)
        elif self._holder.table is None or self._rank("config") == 0:
            wait_s = min(CONFIG_WAIT_S, _WAIT_SHARE * self._config_bound_s)
            read = await self._registry.wait_config(wait_s)
            self._apply_config(read)
            if read.config is not None:
                await asyncio.sleep(_CHANGE_PAUSE_S)
        elif (remaining_s := self._remaining_s("config")) > 0:
            await self._pause("config", remaining_s)
        else:
            self._apply_config(await self._registry.wait_config(0))

    async def _follow_endpoints(self) -> None:
        remaining_s = self._remaining_s("endpoints")
        if remaining_s > 0 and not self._link.sync.is_behind:
            await self._pause("endpoints", remaining_s)
            return
        read = await self._registry.read_endpoints()
        self._link.announce_endpoints(self._link.sync.update_from_store(read))
        self._log_recovery("endpoints")

    def _apply_config(self, read: registries.ConfigRead) -> None:
        self._is_config_read = True
        if read.config is not None:
            self._holder.apply(read.config)
        self._holder.confirm(read.read_at_s)
        self._log_recovery("config")
        if self._holder.table is not None:
            self._link.announce_config()

    def _remaining_s(self, topic: str) -> float:
        """Return the time until this node must read the store itself."""
        delay = _RANK_SHARE * self._rank(topic)
        if topic == "config":
            share = min(_CONFIG_SHARE + delay, _LAST_SHARE)
            return share * self._config_bound_s - self._holder.age_s()
        share = min(_ENDPOINTS_SHARE + delay, _LAST_SHARE)
        return share * self._endpoints_bound_s - self._directory.age_s()

    def _is_config_behind(self) -> bool:
        announced = self._link.announced_version
        return announced > max(self._holder.version, self._requested_version)

    def _wake(self) -> None:
        for event in self._wake_events.values():
            event.set()

    async def _pause(self, topic: str, seconds: float) -> None:
        """Sleep until another node has newer data, or for a given time."""
        self._wake_events[topic].clear()
        try:
            async with asyncio.timeout(seconds):
                await self._wake_events[topic].wait()
        except TimeoutError:
            return

    def _rank(self, topic: str) -> int:
        live = self._link.peers.live_names()
        return reader_rank.rank_of(self._name, live, topic)

    def _log_failure(
        self, topic: str, error: base_exceptions.FireflyspurError
    ) -> None:
        if isinstance(error, exceptions.RecordInvalidError):
            _log.error("Record not used", what=topic, reason=str(error))
        elif topic not in self._failing:
            self._failing.add(topic)
            _log.warning("Store lost", what=topic, reason=str(error))

    def _log_recovery(self, topic: str) -> None:
        if topic in self._failing:
            self._failing.remove(topic)
            _log.info("Store regained", what=topic)
