"""Reading of the configuration and the endpoints from the store."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable

from fireflyspur.errors import exceptions as base_exceptions
from fireflyspur.gateway.common import clock
from fireflyspur.gateway.common import exceptions
from fireflyspur.gateway.common import registry as registries
from fireflyspur.gateway.configuration import config_holder
from fireflyspur.gateway.configuration import read_schedule
from fireflyspur.gateway.configuration import read_turns
from fireflyspur.gateway.configuration import routing_config
from fireflyspur.gateway.endpoints import endpoint_directory
from fireflyspur.gateway.fleet import fleet_link
from fireflyspur.gateway.node import suspension
from fireflyspur.observability import logs

# Maximum time that a call waits in the store for a new configuration, in
# seconds and as a share of the bound. A connection that no longer responds is
# noticed after this time.
CONFIG_WAIT_S = 1.0
_WAIT_SHARE = 0.5
# Maximum delay between the announcement of changes by another node and their
# read, as a share of the bound that is left, and after an outage.
_CATCH_UP_SHARE = 0.5
_OUTAGE_CATCH_UP_S = 1.0
# Share of the bound until which a node that lacks changes of endpoints waits
# for the next update of the reader. If it read at once while more changes
# follow, its list would differ from those of all others, who would read too.
_ENDPOINTS_CATCH_UP_SHARE = 0.5
# Versions that follow one another within this time are read together.
_CHANGE_PAUSE_S = 0.15
# After a suspension, a request waits this long for a read of the store.
_RESUME_WAIT_S = 0.5
# Pause after a record that cannot be used.
_INVALID_PAUSE_S = 0.2
# Interval at which a wait for an attempt is reconsidered, as other nodes may
# have become silent.
_REVIEW_S = 0.1

_log = logs.log_for("store")

VersionObserver = Callable[[float, float], None]


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
    :param schedule: spreads the calls during outages
    :param config_bound_s: time within which a new configuration is applied
    :param endpoints_bound_s: time after which a leaving endpoint no longer
        gets requests
    :param observe_version: called with each version after the first that
        comes into force: the age of the version before it, which exceeds the
        time since the publication, and the time since this node heard of it,
        both in seconds
    """

    def __init__(
        self,
        name: str,
        registry: registries.Registry,
        holder: config_holder.ConfigHolder,
        directory: endpoint_directory.EndpointDirectory,
        link: fleet_link.FleetLink,
        detector: suspension.SuspensionDetector,
        schedule: read_schedule.ReadSchedule,
        config_bound_s: float,
        endpoints_bound_s: float,
        observe_version: VersionObserver = lambda delay_s, catch_up_s: None,
    ) -> None:
        self._registry = registry
        self._holder = holder
        self._directory = directory
        self._link = link
        self._detector = detector
        self._schedule = schedule
        self._turns = read_turns.ReadTurns(
            name,
            holder,
            directory,
            link.peers,
            link.evacuations,
            schedule,
            config_bound_s,
            endpoints_bound_s,
        )
        self._observe_version = observe_version
        self._failing: dict[str, float] = {}
        self._is_config_read = False
        # Announced versions that were not found: those that are not asked for
        # any more, and those that have been logged.
        self._abandoned_version = 0
        self._missing_version = 0
        # When the latest read of each topic started that has ended.
        self._attempted_at_s = dict.fromkeys(read_turns.TOPICS, 0.0)
        self._attempt_ended = asyncio.Event()
        self._wake_events = {
            topic: asyncio.Event() for topic in read_turns.TOPICS
        }
        link.on_behind(self._wake)

    def set_bounds(
        self, config_bound_s: float, endpoints_bound_s: float
    ) -> None:
        """Set other bounds."""
        self._turns.set_bounds(config_bound_s, endpoints_bound_s)

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
            pause_s = self._pause_s(topic)
            if pause_s > 0:
                await self._pause(topic, pause_s)
                continue
            started_at_s = clock.now_s()
            try:
                await read()
            except exceptions.RecordInvalidError as error:
                # The store has answered.
                _log.error("Record not used", what=topic, reason=str(error))
                self._record_attempt(topic, started_at_s)
                if not self._was_suspended_since(started_at_s):
                    await asyncio.sleep(_INVALID_PAUSE_S)
            except base_exceptions.FireflyspurError as error:
                self._record_failure(topic, started_at_s, error)
            else:
                self._record_attempt(topic, started_at_s)

    def _record_failure(
        self,
        topic: str,
        started_at_s: float,
        error: base_exceptions.FireflyspurError,
    ) -> None:
        """Record a call that failed, and draw the wait for the next one."""
        is_own = self._must_read(topic) or self._is_first_retry_due(topic)
        self._record_attempt(topic, started_at_s)
        if not self._was_suspended_since(started_at_s):
            self._schedule.record_failure(
                topic, self._link.peers.connected_nodes(), is_own=is_own
            )
        # Otherwise the call failed here, and says nothing of the store.
        self._log_failure(topic, error, is_own=is_own)

    def _is_first_retry_due(self, topic: str) -> bool:
        """Return whether the reader for all calls again soon, but once.

        Its call may have been lost alone, while the others wait for it.
        """
        return (
            not self._schedule.failures(topic) and self._turns.rank(topic) == 0
        )

    def _record_attempt(self, topic: str, started_at_s: float) -> None:
        self._attempted_at_s[topic] = started_at_s
        self._attempt_ended.set()

    def _is_outdated(self, resumed_at_s: float) -> bool:
        """Return whether a topic is too old and not read since a time."""
        return any(
            self._is_topic_outdated(topic, resumed_at_s)
            for topic in read_turns.TOPICS
        )

    def _is_topic_outdated(self, topic: str, resumed_at_s: float) -> bool:
        is_old = self._turns.age_s(topic) > self._turns.bound_s(topic)
        return is_old and self._attempted_at_s[topic] < resumed_at_s

    def _was_suspended_since(self, started_at_s: float) -> bool:
        resumed_at_s = self._detector.resumed_at_s()
        return resumed_at_s is not None and started_at_s < resumed_at_s

    def _pause_s(self, topic: str) -> float:
        """Return the time until this node calls the store, or 0 for now."""
        wait_s = self._wait_s(topic)
        if wait_s > 0:
            return min(wait_s, _REVIEW_S)
        if topic == "config":
            if not self._is_config_read or self._is_config_behind():
                return 0.0
            if self._holder.table is None or self._turns.rank("config") == 0:
                return 0.0
            return self._turns.remaining_s("config")
        remaining_s = self._turns.remaining_s("endpoints")
        if self._must_read("endpoints"):
            return 0.0
        if self._link.sync.is_behind:
            return min(remaining_s, _REVIEW_S)
        return remaining_s

    async def _follow_config(self) -> None:
        if not self._is_config_read:
            self._apply_config(await self._registry.read_config())
        elif self._is_config_behind():
            # All nodes have received the announcement of this version.
            self._apply_config(await self._registry.wait_config(0))
            await asyncio.sleep(_CHANGE_PAUSE_S)
        elif self._holder.table is None or self._turns.rank("config") == 0:
            wait_s = min(
                CONFIG_WAIT_S,
                _WAIT_SHARE * self._turns.bound_s("config"),
                self._link.evacuations.wait_s(),
            )
            read = await self._registry.wait_config(wait_s)
            self._apply_config(read, is_for_all=True)
            if read.config is not None or read.position < read.end:
                await asyncio.sleep(_CHANGE_PAUSE_S)
        else:
            read = await self._registry.wait_config(0)
            self._apply_config(read, is_for_all=True)

    async def _follow_endpoints(self) -> None:
        is_due = self._turns.remaining_s("endpoints") <= 0
        is_first = not self._directory.is_read
        read = await self._registry.read_endpoints()
        before_s = self._turns.read_at_s("endpoints")
        is_late = self._turns.is_late("endpoints")
        seen = self._link.sync.update_from_store(read)
        # Changes that this node catches up with have been announced already.
        if is_due and not is_first:
            self._schedule.record_read_for_all(
                "endpoints",
                before_s,
                self._turns.read_at_s("endpoints"),
                is_late=is_late,
            )
            self._link.announce_endpoints(seen)
        self._record_success("endpoints")

    def _apply_config(
        self, read: registries.ConfigRead, is_for_all: bool = False
    ) -> None:
        """Apply what was read.

        :param is_for_all: whether it is announced to the other nodes
        :raises RecordInvalidError: if the configuration cannot be used
        """
        before_s = self._turns.read_at_s("config")
        is_late = self._turns.is_late("config")
        # First of all, as requests may be sent as soon as there are routes.
        self._apply_evacuations(read)
        if read.config is not None:
            self._apply_version(read.config)
        if read.error is not None:
            raise read.error
        self._is_config_read = True
        if self._is_config_behind():
            self._handle_missing(read)
            return
        self._holder.confirm(read.read_at_s)
        self._record_success("config")
        if is_for_all:
            self._schedule.record_read_for_all(
                "config",
                before_s,
                self._turns.read_at_s("config"),
                is_late=is_late,
            )
            self._announce_config()

    def _handle_missing(self, read: registries.ConfigRead) -> None:
        """Handle a read that lacks a version which another node has read.

        It does not confirm the version in force. A version that is not found
        within the bound is not asked for any more: the store may have been
        restored, or this build can't decode it.
        """
        versions = self._link.versions
        if versions.behind_s() >= self._turns.bound_s("config"):
            self._abandoned_version = versions.announced
        if versions.announced > self._missing_version:
            self._missing_version = versions.announced
            _log.warning(
                "Announced version not found",
                version=self._holder.version,
                announced=versions.announced,
                position=read.position,
                end=read.end,
            )
        self._schedule.record_failure(
            "config", self._link.peers.connected_nodes(), is_own=True
        )

    def _apply_version(self, config: routing_config.RoutingConfig) -> None:
        is_first = self._holder.table is None
        delay_s = self._holder.age_s()
        catch_up_s = self._link.versions.behind_s()
        if self._holder.apply(config) and not is_first:
            self._observe_version(delay_s, catch_up_s)

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

    def _wait_s(self, topic: str) -> float:
        """Return the time for which this node must not call the store."""
        nodes = self._link.peers.connected_nodes()
        if self._must_read(topic):
            return self._schedule.own_wait_s(
                topic, nodes, self._longest_catch_up_s(topic)
            )
        return self._schedule.shared_wait_s(
            topic,
            nodes,
            self._turns.read_at_s(topic),
            is_late=self._turns.is_late(topic),
            has_turn=self._turns.has_turn(topic),
        )

    def _must_read(self, topic: str) -> bool:
        """Return whether no read of another node helps this one."""
        if self._turns.age_s(topic) == float("inf") or self._is_behind(topic):
            return True
        if topic == "config" and (
            self._holder.table is None or self._lacks_evacuations()
        ):
            return True
        resumed_at_s = self._detector.resumed_at_s()
        return resumed_at_s is not None and self._is_topic_outdated(
            topic, resumed_at_s
        )

    def _lacks_evacuations(self) -> bool:
        """Return whether other nodes confirm no more than the version.

        Those of an older build know nothing of evacuations.
        """
        remaining_s = self._link.evacuations.remaining_s(
            self._turns.rank("config")
        )
        return remaining_s <= 0 and not self._turns.is_late("config")

    def _is_behind(self, topic: str) -> bool:
        """Return whether another node has announced newer data."""
        if topic == "config":
            return self._is_config_behind()
        share = self._turns.age_s(topic) / self._turns.bound_s(topic)
        return self._link.sync.is_behind and share > _ENDPOINTS_CATCH_UP_SHARE

    def _longest_catch_up_s(self, topic: str) -> float:
        """Return the greatest delay before a read that no other replaces.

        What was announced was published after the newest data that this node
        has.
        """
        age_s = self._turns.age_s(topic)
        if age_s == float("inf") or not self._is_behind(topic):
            return 0.0
        left_s = self._turns.bound_s(topic) - age_s
        return _CATCH_UP_SHARE * left_s if left_s > 0 else _OUTAGE_CATCH_UP_S

    def _is_config_behind(self) -> bool:
        announced = self._link.versions.announced
        return announced > max(self._holder.version, self._abandoned_version)

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

    def _log_failure(
        self,
        topic: str,
        error: base_exceptions.FireflyspurError,
        *,
        is_own: bool,
    ) -> None:
        """Log the first failure, and each one while this node must read."""
        is_first = topic not in self._failing
        self._failing.setdefault(topic, clock.now_s())
        if is_first or is_own:
            _log.warning(
                "Store lost" if is_first else "Store still lost",
                what=topic,
                reason=str(error),
                age_s=round(self._turns.age_s(topic), 1),
                nodes=self._link.peers.connected_nodes(),
                is_own=is_own,
                failures=self._schedule.failures(topic),
                retry_s=round(self._schedule.retry_wait_s(topic), 2),
                version=self._holder.version,
                announced=self._link.versions.announced,
            )

    def _record_success(self, topic: str) -> None:
        failures = self._schedule.failures(topic)
        self._schedule.record_success(topic)
        failed_at_s = self._failing.pop(topic, None)
        if failed_at_s is not None:
            _log.info(
                "Store regained",
                what=topic,
                lost_s=round(clock.now_s() - failed_at_s, 1),
                failures=failures,
            )
