"""Components of a node that run prompts on engines."""

from collections.abc import Callable

from fireflyspur.audit import audit_trail
from fireflyspur.clients import engine_client
from fireflyspur.clients import log_client
from fireflyspur.engines import engine_crash
from fireflyspur.engines import group_reserver
from fireflyspur.engines import holding_sweeper
from fireflyspur.engines import prompt_runner
from fireflyspur.engines import quarantine as quarantines
from fireflyspur.engines import releaser as releasers
from fireflyspur.engines import retry_budget
from fireflyspur.engines import run_dependencies
from fireflyspur.records import catalog as catalogs
from fireflyspur.routing import router as routers


class EngineParts:
    """The runner, the quarantine and the sweeper of a node.

    :param client: client of the engines
    :param log: client of the log
    :param catalog: the current records
    :param router: chooses the engines
    :param trail: records the node's actions
    :param owner: name and incarnation of the node
    :param poll_wait_s: seconds that a read of the log waits for new records
    :param publish: sends a crash to the other nodes
    :param live_names: returns the names of the live nodes
    :param is_dead: returns whether an incarnation of a node is dead
    """

    def __init__(
        self,
        client: engine_client.EngineClient,
        log: log_client.LogClient,
        catalog: catalogs.Catalog,
        router: routers.Router,
        trail: audit_trail.AuditTrail,
        owner: str,
        poll_wait_s: float,
        publish: Callable[[engine_crash.EngineCrash], None],
        live_names: Callable[[], list[str]],
        is_dead: Callable[[str, int], bool],
    ) -> None:
        releaser = releasers.Releaser(client)
        self.quarantine = quarantines.Quarantine(
            client,
            log,
            lambda: catalog.fleet().quarantine_s,
            trail,
            owner,
            poll_wait_s,
            publish,
        )
        self.runner = prompt_runner.PromptRunner(
            run_dependencies.RunDependencies(
                client,
                router,
                owner,
                retry_budget.RetryBudget(lambda: catalog.policy().retry_ratio),
                self.quarantine,
                group_reserver.GroupReserver(client, releaser, owner),
                releaser,
                trail,
            )
        )
        self.sweeper = holding_sweeper.HoldingSweeper(
            client,
            lambda: [router.view.address(n) for n in router.view.specs()],
            owner.rpartition(":")[0],
            live_names,
            is_dead,
            trail,
        )
