"""Reading of the configuration and the endpoints from the store."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import random

from fireflyspur.errors import exceptions as base_exceptions
from fireflyspur.gateway.common import clock
from fireflyspur.gateway.common import exceptions
from fireflyspur.gateway.common import registry as registries
from fireflyspur.gateway.configuration import config_holder
from fireflyspur.gateway.configuration import reader_rank
from fireflyspur.gateway.endpoints import endpoint_directory
from fireflyspur.gateway.fleet import fleet_link
from fireflyspur.gateway.node import suspension
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
# The first nodes of all further pools have the same rank.
_MAX_POOL_RANK = 2
# Maximum delay between the announcement of changes by another node and their
# read.
_CATCH_UP_SHARE = 0.05
# Versions that follow one another within this time are read together.
_CHANGE_PAUSE_S = 0.15
# After a suspension, a request waits this long for a read of the store.
_RESUME_WAIT_S = 0.5
# Pause after a failed call, which allows several attempts within the bounds.
_RETRY_S = 0.2

_TOPICS = ("config", "endpoints")

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
    :param detector: tells when this process was suspended
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
        detector: suspension.SuspensionDetector,
        config_bound_s: float,
        endpoints_bound_s: float,
    ) -> None:
        self._name = name
        self._registry = registry
        self._holder = holder
        self._directory = directory
        self._link = link
        self._detector = detector
        self._config_bound_s = config_bound_s
        self._endpoints_bound_s = endpoints_bound_s
        self._failing: set[str] = set()
        self._is_config_read = False
        self._requested_version = 0
        # When the latest read of each topic started that has ended.
        self._attempted_at_s = dict.fromkeys(_TOPICS, 0.0)
        self._attempt_ended = asyncio.Event()
        self._wake_events = {topic: asyncio.Event() for topic in _TOPICS}
        link.on_behind(self._wake)

    def set_bounds(
        self, config_bound_s: float, endpoints_bound_s: float
    ) -> None:
        """Set other bounds."""
        self._config_bound_s = config_bound_s
        self._endpoints_bound_s = endpoints_bound_s

    async def wait_until_current(self) -> None:
        """Wait for reads of the store if this process was suspended.

        What was withdrawn meanwhile must not be used. The wait is short and
        ends also when the store does not respond, as the last configuration
        stays in force during an outage.
        """
        resumed_at_s = self._detector.resumed_at_s()
        if resumed_at_s is None or not self._is_outdated(resumed_at_s):
            return
        self._wake()
        try:
            async with asyncio.timeout(_RESUME_WAIT_S):
                while self._is_outdated(resumed_at_s):
                    self._attempt_ended.clear()
                    await self._attempt_ended.wait()
        except TimeoutError:
            _log.warning(
                "Not current after suspension",
                config_age_s=round(self._holder.age_s(), 1),
                endpoints_age_s=round(self._directory.age_s(), 1),
            )

    async def read_evacuations(self) -> None:
        """Read the operators' records now.

        :raises StoreUnavailableError: if the store does not respond
        """
        self._apply_config(await self._registry.wait_config(0))

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
            started_at_s = clock.now_s()
            try:
                await read()
            except base_exceptions.FireflyspurError as error:
                self._log_failure(topic, error)
                self._record_attempt(topic, started_at_s)
                await asyncio.sleep(_RETRY_S)
            else:
                self._record_attempt(topic, started_at_s)

    def _record_attempt(self, topic: str, started_at_s: float) -> None:
        self._attempted_at_s[topic] = started_at_s
        self._attempt_ended.set()

    def _is_outdated(self, resumed_at_s: float) -> bool:
        """Return whether a topic is too old and not read since a time."""
        ages_s = {
            "config": self._holder.age_s() - self._config_bound_s,
            "endpoints": self._directory.age_s() - self._endpoints_bound_s,
        }
        return any(
            beyond_s > 0 and self._attempted_at_s[topic] < resumed_at_s
            for topic, beyond_s in ages_s.items()
        )

    async def _follow_config(self) -> None:
        if not self._is_config_read:
            self._apply_config(await self._registry.read_config())
        elif self._is_config_behind():
            # All nodes have received the announcement of this version.
            announced = self._link.announced_version
            read = await self._registry.wait_config(0)
            # Asked for only now, as a call that failed has found nothing.
            self._requested_version = announced
            self._apply_config(read)
            self._log_missing(read)
            await asyncio.sleep(_CHANGE_PAUSE_S)
        elif self._holder.table is None or self._rank("config") == 0:
            wait_s = min(
                CONFIG_WAIT_S,
                _WAIT_SHARE * self._config_bound_s,
                self._link.evacuations.wait_s(),
            )
            read = await self._registry.wait_config(wait_s)
            self._apply_config(read)
            self._announce_config()
            if read.config is not None or read.position < read.end:
                await asyncio.sleep(_CHANGE_PAUSE_S)
        elif (remaining_s := self._remaining_s("config")) > 0:
            await self._pause("config", remaining_s)
        else:
            self._apply_config(await self._registry.wait_config(0))
            self._announce_config()

    async def _follow_endpoints(self) -> None:
        remaining_s = self._remaining_s("endpoints")
        is_due = remaining_s <= 0
        if not is_due and not self._link.sync.is_behind:
            await self._pause("endpoints", remaining_s)
            return
        if not is_due:
            # Further changes that follow at once are read together.
            delay_s = _CATCH_UP_SHARE * self._endpoints_bound_s
            await asyncio.sleep(random.uniform(0, delay_s))
        is_first = not self._directory.is_read
        read = await self._registry.read_endpoints()
        seen = self._link.sync.update_from_store(read)
        # Changes that this node catches up with have been announced already.
        if is_due and not is_first:
            self._link.announce_endpoints(seen)
        self._log_recovery("endpoints")

    def _apply_config(self, read: registries.ConfigRead) -> None:
        """Apply what was read.

        :raises RecordInvalidError: if the configuration cannot be used
        """
        # First of all, as requests may be sent as soon as there are routes.
        self._apply_evacuations(read)
        if read.error is not None:
            raise read.error
        self._is_config_read = True
        if read.config is not None:
            self._holder.apply(read.config)
        self._holder.confirm(read.read_at_s)
        self._log_recovery("config")

    def _apply_evacuations(self, read: registries.ConfigRead) -> None:
        if read.evacuations is None:
            return
        if self._link.evacuations.update_from_store(
            read.evacuations, read.read_at_s
        ):
            self._link.announce_evacuations()

    def _announce_config(self) -> None:
        if self._holder.table is not None:
            self._link.announce_config()
            self._link.announce_evacuations()

    def _remaining_s(self, topic: str) -> float:
        """Return the time until this node must read the store itself."""
        delay = _RANK_SHARE * self._rank(topic)
        if topic == "config":
            share = min(_CONFIG_SHARE + delay, _LAST_SHARE)
            return min(
                share * self._config_bound_s - self._holder.age_s(),
                self._link.evacuations.remaining_s(self._rank(topic)),
            )
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
        """Return the rank of this node among the readers of a topic.

        The first node of the first pool reads for all. The first ones of
        other pools stand in for it before the other nodes of its pool do.
        """
        peers = self._link.peers
        rank = reader_rank.rank_of(self._name, peers.live_names(), topic)
        own, *others = (str(p) for p in (peers.pools.own, *peers.pools.others))
        pool_rank = reader_rank.rank_of(own, [own, *others], topic)
        return rank + min(pool_rank, _MAX_POOL_RANK)

    def _log_failure(
        self, topic: str, error: base_exceptions.FireflyspurError
    ) -> None:
        if isinstance(error, exceptions.RecordInvalidError):
            _log.error("Record not used", what=topic, reason=str(error))
        elif topic not in self._failing:
            self._failing.add(topic)
            _log.warning("Store lost", what=topic, reason=str(error))

    def _log_missing(self, read: registries.ConfigRead) -> None:
        if self._holder.version < self._requested_version:
            _log.warning(
                "Announced version not found",
                version=self._holder.version,
                announced=self._requested_version,
                position=read.position,
                end=read.end,
            )

    def _log_recovery(self, topic: str) -> None:
        if topic in self._failing:
            self._failing.remove(topic)
            _log.info("Store regained", what=topic)
