"""Observed and desired state of an engine, and the order between them."""

import dataclasses
from typing import Any

from fireflyspur.generated import records
from fireflyspur.records import catalog as catalogs


@dataclasses.dataclass(frozen=True)
class EngineState:
    """Versions of the weights by name, and the role.

    :param role: the router also reads the role, from the record
    """

    models: dict[str, str]
    adapters: dict[str, str]
    role: str


@dataclasses.dataclass(frozen=True)
class ObservedState:
    """State that an engine reports.

    :param resident: resident weights and the current role
    :param loading: models and adapters of the order in progress, or None
    :param serves_any_model: the engine serves all models and needs no order
    :param is_leaving: the engine accepts no requests and is about to stop
    """

    resident: EngineState
    loading: dict[str, Any] | None
    serves_any_model: bool
    incarnation: str
    is_leaving: bool


@dataclasses.dataclass(frozen=True)
class SetModels:
    """Order to load exactly these weights and drop all others."""

    models: dict[str, str]
    adapters: dict[str, str]


@dataclasses.dataclass(frozen=True)
class SetRole:
    """Order to switch to a role."""

    role: str


Order = SetModels | SetRole


def parse_state(values: dict[str, Any]) -> ObservedState:
    """Parse the response to ``GET /state``."""
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


def desired_state(
    catalog: catalogs.Catalog, spec: records.EngineSpec
) -> EngineState:
    """Return the state that the current records define for an engine.

    Models and adapters without a record of their own are excluded, because
    no version of them is defined.
    """
    models = catalog.specs(records.ModelSpec)
    adapters = catalog.specs(records.AdapterSpec)
    return EngineState(
        {m: models[m].version for m in spec.models if m in models},
        {a: adapters[a].version for a in spec.adapters if a in adapters},
        str(spec.role),
    )


def next_order(desired: EngineState, observed: ObservedState) -> Order | None:
    """Return the next order that the desired state requires, if any.

    Orders name the whole state, so it is safe to send one twice.
    """
    if observed.resident.role != desired.role:
        return SetRole(desired.role)
    if observed.serves_any_model:
        return None
    target = {"models": desired.models, "adapters": desired.adapters}
    if observed.loading == target:
        return None
    resident = {
        "models": observed.resident.models,
        "adapters": observed.resident.adapters,
    }
    if resident == target and observed.loading is None:
        return None
    return SetModels(desired.models, desired.adapters)


def weights_to_fetch(order: Order, observed: ObservedState) -> dict[str, bool]:
    """Return the weights that the engine must fetch to execute an order.

    :returns: ``model/NAME`` or ``adapter/NAME``; the value says whether the
        engine drops another version when the load starts
    """
    match order:
        case SetModels(models, adapters):
            return {
                f"{kind}/{name}": name in resident
                for kind, resident, desired in (
                    ("model", observed.resident.models, models),
                    ("adapter", observed.resident.adapters, adapters),
                )
                for name, version in desired.items()
                if resident.get(name) != version
            }
        case SetRole():
            return {}


def displacement_bounds(
    names: dict[str, bool], specs: dict[str, records.EngineSpec]
) -> dict[str, int]:
    """Return how many engines may be without each of the weights at once.

    The bound is a quarter of the engines to which the records assign them,
    but at least one, because a single engine must be able to load, too.

    :param names: result of :func:`weights_to_fetch`
    :returns: the bounds; 0 if the engine drops no version
    """
    return {
        name: max(1, count_engines(name, specs) // 4) if is_displaced else 0
        for name, is_displaced in names.items()
    }


def count_engines(name: str, specs: dict[str, records.EngineSpec]) -> int:
    """Return the number of engines to which the records assign weights."""
    kind, _, weights = name.partition("/")
    return sum(
        weights in (spec.models if kind == "model" else spec.adapters)
        for spec in specs.values()
    )


def to_wire(order: Order) -> dict[str, Any]:
    """Return an order in the form in which it is sent to the engine."""
    match order:
        case SetModels(models, adapters):
            return {
                "type": "set_models",
                "models": models,
                "adapters": adapters,
            }
        case SetRole(role):
            return {"type": "set_role", "role": role}
