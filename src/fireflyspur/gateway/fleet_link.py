"""What a node tells the other nodes and learns from them."""

import asyncio
from collections.abc import Callable

from fireflyspur.errors import exceptions as base_exceptions
from fireflyspur.gateway import address as addresses
from fireflyspur.gateway import clock
from fireflyspur.gateway import config_holder
from fireflyspur.gateway import endpoint_directory
from fireflyspur.gateway import endpoint_sync
from fireflyspur.gateway import in_flight_reporter
from fireflyspur.gateway import in_flight_table
from fireflyspur.gateway import peer_table
from fireflyspur.gateway import quarantine
from fireflyspur.gateway import registry as registries
from fireflyspur.gateway import update_channel
from fireflyspur.generated import fleet_news_pb2 as fleet_news
from fireflyspur.observability import logs

# Interval of beacons. A node is taken for silent after three of them.
_HEARTBEAT_S = 1.0
# Pause after a failed registration: two calls a second while the store fails.
_REGISTER_RETRY_S = 0.5

_log = logs.log_for("peers")


class FleetLink:
    """Joins the other nodes and exchanges news with them.

    :param name: name of this node
    :param address: where it receives datagrams
    :param registry: where nodes find one another
    """

    def __init__(
        self,
        name: str,
        address: addresses.Address,
        registry: registries.Registry,
        holder: config_holder.ConfigHolder,
        directory: endpoint_directory.EndpointDirectory,
        book: in_flight_table.InFlightTable,
    ) -> None:
        self._name = name
        self._address = address
        self._registry = registry
        self._holder = holder
        self._directory = directory
        self._book = book
        self._peers = peer_table.PeerTable(name)
        self._channel = update_channel.UpdateChannel(
            name, address, self._peers, self._receive
        )
        self._sync = endpoint_sync.EndpointSync(directory)
        self._in_flight = in_flight_reporter.InFlightReporter(
            name, book, self._channel
        )
        self._crashes = quarantine.Quarantine(self._announce_crash)
        self._told_version = 0
        self._is_stopping = False
        self._wake: Callable[[], None] = lambda: None

    @property
    def peers(self) -> peer_table.PeerTable:
        """The other nodes."""
        return self._peers

    @property
    def in_flight(self) -> in_flight_reporter.InFlightReporter:
        """Enters requests and tells the other nodes."""
        return self._in_flight

    @property
    def crashes(self) -> quarantine.Quarantine:
        """Requests that crash endpoints."""
        return self._crashes

    @property
    def channel(self) -> update_channel.UpdateChannel:
        """Sends news to the other nodes."""
        return self._channel

    @property
    def sync(self) -> endpoint_sync.EndpointSync:
        """The exchange of endpoints."""
        return self._sync

    @property
    def announced_version(self) -> int:
        """Newest version of the configuration that any node has seen."""
        return self._told_version

    def on_behind(self, wake: Callable[[], None]) -> None:
        """Set what is called when others know more than this node."""
        self._wake = wake

    def close(self) -> None:
        """Stop receiving."""
        self._channel.close()

    async def run(self) -> None:
        """Register and send beacons until cancelled."""
        await self._channel.open()
        async with asyncio.TaskGroup() as group:
            group.create_task(self._register())
            group.create_task(self._send_heartbeats())

    def announce_config(self) -> None:
        """Tell that the configuration in force is the newest."""
        self._channel.draft.config.CopyFrom(self._config_seen())

    def announce_endpoints(self, seen: fleet_news.EndpointsSeen) -> None:
        """Tell what the newest list of endpoints changes."""
        self._channel.draft.endpoints.CopyFrom(seen)

    def announce_stopping(self) -> None:
        """Tell that this node is about to stop."""
        self._is_stopping = True
        self._send_heartbeat()

    async def _register(self) -> None:
        while True:
            try:
                await self._registry.register_node(self._name, self._address)
                nodes = await self._registry.read_nodes()
                break
            except base_exceptions.FireflyspurError as error:
                _log.warning("Node not registered", reason=str(error))
                await asyncio.sleep(_REGISTER_RETRY_S)
        for name, address in nodes.items():
            self._peers.set_address(name, address)
        _log.info("Node registered", nodes=len(nodes))
        self._channel.draft.wants_answer = True
        self._send_heartbeat()

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(_HEARTBEAT_S)
            self._book.expire(clock.now_s())
            self._peers.log_silent_peers()
            self._send_heartbeat()

    def _send_heartbeat(self) -> None:
        draft = self._channel.draft
        draft.is_stopping = self._is_stopping
        self._describe(draft)
        self._channel.flush()

    def _describe(self, news: fleet_news.FleetNews) -> None:
        if self._holder.table is not None and not news.HasField("config"):
            news.config.CopyFrom(self._config_seen())
        seen = self._sync.describe()
        if seen is not None and not news.HasField("endpoints"):
            news.endpoints.CopyFrom(seen)

    def _config_seen(self) -> fleet_news.ConfigSeen:
        age_ms = min(self._holder.age_s() * 1000, 2**32 - 1)
        return fleet_news.ConfigSeen(
            version=self._holder.version, age_ms=round(age_ms)
        )

    def _announce_crash(self, fingerprint: str, instance: str) -> None:
        crash = fleet_news.RequestCrash(
            fingerprint=fingerprint, instance=instance
        )
        self._channel.draft.crashes.append(crash)

    def _receive(
        self, news: fleet_news.FleetNews, heard: peer_table.Contact
    ) -> None:
        self._take_crashes(news)
        self._take_reports(news)
        if heard.is_stale:
            # The order of works and of ages matters.
            return
        self._in_flight.apply_update(news, heard.is_restarted)
        if news.HasField("config"):
            self._take_config(news.config)
        if news.HasField("endpoints"):
            self._sync.update_from_peer(news.endpoints)
            if self._sync.is_behind:
                self._wake()
        if news.wants_answer or heard.is_new:
            answer = fleet_news.FleetNews()
            self._describe(answer)
            for peer in self._peers.recipients():
                if peer.name == news.node:
                    self._channel.send_to(answer, peer.address)

    def _take_config(self, seen: fleet_news.ConfigSeen) -> None:
        if seen.version == self._holder.version:
            self._holder.confirm(clock.now_s() - seen.age_ms / 1000)
        elif seen.version > max(self._holder.version, self._told_version):
            self._told_version = seen.version
            self._wake()

    def _take_crashes(self, news: fleet_news.FleetNews) -> None:
        for crash in news.crashes:
            self._crashes.add(crash.fingerprint, crash.instance)

    def _take_reports(self, news: fleet_news.FleetNews) -> None:
        for report in news.reports:
            reason = f"told by {news.node}"
            match report.event:
                case fleet_news.LEFT:
                    self._directory.mark_leaving(report.instance, reason)
                case fleet_news.FAILED:
                    self._directory.record_fault(report.instance, reason)
