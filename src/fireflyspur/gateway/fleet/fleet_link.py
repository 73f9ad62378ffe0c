"""Exchange of updates with the other nodes of the gateway."""

import asyncio
from collections.abc import Callable

from fireflyspur.gateway.common import address as addresses
from fireflyspur.gateway.common import clock
from fireflyspur.gateway.common import registry as registries
from fireflyspur.gateway.configuration import config_holder
from fireflyspur.gateway.configuration import evacuation_sync
from fireflyspur.gateway.configuration import evacuations
from fireflyspur.gateway.configuration import read_schedule
from fireflyspur.gateway.configuration import reader_rank
from fireflyspur.gateway.configuration import version_watch
from fireflyspur.gateway.endpoints import cold_ceiling
from fireflyspur.gateway.endpoints import endpoint as endpoints
from fireflyspur.gateway.endpoints import endpoint_directory
from fireflyspur.gateway.endpoints import endpoint_notices
from fireflyspur.gateway.endpoints import endpoint_sync
from fireflyspur.gateway.endpoints import part_quarantine
from fireflyspur.gateway.endpoints import quarantine
from fireflyspur.gateway.endpoints import rate_limits
from fireflyspur.gateway.fleet import endpoint_pacing
from fireflyspur.gateway.fleet import node_registration
from fireflyspur.gateway.fleet import peer_table
from fireflyspur.gateway.fleet import update_channel
from fireflyspur.gateway.node import suspension
from fireflyspur.gateway.scheduling import engine_candidates
from fireflyspur.gateway.scheduling import in_flight_reporter
from fireflyspur.gateway.scheduling import in_flight_table
from fireflyspur.gateway.scheduling import pool_load_report
from fireflyspur.gateway.scheduling import pool_load_reporter
from fireflyspur.gateway.scheduling import pool_loads
from fireflyspur.generated import peer_updates_pb2 as peer_updates

# A node counts as silent after three missed heartbeats.
HEARTBEAT_S = 1.0
# After a suspension, datagrams that arrived meanwhile are handled within this
# time.
_RESUME_S = 1.0

# Greatest age that an update can hold.
_MAX_AGE_MS = 2**32 - 1


