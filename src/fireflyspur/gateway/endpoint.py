"""Endpoints of services."""

import dataclasses
import enum

from fireflyspur.gateway import address as addresses


class EndpointState(enum.StrEnum):
    """What an endpoint says of itself."""

    READY = "ready"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True)
class Endpoint:
    """One start of a server process of a service.

    :param instance: names this start
    :param born_ms: Unix time of the start in ms, or None if not known
    :param sequence: counts its reports since the start
    :param slots: requests that it works on at once
    """

    instance: str
    service: str
    address: addresses.Address
    failure_domain: str
    state: EndpointState
    slots: int
    sequence: int
    born_ms: int | None


@dataclasses.dataclass(frozen=True)
class EndpointList:
    """The endpoints that were registered at a moment.

    :param read_at_s: clock of this node when the read began
    """

    endpoints: tuple[Endpoint, ...]
    read_at_s: float
