"""Dependencies of a node's HTTP handlers."""

import dataclasses

from fireflyspur.admission import admission_controller
from fireflyspur.admission import authenticator
from fireflyspur.admission import body_budget
from fireflyspur.audit import audit_trail
from fireflyspur.claims import claim_ledger
from fireflyspur.clients import service_client
from fireflyspur.engines import holding_sweeper
from fireflyspur.engines import prompt_runner
from fireflyspur.engines import quarantine
from fireflyspur.generated import settings
from fireflyspur.node import drain_controller
from fireflyspur.node import limit_parts
from fireflyspur.node import membership_parts
from fireflyspur.observability import metrics
from fireflyspur.orders import order_manager
from fireflyspur.records import catalog_follower
from fireflyspur.routing import load_poller
from fireflyspur.routing import router


@dataclasses.dataclass(frozen=True)
class NodeContext:
    """Holds the node's parts for its handlers; the node owns them."""

    settings: settings.NodeSettings
    follower: catalog_follower.CatalogFollower
    trail: audit_trail.AuditTrail
    authenticator: authenticator.Authenticator
    body_budget: body_budget.BodyBudget
    admission: admission_controller.AdmissionController
    limits: limit_parts.LimitParts
    router: router.Router
    load_poller: load_poller.LoadPoller
    runner: prompt_runner.PromptRunner
    quarantine: quarantine.Quarantine
    sweeper: holding_sweeper.HoldingSweeper
    orders: order_manager.OrderManager
    services: service_client.ServiceClient
    ledger: claim_ledger.ClaimLedger
    drain: drain_controller.DrainController
    membership: membership_parts.MembershipParts
    metrics: metrics.Metrics
