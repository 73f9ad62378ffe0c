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
    :param is_leaving: the engine takes no new work and is about to stop
    """

    held: EngineState
    loading: dict[str, Any] | None
    serves_any_model: bool
    incarnation: str
    is_leaving: bool


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
        bool(values.get("leaving", False)),
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


def missing(order: Order, seen: ObservedState) -> dict[str, bool]:
    """Return the weights that an order makes the engine fetch.

    :returns: ``model/NAME`` or ``adapter/NAME``; the value says whether the
        engine drops another version when the load starts
    """
    match order:
        case SetModels(models, adapters):
            return {
                f"{kind}/{name}": name in held
                for kind, held, wanted in (
                    ("model", seen.held.models, models),
                    ("adapter", seen.held.adapters, adapters),
                )
                for name, version in wanted.items()
                if held.get(name) != version
            }
        case SetRole():
            return {}


def displacement_bounds(
    names: dict[str, bool], specs: dict[str, records.EngineSpec]
) -> dict[str, int]:
    """Return how many engines may be without each of the weights.

    At most a quarter of the engines that the records give them to, and at
    least one, because a single engine has to load, too.

    :param names: result of :func:`missing`
    :returns: the bound, or 0 where the engine drops nothing
    """
    return {
        name: max(1, engines_with(name, specs) // 4) if drops else 0
        for name, drops in names.items()
    }


def engines_with(name: str, specs: dict[str, records.EngineSpec]) -> int:
    """Return the number of engines that records give weights to."""
    kind, _, weights = name.partition("/")
    return sum(
        weights in (spec.models if kind == "model" else spec.adapters)
        for spec in specs.values()
    )


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
