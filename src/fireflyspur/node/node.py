"""An entry node."""

import asyncio
import contextlib
import dataclasses
import signal

from tornado import httpserver

from fireflyspur.admission import admission_controller
from fireflyspur.admission import authenticator
from fireflyspur.admission import body_budget
from fireflyspur.audit import audit_trail
from fireflyspur.clients import engine_client
from fireflyspur.clients import http_client
from fireflyspur.clients import log_client
from fireflyspur.engines import engine_crash
from fireflyspur.engines import engine_parts
from fireflyspur.generated import settings
from fireflyspur.node import context
from fireflyspur.node import drain_controller
from fireflyspur.node import http_server
from fireflyspur.node import limit_parts
from fireflyspur.node import membership_parts
from fireflyspur.observability import logs
from fireflyspur.observability import metrics
from fireflyspur.orders import order_manager
from fireflyspur.records import catalog as catalogs
from fireflyspur.records import catalog_follower
from fireflyspur.routing import engine_view
from fireflyspur.routing import load_poller
from fireflyspur.routing import router

_log = logs.log_for("node")


@dataclasses.dataclass(frozen=True)
class Ports:
    """Ports on which the node listens."""

    http: int
    admin: int
    peer: int


class Node:
    """Builds the parts of a node, runs them and stops them in order.

    :param config: the node's settings
    """

    def __init__(self, config: settings.NodeSettings) -> None:
        self._config = config
        self._stack = contextlib.AsyncExitStack()
        self._stop = asyncio.Event()

    async def start(self) -> Ports:
        """Start all parts.

        :returns: the ports on which the node listens
        """
        node = self._build()
        self._context = node
        self._start_task(node.follower.run())
        peer_port = await node.membership.start(self._stack)
        for coroutine in (
            node.quarantine.run(),
            node.sweeper.run(),
            node.load_poller.run(),
            node.limits.reporter.run(),
            node.orders.run(),
        ):
            self._start_task(coroutine)
        address = self._config.node.address
        http, http_port = http_server.listen(
            http_server.caller_application(node),
            address,
            self._config.node.http_port,
        )
        admin, admin_port = http_server.listen(
            http_server.admin_application(node),
            address,
            self._config.node.admin_port,
        )
        self._stack.push_async_callback(_close_server, admin)
        self._stack.push_async_callback(_close_server, http)
        _log.info("Listening on {} port {}", address, http_port)
        return Ports(http_port, admin_port, peer_port)

    async def run_until_stopped(self) -> None:
        """Serve until SIGTERM or SIGINT, then stop gracefully."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stop.set)
        await self._stop.wait()
        await self.stop()

    async def stop(self) -> None:
        """Stop gracefully: no request in progress is cut."""
        self._context.drain.begin()
        self._context.membership.announce_leaving()
        await self._context.drain.drain()
        await self._context.membership.announce_end()
        await self._stack.aclose()
        _log.info("Stopped")

    def _build(self) -> context.NodeContext:
        config = self._config
        http = http_client.create()
        self._stack.callback(http.close)
        log = log_client.LogClient(
            http,
            config.log.url,
            config.node.name,
            config.log.append_timeout_s,
        )
        catalog = catalogs.Catalog()
        trail = audit_trail.AuditTrail()
        view = engine_view.EngineView(catalog, config.node.name)
        routing = router.Router(catalog, view, config.node.failure_domain)
        incarnation = membership_parts.start_incarnation()
        follower = self._build_follower(log, catalog, trail)
        membership = membership_parts.MembershipParts(
            config, incarnation, follower, log, http, view, trail
        )
        engine = engine_client.EngineClient(http, config.node.name)
        engines = self._build_engines(
            engine, log, catalog, routing, trail, membership
        )
        reported = metrics.Metrics(config.metrics)
        self._stack.callback(reported.close)
        return context.NodeContext(
            settings=config,
            follower=follower,
            trail=trail,
            authenticator=authenticator.Authenticator(catalog),
            bodies=body_budget.BodyBudget(
                config.limits.max_body_bytes,
                config.limits.buffered_body_bytes,
            ),
            admission=admission_controller.AdmissionController(
                catalog, routing
            ),
            limits=limit_parts.LimitParts(config, catalog, membership),
            router=routing,
            load_poller=load_poller.LoadPoller(engine, view),
            runner=engines.runner,
            quarantine=engines.quarantine,
            sweeper=engines.sweeper,
            orders=order_manager.OrderManager(
                config.node.name,
                catalog,
                engine,
                log,
                trail,
                membership.table.live_names,
                config.log.poll_wait_s,
            ),
            drain=drain_controller.DrainController(config.node.drain_s),
            membership=membership,
            metrics=reported,
        )

    def _build_engines(
        self,
        client: engine_client.EngineClient,
        log: log_client.LogClient,
        catalog: catalogs.Catalog,
        routing: router.Router,
        trail: audit_trail.AuditTrail,
        membership: membership_parts.MembershipParts,
    ) -> engine_parts.EngineParts:
        table = membership.table
        engines = engine_parts.EngineParts(
            client=client,
            log=log,
            catalog=catalog,
            router=routing,
            trail=trail,
            owner=f"{table.own.name}:{table.own.incarnation}",
            poll_wait_s=self._config.log.poll_wait_s,
            publish=membership.bus.publish,
            live_names=table.live_names,
            is_dead=table.is_dead,
        )
        membership.bus.subscribe(
            engine_crash.EngineCrash, engines.quarantine.receive
        )
        self._stack.push_async_callback(engines.quarantine.close)
        self._stack.push_async_callback(engines.runner.close)
        return engines

    def _build_follower(
        self,
        log: log_client.LogClient,
        catalog: catalogs.Catalog,
        trail: audit_trail.AuditTrail,
    ) -> catalog_follower.CatalogFollower:
        # A read that waits longer would let the configuration grow older
        # than the bound while the log is well.
        wait_s = min(
            self._config.log.poll_wait_s,
            self._config.membership.staleness_bound_s / 2,
        )
        return catalog_follower.CatalogFollower(log, catalog, trail, wait_s)

    def _start_task(self, coroutine: "asyncio._CoroutineLike[None]") -> None:
        task = asyncio.ensure_future(coroutine)
        self._stack.push_async_callback(_cancel_task, task)


async def _cancel_task(task: "asyncio.Future[None]") -> None:
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


async def _close_server(server: httpserver.HTTPServer) -> None:
    server.stop()
    await server.close_all_connections()
