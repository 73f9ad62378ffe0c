"""A gateway node: its servers, background tasks and shutdown."""

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses
import signal

from fireflyspur.gateway.callers import caller_connection
from fireflyspur.gateway.callers import caller_server
from fireflyspur.gateway.common import byte_budget
from fireflyspur.gateway.common import exceptions
from fireflyspur.gateway.common import messages
from fireflyspur.gateway.common import registry as registries
from fireflyspur.gateway.configuration import config_holder
from fireflyspur.gateway.configuration import evacuation_check
from fireflyspur.gateway.configuration import regions as region_maps
from fireflyspur.gateway.configuration import store_follower
from fireflyspur.gateway.endpoints import endpoint_directory
from fireflyspur.gateway.endpoints import endpoint_monitor
from fireflyspur.gateway.endpoints import reachability
from fireflyspur.gateway.fleet import fleet_link
from fireflyspur.gateway.handover import handover_server
from fireflyspur.gateway.handover import peer_choice
from fireflyspur.gateway.node import gateway_metrics
from fireflyspur.gateway.node import node_drain
from fireflyspur.gateway.node import settings as gateway_settings
from fireflyspur.gateway.node import start_phases
from fireflyspur.gateway.node import suspension
from fireflyspur.gateway.requests import admission
from fireflyspur.gateway.requests import forwarder
from fireflyspur.gateway.requests import request_dependencies
from fireflyspur.gateway.requests import request_plan
from fireflyspur.gateway.requests import request_timeouts
from fireflyspur.gateway.requests import retry_budget
from fireflyspur.gateway.scheduling import engine_orders
from fireflyspur.gateway.scheduling import in_flight_table
from fireflyspur.gateway.scheduling import memory_reserver
from fireflyspur.gateway.scheduling import placement
from fireflyspur.gateway.scheduling import region_filter
from fireflyspur.observability import logs

# Interval at which the settings file is reread, as a change may come without
# a signal.
_SETTINGS_CHECK_S = 2.0
# Endpoints whose registration expired during an outage of the store register
# again within two seconds.
_REREGISTRATION_S = 2.5

_log = logs.log_for("node")


