"""Endpoints of services."""

import dataclasses
import enum

from fireflyspur.gateway.common import address as addresses


class EndpointState(enum.StrEnum):
    """State that an endpoint reports."""

    READY = "ready"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True)
class Endpoint:
    """One run of a server process of a service.

    :param instance: identifies this run of the process
    :param slots: maximum number of concurrent requests
    :param sequence: number of reports since the start
    :param born_ms: Unix time of the start in ms, or None if not known
    :param cold_ms: time for which it was still cold when it
        reported; 0 if it was not cold
    """

    instance: str
    service: str
    address: addresses.Address
    failure_domain: str
    state: EndpointState
    slots: int
    sequence: int
    born_ms: int | None
    cold_ms: int = 0


@dataclasses.dataclass(frozen=True)
class EndpointList:
    """The endpoints that were registered at one point in time.

    :param read_at_s: clock of this node when the read started
    :param epoch: number of times that the store came back from an older copy
    """

    endpoints: tuple[Endpoint, ...]
    read_at_s: float
    epoch: int = 0