class FleetLink:
    """Registers this node and exchanges updates with the other nodes.

    :param name: name of this node
    :param address: address at which this node receives datagrams
    :param failure_domain: failure domain of this node
    :param registry: registry in which nodes find one another
    :param holder: current configuration of this node
    :param directory: endpoints that this node knows
    :param table: in-flight requests of all nodes
    :param detector: records at each heartbeat that this process runs
    :param cold_bounds: returns the bounds of requests to cold endpoints
    """

    def __init__(
        self,
        name: str,
        address: addresses.Address,
        failure_domain: str,
        registry: registries.Registry,
        holder: config_holder.ConfigHolder,
        directory: endpoint_directory.EndpointDirectory,
        table: in_flight_table.InFlightTable,
        detector: suspension.SuspensionDetector,
        cold_bounds: cold_ceiling.BoundsReader = cold_ceiling.ColdBounds,
    ) -> None:
        self._name = name
        self._failure_domain = failure_domain
        self._holder = holder
        self._directory = directory
        self._in_flight_table = table
        self._detector = detector
        self._peers = peer_table.PeerTable(name, failure_domain)
        self._channel = update_channel.UpdateChannel(
            name, address, self._peers, self._handle_update
        )
        self._schedule = read_schedule.ReadSchedule()
        self._registration = self._build_registration(address, registry)
        self._pacing = self._build_pacing(cold_bounds)
        self._sync = endpoint_sync.EndpointSync(
            directory, self._pacing.ceiling.record_entry
        )
        self._evacuations = evacuations.Evacuations(directory.set_evacuated)
        self._evacuation_sync = evacuation_sync.EvacuationSync(
            self._evacuations
        )
        self._limits = self._build_limits()
        self._notices = endpoint_notices.EndpointNotices(
            self._limits, self.report_left, self._pacing.ceiling
        )
        self._in_flight = in_flight_reporter.InFlightReporter(
            name, table, self._channel, self._notices
        )
        self._crashes = quarantine.Quarantine(
            lambda: self._channel.fleet_draft
        )
        self._parts = part_quarantine.PartQuarantine(
            lambda: self._channel.fleet_draft, self._trial_rank
        )
        self._versions = version_watch.VersionWatch(holder)
        self._pool_loads = pool_loads.PoolLoads(table)
        self._candidates = self._build_candidates()
        self._load_reporter = pool_load_reporter.PoolLoadReporter(
            name, holder, self._candidates, self._peers, self._channel
        )
        self._on_behind: Callable[[], None] = lambda: None

    @property
    def peers(self) -> peer_table.PeerTable:
        """The other nodes."""
        return self._peers

    @property
    def schedule(self) -> read_schedule.ReadSchedule:
        """Spreads the calls of this node to the store during outages."""
        return self._schedule

    @property
    def in_flight(self) -> in_flight_reporter.InFlightReporter:
        """Tracks in-flight requests and announces them to the other nodes."""
        return self._in_flight

    @property
    def crashes(self) -> quarantine.Quarantine:
        """Requests that crashed endpoints."""
        return self._crashes

    @property
    def parts(self) -> part_quarantine.PartQuarantine:
        """Parts of prompts that crashed endpoints."""
        return self._parts

    @property
    def limits(self) -> rate_limits.RateLimits:
        """Rates that endpoints name for all nodes."""
        return self._limits

    @property
    def pacing(self) -> endpoint_pacing.EndpointPacing:
        """Limits of endpoints that start, recover, are cold or late."""
        return self._pacing

    @property
    def notices(self) -> endpoint_notices.EndpointNotices:
        """What endpoints say of themselves."""
        return self._notices

    @property
    def channel(self) -> update_channel.UpdateChannel:
        """Channel for updates between the nodes."""
        return self._channel

    @property
    def sync(self) -> endpoint_sync.EndpointSync:
        """Synchronization of the list of endpoints."""
        return self._sync

    @property
    def evacuations(self) -> evacuations.Evacuations:
        """Failure domains that operators have evacuated."""
        return self._evacuations

    @property
    def pool_loads(self) -> pool_loads.PoolLoads:
        """Load of the engines of other pools."""
        return self._pool_loads

    @property
    def candidates(self) -> engine_candidates.EngineCandidates:
        """Engines that this node may choose from."""
        return self._candidates

    @property
    def versions(self) -> version_watch.VersionWatch:
        """Versions of the configuration that other nodes announce."""
        return self._versions

    def on_behind(self, callback: Callable[[], None]) -> None:
        """Set the callback for when another node has newer data."""
        self._on_behind = callback

    def _build_pacing(
        self, cold_bounds: cold_ceiling.BoundsReader
    ) -> endpoint_pacing.EndpointPacing:
        return endpoint_pacing.EndpointPacing(
            self._name,
            self._holder,
            cold_bounds,
            self._directory,
            self._peers,
            self._channel,
        )

    def _build_registration(
        self, address: addresses.Address, registry: registries.Registry
    ) -> node_registration.NodeRegistration:
        return node_registration.NodeRegistration(
            self._name,
            registries.NodeEntry(address, self._failure_domain),
            registry,
            self._peers,
            self._schedule,
            lambda: self._directory.epoch,
        )

    def _build_limits(self) -> rate_limits.RateLimits:
        return rate_limits.RateLimits(
            lambda: self._channel.fleet_draft,
            self._directory.find_named,
            self._is_own,
            self._limit_share,
        )

    def close(self) -> None:
        """Close the channel."""
        self._channel.close()

    async def run(self) -> None:
        """Register this node and send heartbeats until cancelled."""
        await self._channel.open()
        async with asyncio.TaskGroup() as group:
            group.create_task(self._registration.run(self._introduce))
            group.create_task(self._send_heartbeats())
            group.create_task(self._load_reporter.run())

    def announce_config(self) -> None:
        """Announce the version of the configuration in force."""
        self._channel.fleet_draft.config.CopyFrom(self._config_seen())

    def announce_evacuations(self) -> None:
        """Announce the evacuations that this node knows to all nodes."""
        self._add_evacuations(self._channel.fleet_draft)

    def announce_endpoints(self, seen: peer_updates.EndpointsSeen) -> None:
        """Announce an update of the list of endpoints."""
        self._channel.fleet_draft.endpoints.CopyFrom(seen)

    def report_left(self, instance: str, reason: str) -> None:
        """Mark an endpoint as leaving, and tell all other nodes once.

        The endpoint itself or the instance that replaced it has said so.
        """
        if self._directory.mark_leaving(instance, reason):
            self._channel.fleet_draft.reports.append(
                peer_updates.EndpointReport(
                    instance=instance, event=peer_updates.LEFT
                )
            )

    def announce_stopping(self) -> None:
        """Announce that this node is about to stop."""
        self._channel.mark_stopping()
        self._send_heartbeat()

    def announce_paths(self, are_good: bool) -> None:
        """Announce whether this node reaches most endpoints."""
        self._channel.mark_paths(are_good)
        self._send_heartbeat()

    def _build_candidates(self) -> engine_candidates.EngineCandidates:
        return engine_candidates.EngineCandidates(
            self._directory,
            self._in_flight_table,
            self._peers.pools,
            self._pool_loads,
            self._notices,
        )

    def _introduce(self) -> None:
        """Announce this node to all nodes that registered before it.

        Nodes that register later find it in the registry.
        """
        self._channel.draft.wants_answer = True
        self._send_heartbeat()
        for pool in self._peers.pools.others:
            for peer in self._peers.recipients(pool):
                introduction = peer_updates.PeerUpdate(
                    failure_domain=self._failure_domain
                )
                self._channel.send_to(introduction, peer.address)

    async def _send_heartbeats(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self._detector.tick()
            self._in_flight_table.expire(clock.now_s())
            self._notices.keep_only(self._directory.instances)
            self._evacuations.refresh()
            self._pacing.keep_only(self._directory.instances)
            self._peers.log_silent_peers()
            self._send_heartbeat()

    def _send_heartbeat(self) -> None:
        draft = self._channel.draft
        draft.failure_domain = self._failure_domain
        self._add_state(draft)
        self._channel.flush()

    def _add_state(self, update: peer_updates.PeerUpdate) -> None:
        if self._holder.table is not None and not update.HasField("config"):
            update.config.CopyFrom(self._config_seen())
        if not update.quarantined_parts:
            update.quarantined_parts.extend(self._parts.describe())
        if not update.limits:
            update.limits.extend(self._limits.describe())
        self._add_evacuations(update)
        self._pacing.add_state(update)
        seen = self._sync.describe()
        if seen is not None and not update.HasField("endpoints"):
            update.endpoints.CopyFrom(seen)

    def _add_evacuations(self, update: peer_updates.PeerUpdate) -> None:
        seen = self._evacuation_sync.describe()
        if seen is not None:
            update.evacuations.CopyFrom(seen)

    def _config_seen(self) -> peer_updates.ConfigSeen:
        age_ms = min(self._holder.age_s() * 1000, _MAX_AGE_MS)
        return peer_updates.ConfigSeen(
            version=self._holder.version, age_ms=round(age_ms)
        )

    def _is_own(self, endpoint: endpoints.Endpoint) -> bool:
        pools = self._peers.pools
        return pools.pool_of_endpoint(endpoint) == pools.own

    def _limit_share(self) -> rate_limits.FleetShare:
        """Return the share of a limit that this node may use.

        Nodes that this one does not hear may use the rest.
        """
        nodes = len(self._peers.recipients()) + 1
        live = len(self._peers.live_names())
        pools = 1 + len(self._peers.pools.others)
        return rate_limits.FleetShare(min(1.0, live / nodes), pools, live)

    def _trial_rank(self, part: int) -> int:
        return reader_rank.rank_of(
            self._name, self._peers.live_names(), f"part-{part}"
        )

    def _handle_update(
        self, update: peer_updates.PeerUpdate, contact: peer_table.Contact
    ) -> None:
        self._handle_crashes(update, contact.delay_s)
        self._handle_parts(update)
        self._handle_reports(update)
        if contact.is_stale:
            # How long these were under way is not known.
            update.ClearField("pool_load")
            update.ClearField("idle")
        self._add_delay(update, contact.delay_s)
        if update.HasField("evacuations"):
            # A later state counts also in a datagram that was overtaken.
            self._evacuation_sync.update_from_peer(
                update.evacuations, self._clock_offset_s(update, contact)
            )
        pool_load_report.apply(update, self._pool_loads)
        if update.is_for_pool:
            self._forward(update)
        if contact.is_stale:
            # Changes of in-flight requests and ages must be applied in order.
            return
        for seen in update.quarantined_parts:
            self._parts.update_from_peer(seen)
        for limit in update.limits:
            self._limits.update_from_peer(limit, contact.delay_s)
        self._pacing.apply_update(update, contact.delay_s)
        self._in_flight.apply_update(update, contact.is_restarted)
        for started in filter(in_flight_reporter.is_primary, update.started):
            self._directory.errors.add_request(started.instance)
        if update.HasField("config"):
            self._handle_config(update.node, update.config)
        if update.HasField("endpoints"):
            self._sync.update_from_peer(update.endpoints)
            if self._sync.is_behind:
                self._on_behind()
        if update.wants_answer and self._peers.is_in_pool(update.node):
            response = peer_updates.PeerUpdate(
                failure_domain=self._failure_domain
            )
            self._add_state(response)
            for peer in self._peers.recipients():
                if peer.name == update.node:
                    self._channel.send_to(response, peer.address)

    def _clock_offset_s(
        self, update: peer_updates.PeerUpdate, contact: peer_table.Contact
    ) -> float | None:
        """Return the clock of this node less that of the sender.

        :returns: None if the datagram may have been under way for long
        """
        if contact.clock_offset_s is not None or contact.is_stale:
            return contact.clock_offset_s
        now, resumed_at_s = clock.now_s(), self._detector.resumed_at_s()
        if resumed_at_s is not None and now - resumed_at_s < _RESUME_S:
            return None
        return now - update.sent_ms / 1000 if update.sent_ms else None

    def _add_delay(
        self, update: peer_updates.PeerUpdate, delay_s: float
    ) -> None:
        """Add the time that an update was under way to the ages in it."""
        delay_ms = round(delay_s * 1000)
        if delay_ms and update.HasField("config"):
            update.config.age_ms = _add_ms(update.config.age_ms, delay_ms)
        if delay_ms and update.HasField("endpoints"):
            update.endpoints.age_ms = _add_ms(
                update.endpoints.age_ms, delay_ms
            )
        for report in update.pool_load:
            report.age_ms = _add_ms(report.age_ms, delay_ms)

    def _forward(self, update: peer_updates.PeerUpdate) -> None:
        """Forward an update of another pool to the own pool."""
        draft = self._channel.draft
        draft.crashes.extend(update.crashes)
        draft.cleared_parts.extend(update.cleared_parts)
        draft.cleared_requests.extend(update.cleared_requests)
        draft.limits.extend(update.limits)
        draft.tried_parts.extend(update.tried_parts)
        draft.reports.extend(update.reports)
        draft.idle.MergeFrom(update.idle)
        if update.HasField("evacuations"):
            self._add_evacuations(draft)
        draft.pool_load.extend(update.pool_load)
        if update.HasField("config"):
            draft.config.CopyFrom(update.config)
        if update.HasField("endpoints"):
            if draft.endpoints.digest != update.endpoints.digest:
                draft.ClearField("endpoints")
            draft.endpoints.MergeFrom(update.endpoints)

    def _handle_config(self, node: str, seen: peer_updates.ConfigSeen) -> None:
        if self._versions.update_from_peer(
            node, seen.version, seen.age_ms / 1000
        ):
            self._on_behind()

    def _handle_crashes(
        self, update: peer_updates.PeerUpdate, delay_s: float
    ) -> None:
        sent_at_s = clock.now_s() - delay_s
        for crash in update.crashes:
            request_at_s = sent_at_s - crash.sent_ago_ms / 1000
            broke_at_s = sent_at_s - crash.broke_ago_ms / 1000
            if crash.fingerprint:
                self._crashes.add(
                    quarantine.RequestCrash(
                        crash.fingerprint,
                        crash.instance,
                        request_at_s,
                        broke_at_s,
                        is_reported=True,
                    )
                )
            self._parts.add_crash(
                part_quarantine.PartCrash(
                    tuple(crash.parts),
                    crash.instance,
                    request_at_s,
                    broke_at_s,
                    is_reported=True,
                )
            )
        for fingerprint in update.cleared_requests:
            self._crashes.clear(fingerprint)

    def _handle_parts(self, update: peer_updates.PeerUpdate) -> None:
        for part in update.cleared_parts:
            self._parts.clear(part)
        for part in update.tried_parts:
            self._parts.postpone_trial(part)

    def _handle_reports(self, update: peer_updates.PeerUpdate) -> None:
        for report in update.reports:
            reason = f"reported by {update.node}"
            match report.event:
                case peer_updates.LEFT:
                    self._directory.mark_leaving(report.instance, reason)
                case peer_updates.FAILED:
                    self._directory.record_fault(report.instance, reason)
                case peer_updates.REQUEST_FAILED:
                    self._directory.errors.add_error(report.instance)


def _add_ms(age_ms: int, delay_ms: int) -> int:
    return min(age_ms + delay_ms, _MAX_AGE_MS)
