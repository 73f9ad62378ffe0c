"""What an engine holds, and what the records want it to hold."""

import dataclasses
from typing import Any

from fireflyspur.generated import records
from fireflyspur.records import catalog as catalogs


@dataclasses.dataclass(frozen=True)
class EngineState:
    """Weights by name and version, and the role.

    :param role: role that the router reads from the record as well
    """

    models: dict[str, str]
    adapters: dict[str, str]
    role: str


@dataclasses.dataclass(frozen=True)
class ObservedState:
    """What an engine says of itself.

    :param held: what is resident
    :param loading: models and adapters of the order under way, or None
    :param serves_any_model: the engine takes all models and needs no order
    """

    held: EngineState
    loading: dict[str, Any] | None
    serves_any_model: bool
    incarnation: str


@dataclasses.dataclass(frozen=True)
class SetModels:
    """Order to hold exactly these weights."""

    models: dict[str, str]
    adapters: dict[str, str]


@dataclasses.dataclass(frozen=True)
class SetRole:
    """Order to work in a role."""

    role: str


Order = SetModels | SetRole


def observed(values: dict[str, Any]) -> ObservedState:
    """Read the answer to ``GET /state``."""
    return ObservedState(
        EngineState(
            dict(values.get("models") or {}),
            dict(values.get("adapters") or {}),
            str(values.get("role", "any")),
        ),
        values.get("loading"),
        bool(values.get("serves_any_model", False)),
        str(values.get("incarnation", "")),
    )


def desired(
    catalog: catalogs.Catalog, spec: records.EngineSpec
) -> EngineState:
    """Return what the records in force want an engine to hold.

    Models and adapters without a record of their own are left out: there is
    no version of them to load.
    """
    models = catalog.specs(records.ModelSpec)
    adapters = catalog.specs(records.AdapterSpec)
    return EngineState(
        {m: models[m].version for m in spec.models if m in models},
        {a: adapters[a].version for a in spec.adapters if a in adapters},
        str(spec.role),
    )


def next_order(wanted: EngineState, seen: ObservedState) -> Order | None:
    """Return the order that brings an engine nearer to what is wanted.

    Orders name the whole state, so sending one twice does no harm.
    """
    if seen.held.role != wanted.role:
        return SetRole(wanted.role)
    if seen.serves_any_model:
        return None
    target = {"models": wanted.models, "adapters": wanted.adapters}
    if seen.loading == target:
        return None
    held = {"models": seen.held.models, "adapters": seen.held.adapters}
    if held == target and seen.loading is None:
        return None
    return SetModels(wanted.models, wanted.adapters)


def needs_weights(order: Order, seen: ObservedState) -> bool:
    """Whether an order makes the engine fetch from the weight store."""
    match order:
        case SetModels(models, adapters):
            return any(
                seen.held.models.get(n) != v for n, v in models.items()
            ) or any(
                seen.held.adapters.get(n) != v for n, v in adapters.items()
            )
        case SetRole():
            return False


def to_wire(order: Order) -> dict[str, Any]:
    """Return the form that the engine is sent."""
    match order:
        case SetModels(models, adapters):
            return {
                "type": "set_models",
                "models": models,
                "adapters": adapters,
            }
        case SetRole(role):
            return {"type": "set_role", "role": role}
