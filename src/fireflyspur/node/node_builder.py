"""Construction of a node's parts."""

from collections.abc import Callable
import contextlib

from fireflyspur.admission import admission_controller
from fireflyspur.admission import authenticator
from fireflyspur.admission import body_budget
from fireflyspur.audit import audit_trail
from fireflyspur.claims import claim_ledger
from fireflyspur.claims import pause_points
from fireflyspur.clients import engine_client
from fireflyspur.clients import http_client
from fireflyspur.clients import log_client
from fireflyspur.clients import service_client
from fireflyspur.engines import engine_crash
from fireflyspur.engines import engine_parts
from fireflyspur.generated import settings
from fireflyspur.node import context
from fireflyspur.node import drain_controller
from fireflyspur.node import limit_parts
from fireflyspur.node import membership_parts
from fireflyspur.observability import metrics
from fireflyspur.orders import order_manager
from fireflyspur.records import catalog as catalogs
from fireflyspur.records import catalog_follower
from fireflyspur.routing import engine_view
from fireflyspur.routing import load_poller
from fireflyspur.routing import router


class NodeBuilder:
    """Builds the parts of a node and connects them.

    :param config: the node's settings
    :param stack: closes the parts' resources when the node stops
    """

    def __init__(
        self,
        config: settings.NodeSettings,
        stack: contextlib.AsyncExitStack,
    ) -> None:
        self._config = config
        self._stack = stack
        self._name = config.node.name
        self._incarnation = membership_parts.new_incarnation()
        self._http = http_client.create()
        stack.callback(self._http.close)
        self._log = log_client.LogClient(
            self._http,
            config.log.url,
            self._name,
            config.log.append_timeout_s,
        )
        self._catalog = catalogs.Catalog()
        self._trail = audit_trail.AuditTrail()
        self._engine_client = engine_client.EngineClient(
            self._http, self._name
        )
        self._live_names: Callable[[], list[str]] = lambda: [self._name]
        self._view = engine_view.EngineView(
            self._catalog, self._name, lambda: self._live_names()
        )
        self._router = router.Router(
            self._catalog,
            self._view,
            config.node.failure_domain,
            node_count=lambda: len(self._live_names()),
        )

    def build(self) -> context.NodeContext:
        """Build the parts without starting them."""
        config, catalog = self._config, self._catalog
        follower = self._build_follower()
        membership = membership_parts.MembershipParts(
            config,
            self._incarnation,
            follower,
            self._log,
            self._http,
            self._view,
            self._trail,
        )
        self._live_names = membership.table.live_names
        engines = self._build_engines(membership)
        return context.NodeContext(
            settings=config,
            follower=follower,
            trail=self._trail,
            authenticator=authenticator.Authenticator(catalog),
            body_budget=body_budget.BodyBudget(
                config.limits.max_body_bytes,
                config.limits.buffered_body_bytes,
            ),
            admission=admission_controller.AdmissionController(
                catalog, self._router
            ),
            limits=limit_parts.LimitParts(config, catalog, membership),
            router=self._router,
            load_poller=load_poller.LoadPoller(
                self._engine_client, self._view
            ),
            runner=engines.runner,
            quarantine=engines.quarantine,
            sweeper=engines.sweeper,
            orders=self._build_orders(membership),
            services=service_client.ServiceClient(
                self._http,
                self._view.is_leaving,
                membership.report_service_leaving,
            ),
            ledger=self._build_ledger(),
            drain=drain_controller.DrainController(config.node.drain_s),
            membership=membership,
            metrics=self._build_metrics(),
        )

    def _build_follower(self) -> catalog_follower.CatalogFollower:
        config = self._config
        # With longer reads, the configuration could exceed the staleness
        # bound although the log is available.
        wait_s = min(
            config.log.poll_wait_s, config.membership.staleness_bound_s / 2
        )
        return catalog_follower.CatalogFollower(
            self._log, self._catalog, self._trail, wait_s
        )

    def _build_engines(
        self, membership: membership_parts.MembershipParts
    ) -> engine_parts.EngineParts:
        engines = engine_parts.EngineParts(
            client=self._engine_client,
            log=self._log,
            catalog=self._catalog,
            router=self._router,
            trail=self._trail,
            owner=f"{self._name}:{self._incarnation}",
            poll_wait_s=self._config.log.poll_wait_s,
            publish=membership.bus.publish,
            live_names=membership.table.live_names,
            is_dead=membership.table.is_dead,
        )
        membership.bus.subscribe(
            engine_crash.EngineCrash, engines.quarantine.receive
        )
        self._stack.push_async_callback(engines.quarantine.close)
        self._stack.push_async_callback(engines.runner.close)
        return engines

    def _build_orders(
        self, membership: membership_parts.MembershipParts
    ) -> order_manager.OrderManager:
        return order_manager.OrderManager(
            self._name,
            self._catalog,
            self._engine_client,
            self._log,
            self._trail,
            membership.table.live_names,
            self._config.log.poll_wait_s,
            self._view.is_served_elsewhere,
            pause_points.PausePoints(self._config.testing.pause_at),
        )

    def _build_ledger(self) -> claim_ledger.ClaimLedger:
        config = self._config
        ledger = claim_ledger.ClaimLedger(
            self._log,
            self._catalog,
            self._name,
            config.log.append_timeout_s,
            config.log.poll_wait_s,
            pause_points.PausePoints(config.testing.pause_at),
        )
        self._stack.push_async_callback(ledger.close)
        return ledger

    def _build_metrics(self) -> metrics.Metrics:
        node_metrics = metrics.Metrics(self._config.metrics)
        self._stack.callback(node_metrics.close)
        return node_metrics
