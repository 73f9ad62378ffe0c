"""Placement policies that experiments compare."""

import random
from typing import Protocol

from fireflyspur.experiment import example_engine
from fireflyspur.gateway.configuration import routing_config
from fireflyspur.gateway.endpoints import endpoint_directory
from fireflyspur.gateway.scheduling import engine_candidates
from fireflyspur.gateway.scheduling import in_flight_table
from fireflyspur.gateway.scheduling import placement
from fireflyspur.gateway.scheduling import placement_cost


class Policy(Protocol):
    """Chooses the engines for a prompt."""

    def choose_engine(
        self,
        service: routing_config.Service,
        demand: placement_cost.Demand,
        excluded: frozenset[str],
    ) -> placement.Placement | None:
        """Choose engines; return None if none is available."""


class LeastLoadedPolicy:
    """Chooses the engine with the fewest requests, as simple proxies do."""

    def __init__(
        self,
        directory: endpoint_directory.EndpointDirectory,
        table: in_flight_table.InFlightTable,
    ) -> None:
        self._directory = directory
        self._table = table

    def choose_engine(
        self,
        service: routing_config.Service,
        demand: placement_cost.Demand,
        excluded: frozenset[str],
    ) -> placement.Placement | None:
        """Choose by the number of requests; ties are broken at random."""
        available = [
            endpoint
            for endpoint in self._directory.ready(service.name)
            if endpoint.instance not in excluded
            and not self._directory.is_paused(endpoint.instance)
        ]
        if not available:
            return None
        best = min(
            available,
            key=lambda endpoint: (
                self._table.count(endpoint.instance),
                random.random(),
            ),
        )
        return placement.Placement(best)


def build(
    name: str,
    directory: endpoint_directory.EndpointDirectory,
    table: in_flight_table.InFlightTable,
) -> Policy:
    """Return the policy of a node.

    :raises ValueError: if no policy has this name
    """
    match name:
        case "predicted":
            return placement.EndpointSelector(
                directory,
                table,
                engine_candidates.EngineCandidates.for_one_pool(
                    directory, table
                ),
                example_engine.FAILURE_DOMAIN,
            )
        case "least_loaded":
            return LeastLoadedPolicy(directory, table)
        case _:
            raise ValueError(f"unknown placement policy: {name}")


NAMES = ("predicted", "least_loaded")
