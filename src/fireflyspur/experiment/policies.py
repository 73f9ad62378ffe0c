"""The policies that experiments compare."""

import random
from typing import Protocol

from fireflyspur.experiment import example_engine
from fireflyspur.gateway import endpoint_directory
from fireflyspur.gateway import in_flight_table
from fireflyspur.gateway import placement
from fireflyspur.gateway import placement_cost
from fireflyspur.gateway import routing_config


class Policy(Protocol):
    """Chooses the engines for a prompt."""

    def choose_engine(
        self,
        service: routing_config.Service,
        demand: placement_cost.Demand,
        excluded: frozenset[str],
    ) -> placement.Placement | None:
        """Choose engines, or none."""


class LeastLoadedPolicy:
    """The engine with the fewest requests, as simple proxies choose."""

    def __init__(
        self,
        directory: endpoint_directory.EndpointDirectory,
        book: in_flight_table.InFlightTable,
    ) -> None:
        self._directory = directory
        self._book = book

    def choose_engine(
        self,
        service: routing_config.Service,
        demand: placement_cost.Demand,
        excluded: frozenset[str],
    ) -> placement.Placement | None:
        """Choose by the number of requests; ties are broken by chance."""
        usable = [
            item
            for item in self._directory.ready(service.name)
            if item.instance not in excluded
            and not self._directory.is_paused(item.instance)
        ]
        if not usable:
            return None
        best = min(
            usable,
            key=lambda item: (
                self._book.count(item.instance),
                random.random(),
            ),
        )
        return placement.Placement(best)


def build(
    name: str,
    directory: endpoint_directory.EndpointDirectory,
    book: in_flight_table.InFlightTable,
) -> Policy:
    """Return a policy of a node."""
    match name:
        case "predicted":
            return placement.EndpointSelector(
                directory, book, example_engine.FAILURE_DOMAIN
            )
        case "least_loaded":
            return LeastLoadedPolicy(directory, book)
        case _:
            raise ValueError(f"no policy is named {name}")


NAMES = ("predicted", "least_loaded")