class Gateway:
    """Runs the servers and background tasks of a node.

    :param settings: the node's settings
    :param registry: the platform's store
    :param codec: decodes and encodes the headers of requests and responses
    :param orders: sends orders to engines
    :param load_settings: rereads the settings
    """

    def __init__(
        self,
        settings: gateway_settings.GatewaySettings,
        registry: registries.Registry,
        codec: messages.Codec,
        orders: engine_orders.EngineOrders,
        load_settings: Callable[[], gateway_settings.GatewaySettings],
    ) -> None:
        self._phases = start_phases.StartPhases.of_process()
        self._settings = settings
        self._load_settings = load_settings
        self._exit_stack = contextlib.AsyncExitStack()
        self._stop_event = asyncio.Event()
        self._config_holder = config_holder.ConfigHolder(self._regions)
        self._directory = endpoint_directory.EndpointDirectory(
            outage_s=3 * settings.heartbeat_s, reregister_s=_REREGISTRATION_S
        )
        in_flight = in_flight_table.InFlightTable()
        detector = suspension.SuspensionDetector(fleet_link.HEARTBEAT_S)
        self._timeouts = request_timeouts.RequestTimeouts()
        self._bytes_held = byte_budget.ByteBudget(
            lambda: self._settings.max_held_bytes
        )
        self._drain = node_drain.NodeDrain(self._timeouts)
        self._link = fleet_link.FleetLink(
            settings.node_name,
            settings.peers,
            settings.failure_domain,
            registry,
            self._config_holder,
            self._directory,
            in_flight,
            detector,
            lambda: self._settings.cold,
        )
        self._store_follower = self._build_follower(registry, detector)
        self._evacuation_check = self._build_evacuation_check(detector)
        self._retry_budget = retry_budget.RetryBudget(
            settings.retries, self._link.peers.fleet_size
        )
        self._reachability = reachability.Reachability(
            self._directory, self._link.announce_paths
        )
        self._endpoint_monitor = endpoint_monitor.EndpointMonitor(
            self._directory,
            in_flight,
            self._link.channel,
            self._reachability,
            self._link.report_left,
        )
        self._memory_reserver = memory_reserver.MemoryReserver(
            orders, lambda: self._settings.memory
        )
        self._admission = self._build_admission(in_flight)
        self._metrics = self._build_metrics(registry)
        self._forwarder = self._build_forwarder(codec, in_flight)
        self._caller_server = self._build_server(self._forwarder.serve)
        self._handover_server = self._build_handover_server()
        self._health_server = self._build_server(self._serve_health)
        self._metrics_server = self._build_server(self._serve_metrics)

    @property
    def settings(self) -> gateway_settings.GatewaySettings:
        """The current settings."""
        return self._settings

    @property
    def directory(self) -> endpoint_directory.EndpointDirectory:
        """The endpoints known to the node."""
        return self._directory

    @property
    def link(self) -> fleet_link.FleetLink:
        """Communication with the other nodes."""
        return self._link

    @property
    def config_version(self) -> int:
        """Version of the current configuration."""
        return self._config_holder.version

    @property
    def is_ready(self) -> bool:
        """Whether the balancer should send requests to this node."""
        return (
            not self._drain.is_begun
            and self._config_holder.table is not None
            and self._directory.is_read
            and self._link.evacuations.is_read
        )

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then stop gracefully."""
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._stop_event.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload_settings)
        async with self._exit_stack:
            self._start()
            await self._stop_event.wait()
            self._drain.begin(self._settings.grace_s)
            self._link.announce_stopping()
            await self._drain.wait(
                (self._caller_server, self._handover_server.server)
            )
        _log.info("Stopped")

    def _regions(self) -> region_maps.RegionMap:
        return self._settings.regions

    def _build_follower(
        self,
        registry: registries.Registry,
        detector: suspension.SuspensionDetector,
    ) -> store_follower.StoreFollower:
        return store_follower.StoreFollower(
            self._settings.node_name,
            registry,
            self._config_holder,
            self._directory,
            self._link,
            detector,
            self._link.schedule,
            config_bound_s=self._settings.config_apply_s,
            endpoints_bound_s=self._settings.drain_s,
            observe_version=lambda delay_s, catch_up_s: (
                self._metrics.observe_version(delay_s, catch_up_s)
            ),
        )

    def _build_evacuation_check(
        self, detector: suspension.SuspensionDetector
    ) -> evacuation_check.EvacuationCheck:
        known = self._link.evacuations
        known.set_bounds(self._settings.evacuate_s, self._settings.outer_s)
        return evacuation_check.EvacuationCheck(
            known, detector, self._store_follower.read_evacuations
        )

    def _build_forwarder(
        self, codec: messages.Codec, in_flight: in_flight_table.InFlightTable
    ) -> forwarder.Forwarder:
        return forwarder.Forwarder(
            request_dependencies.RequestDependencies(
                node_name=self._settings.node_name,
                peers=peer_choice.PeerChoice(self._link.peers, self._regions),
                planner=request_plan.RequestPlanner(
                    self._config_holder, codec
                ),
                codec=codec,
                directory=self._directory,
                in_flight=self._link.in_flight,
                placer=placement.EndpointSelector(
                    self._directory,
                    in_flight,
                    self._link.candidates,
                    self._settings.failure_domain,
                    self._link.pacing.paces,
                ),
                admission=self._admission,
                region_filter=region_filter.RegionFilter(
                    self._directory, self._regions
                ),
                retries=self._retry_budget,
                crashes=self._link.crashes,
                parts=self._link.parts,
                notices=self._link.notices,
                paces=self._link.pacing.paces,
                memory=self._memory_reserver,
                bytes_held=self._bytes_held,
                reachable=self._reachability,
                is_draining=lambda: self._drain.is_begun,
                is_removed=lambda: self._drain.is_removed,
                exits_at_s=lambda: self._drain.deadline_s,
                timeouts=self._timeouts,
                wait_until_current=self._store_follower.wait_until_current,
                evacuation_check=self._evacuation_check,
                monitor=self._endpoint_monitor,
                metrics=self._metrics,
            )
        )

    def _build_admission(
        self, in_flight: in_flight_table.InFlightTable
    ) -> admission.Admission:
        return admission.Admission(
            self._directory,
            in_flight,
            self._link.candidates,
            pool_nodes=lambda: len(self._link.peers.recipients()) + 1,
            exits_at_s=lambda: self._drain.deadline_s,
            observe=lambda result, seconds: self._metrics.observe_wait(
                result, seconds
            ),
        )

    def _build_handover_server(self) -> handover_server.HandoverServer:
        return handover_server.HandoverServer(
            self._link.peers,
            self._forwarder.serve,
            self._forwarder.send_handover_error,
            lambda: self._config_holder.limits,
            self._bytes_held,
        )

    def _build_metrics(
        self, registry: registries.Registry
    ) -> gateway_metrics.GatewayMetrics:
        metrics = gateway_metrics.GatewayMetrics(
            in_progress=lambda: self._caller_server.in_progress,
            config_age_s=self._config_holder.age_s,
            endpoints_age_s=self._directory.age_s,
            limited_endpoints=lambda: self._link.limits.count,
            cold_endpoints=lambda: self._link.pacing.ceiling.count,
            paced_endpoints=lambda: self._link.pacing.paces.count,
            lacks_paths=lambda: not self._reachability.has_good_paths,
            held_bytes=lambda: self._bytes_held.held_bytes,
            holdings_ended=lambda: self._bytes_held.ended,
            evacuated_domains=lambda: len(self._link.evacuations.in_force),
            evacuations_age_s=self._link.evacuations.age_s,
            waiting=lambda: self._admission.waiting,
        )
        registry.count_calls(metrics.count_store_call)
        return metrics

    def _build_server(
        self, handle_request: caller_server.RequestHandler
    ) -> caller_server.CallerServer:
        return caller_server.CallerServer(
            handle_request,
            self._forwarder.send_error,
            lambda: self._config_holder.limits,
            self._bytes_held,
        )

    def _start(self) -> None:
        self._exit_stack.push_async_callback(self._memory_reserver.close)
        self._exit_stack.push_async_callback(self._reachability.close)
        self._exit_stack.push_async_callback(self._endpoint_monitor.close)
        self._exit_stack.callback(self._link.close)
        for coroutine in (
            self._link.run(),
            self._store_follower.run(),
            self._watch_settings(),
        ):
            task = asyncio.ensure_future(coroutine)
            task.add_done_callback(self._on_task_done)
            self._exit_stack.push_async_callback(_cancel, task)
        self._listen()
        self._phases.record("listening_ms")
        self._watch_start()
        _log.info("Started", settings=dataclasses.asdict(self._settings))

    def _watch_start(self) -> None:
        """Measure how long the parts of the start take that come next."""
        watching = asyncio.ensure_future(
            self._phases.watch(
                {
                    "config_ms": lambda: self._config_holder.table is not None,
                    "endpoints_ms": lambda: self._directory.is_read,
                    "ready_ms": lambda: self.is_ready,
                    "nodes_ms": lambda: self._link.peers.has_list,
                }
            )
        )
        self._exit_stack.push_async_callback(_cancel, watching)

    def _listen(self) -> None:
        """Start the servers, which close before all that requests use."""
        settings = self._settings
        for server, address in (
            (self._metrics_server, settings.metrics),
            (self._health_server, settings.health),
            (self._handover_server.server, settings.peers),
            (self._caller_server, settings.callers),
        ):
            if address is None:
                continue
            server.listen(address.port, address.host, backlog=1024)
            self._exit_stack.push_async_callback(server.close)

    async def _watch_settings(self) -> None:
        """Reload the settings at an interval, without a signal."""
        while True:
            await asyncio.sleep(_SETTINGS_CHECK_S)
            self._reload_settings()

    def _reload_settings(self) -> None:
        """Apply changed settings, except for the addresses."""
        try:
            settings = self._load_settings()
        except exceptions.InvalidSettingsError as error:
            _log.error("Settings not used", reason=str(error))
            return
        if settings == self._settings:
            return
        self._settings = settings
        self._retry_budget.set_limits(settings.retries)
        self._config_holder.log_unknown_regions()
        self._store_follower.set_bounds(
            settings.config_apply_s, settings.drain_s
        )
        self._link.evacuations.set_bounds(
            settings.evacuate_s, settings.outer_s
        )
        _log.info("Settings in force", settings=dataclasses.asdict(settings))

    def _on_task_done(self, task: "asyncio.Future[None]") -> None:
        """Stop the node if a background task fails: a restart is better."""
        if not task.cancelled() and task.exception() is not None:
            _log.error("Part failed", reason=repr(task.exception()))
            self._stop_event.set()

    async def _serve_health(
        self,
        connection: caller_connection.CallerConnection,
        request: messages.CallerRequest,
    ) -> None:
        status = 200 if self.is_ready else 503
        await connection.send_response(status, [], b"")

    async def _serve_metrics(
        self,
        connection: caller_connection.CallerConnection,
        request: messages.CallerRequest,
    ) -> None:
        headers = [(b"Content-Type", b"text/plain; version=0.0.4")]
        await connection.send_response(200, headers, self._metrics.render())


async def _cancel(task: "asyncio.Future[None]") -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
