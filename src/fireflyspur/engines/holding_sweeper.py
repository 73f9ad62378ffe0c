"""Release of holdings that dead nodes and failed requests left behind."""

import asyncio
from collections.abc import Callable
import random
import time

from fireflyspur.audit import audit_trail
from fireflyspur.clients import engine_client
from fireflyspur.clients import exceptions
from fireflyspur.membership import owner_cache
from fireflyspur.observability import logs

_INTERVAL_S = 1.0
# A sweep of an engine reads about 150 bytes for each stream. In a fleet with
# more engines than this, the interval grows in proportion: 32 s with 800
# engines.
_ENGINES_AT_FULL_RATE = 25
# The owner itself releases an expired holding. Its clock may differ slightly.
_GRACE_S = 0.5

_log = logs.log_for("engines")


class HoldingSweeper:
    """Sweeps the engines that this node is responsible for.

    :param client: client of the engines
    :param engines: returns the addresses of all engines
    :param name: name of this node
    :param live_names: returns the names of the live nodes
    :param is_dead: returns whether an incarnation of a node is dead
    :param trail: records each release and its reason
    """

    def __init__(
        self,
        client: engine_client.EngineClient,
        engines: Callable[[], list[engine_client.EngineAddress]],
        name: str,
        live_names: Callable[[], list[str]],
        is_dead: Callable[[str, int], bool],
        trail: audit_trail.AuditTrail,
    ) -> None:
        self._client = client
        self._engines = engines
        self._name = name
        self._live_names = live_names
        self._is_dead = is_dead
        self._trail = trail
        self._owners = owner_cache.OwnerCache()

    async def run(self) -> None:
        """Sweep until cancelled."""
        while True:
            # Jitter, so that nodes do not sweep at the same time.
            scale = max(1.0, len(self._engines()) / _ENGINES_AT_FULL_RATE)
            await asyncio.sleep(
                _INTERVAL_S * scale * random.uniform(0.75, 1.25)
            )
            await self.sweep()

    async def sweep(self) -> None:
        """Sweep each engine that this node is responsible for once."""
        self._owners.set_members(self._live_names())
        await asyncio.gather(
            *(
                self._sweep_engine(engine)
                for engine in self._engines()
                if self._owners.owner(engine.name) == self._name
            )
        )

    async def _sweep_engine(self, engine: engine_client.EngineAddress) -> None:
        try:
            holdings = await self._client.holdings(engine)
            for holding in holdings:
                if reason := self._release_reason(holding):
                    await self._release(engine, holding, reason)
        except _CALL_ERRORS as error:
            _log.debug("Sweep of {} failed: {}", engine.name, error)
        except (KeyError, TypeError, ValueError) as error:
            _log.warning("Holdings of {} are invalid: {}", engine.name, error)

    def _release_reason(self, holding: engine_client.Holding) -> str:
        if holding.deadline + _GRACE_S <= time.time():
            return "its deadline has passed"
        name, _, incarnation = holding.owner.rpartition(":")
        if incarnation.isdigit() and self._is_dead(name, int(incarnation)):
            return f"its owner {holding.owner} is dead"
        return ""

    async def _release(
        self,
        engine: engine_client.EngineAddress,
        holding: engine_client.Holding,
        reason: str,
    ) -> None:
        try:
            await self._client.release(engine, holding)
        except _CALL_ERRORS as error:
            # The next sweep tries again.
            _log.debug("Release on {} failed: {}", engine.name, error)
            return
        self._trail.add(
            "engines",
            "holding_released",
            f"engine/{engine.name}/{holding.kind}/{holding.id}",
            reason,
        )
        _log.info(
            "Released {} {} on {}: {}",
            holding.kind,
            holding.id,
            engine.name,
            reason,
        )


_CALL_ERRORS = (
    exceptions.EngineUnavailableError,
    exceptions.EngineRefusedError,
)
