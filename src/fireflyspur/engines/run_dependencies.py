"""Objects that all prompts of a node share."""

import dataclasses

from fireflyspur.audit import audit_trail
from fireflyspur.clients import engine_client
from fireflyspur.engines import group_reserver
from fireflyspur.engines import quarantine as quarantines
from fireflyspur.engines import releaser as releasers
from fireflyspur.engines import retry_budget
from fireflyspur.routing import router as routers


@dataclasses.dataclass(frozen=True)
class RunDependencies:
    """Dependencies that all prompts of a node share."""

    client: engine_client.EngineClient
    router: routers.Router
    owner: str
    budget: retry_budget.RetryBudget
    quarantine: quarantines.Quarantine
    reserver: group_reserver.GroupReserver
    releaser: releasers.Releaser
    trail: audit_trail.AuditTrail
