"""Reservations, exports and imports: memory that no stream uses yet."""

import dataclasses
from typing import Any

from fireflyspur.standins.engine import kv_memory


@dataclasses.dataclass(frozen=True)
class Holding:
    """Memory held for an owner until a deadline.

    :param kind: ``reservation``, ``export`` or ``import``
    """

    kind: str
    name: str
    owner: str
    deadline: float
    allocation: kv_memory.Allocation

    def describe(self, block_tokens: int) -> dict[str, Any]:
        """Return the holding as the interface shows it."""
        return {
            "kind": self.kind,
            "id": self.name,
            "owner": self.owner,
            "deadline": self.deadline,
            "tokens": self.allocation.blocks * block_tokens,
        }


class HoldingTable:
    """Holdings by kind and name.

    :param memory: where the blocks come from
    """

    def __init__(self, memory: kv_memory.KvMemory) -> None:
        self._memory = memory
        self._holdings: dict[tuple[str, str], Holding] = {}

    def all(self) -> list[Holding]:
        """Return all holdings."""
        return list(self._holdings.values())

    def get(self, kind: str, name: str) -> Holding | None:
        """Return a holding, or None."""
        return self._holdings.get((kind, name))

    def add(
        self,
        kind: str,
        body: dict[str, Any],
        allocation: kv_memory.Allocation,
    ) -> Holding:
        """Add a holding; the body names it, its owner and its deadline."""
        name = body[f"{kind}_id"]
        holding = Holding(
            kind, name, body["owner"], body["deadline"], allocation
        )
        self._holdings[kind, name] = holding
        return holding

    def take(self, kind: str, name: str) -> kv_memory.Allocation | None:
        """Remove a holding and return its memory, which goes on being held."""
        holding = self._holdings.pop((kind, name), None)
        return holding.allocation if holding else None

    def free(self, kind: str, name: str) -> None:
        """Remove a holding, known or not, and free its memory."""
        allocation = self.take(kind, name)
        if allocation:
            self._memory.release(allocation)
