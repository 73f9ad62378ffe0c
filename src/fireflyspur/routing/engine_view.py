"""What a node knows about the engines."""

import dataclasses
import time

from fireflyspur.clients import engine_client
from fireflyspur.generated import records
from fireflyspur.records import catalog as catalogs

# An engine that did not answer is passed over for this long.
_UNREACHABLE_S = 2.0


@dataclasses.dataclass(frozen=True)
class Placement:
    """Work that this node has sent to an engine.

    :param prefill_tokens: prompt tokens that the engine has to process
    :param total_tokens: prompt and generated tokens that it has to hold
    """

    engine: str
    prefill_tokens: int
    total_tokens: int


class EngineView:
    """Engines of the catalog with this node's own outstanding work.

    :param catalog: the records in force
    """

    def __init__(self, catalog: catalogs.Catalog) -> None:
        self._catalog = catalog
        self._outstanding: dict[str, list[Placement]] = {}
        self._leaving: set[tuple[str, int]] = set()
        self._unreachable_until: dict[str, float] = {}

    def specs(self) -> dict[str, records.EngineSpec]:
        """Return the engines of the catalog by name."""
        return self._catalog.specs(records.EngineSpec)

    def address(self, name: str) -> engine_client.EngineAddress:
        """Return where an engine listens."""
        spec = self.specs()[name]
        return engine_client.EngineAddress(name, spec.address, spec.port)

    def candidates(self, model: str, adapter: str) -> list[str]:
        """Return the engines that may get new work, in order of name."""
        now = time.monotonic()
        return sorted(
            name
            for name, spec in self.specs().items()
            if model in spec.models
            and (not adapter or adapter in spec.adapters)
            and spec.role in (records.Role.any, records.Role.decode)
            and (spec.address, spec.port) not in self._leaving
            and self._unreachable_until.get(name, 0.0) <= now
        )

    def outstanding(self, name: str) -> list[Placement]:
        """Return this node's unfinished work on an engine."""
        return self._outstanding.get(name, [])

    def add(self, placement: Placement) -> None:
        """Count work as sent, at the moment of the choice."""
        self._outstanding.setdefault(placement.engine, []).append(placement)

    def remove(self, placement: Placement) -> None:
        """Count work as ended."""
        self._outstanding[placement.engine].remove(placement)

    def mark_leaving(self, address: str, port: int) -> None:
        """Give an endpoint no new work from now on."""
        self._leaving.add((address, port))

    def clear_leaving(self, address: str, port: int) -> None:
        """Give an endpoint new work again, after its return."""
        self._leaving.discard((address, port))

    def is_leaving(self, address: str, port: int) -> bool:
        """Whether an endpoint gets no new work."""
        return (address, port) in self._leaving

    def mark_unreachable(self, name: str) -> None:
        """Pass over an engine that did not answer, for a short time."""
        self._unreachable_until[name] = time.monotonic() + _UNREACHABLE_S
