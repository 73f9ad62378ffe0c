"""Interface of the gateway to the platform's store."""

import abc
from collections.abc import Callable
import dataclasses

from fireflyspur.gateway.common import address as addresses
from fireflyspur.gateway.common import exceptions
from fireflyspur.gateway.configuration import evacuations as states
from fireflyspur.gateway.configuration import routing_config
from fireflyspur.gateway.endpoints import endpoint as endpoints


@dataclasses.dataclass(frozen=True)
class ConfigRead:
    """The newest configuration at one point in time.

    :param config: newest one that can be used; None if there is none, or none
        newer than the last one
    :param read_at_s: clock of this node when the read started
    :param position: position in the store's log from which it was read
    :param end: position that the next record will have, as the store says
    :param evacuations: evacuations in force at that time, or None if they
        were not read
    :param error: why the newest configuration cannot be used, or None
    """

    config: routing_config.RoutingConfig | None
    read_at_s: float
    position: int = 0
    end: int = 0
    evacuations: states.EvacuationState | None = None
    error: exceptions.RecordInvalidError | None = None


@dataclasses.dataclass(frozen=True)
class NodeEntry:
    """What a node registers.

    :param address: address at which it receives datagrams
    """

    address: addresses.Address
    failure_domain: str


class Registry(abc.ABC):
    """Reads configuration, endpoints and nodes; each call costs a fee."""

    @abc.abstractmethod
    def count_calls(self, count: Callable[[str, str], None]) -> None:
        """Set what counts each call, by topic and outcome.

        An operation may need several calls.
        """

    @abc.abstractmethod
    async def read_config(self) -> ConfigRead:
        """Read the newest configuration.

        :raises StoreUnavailableError: if the store does not respond
        """

    @abc.abstractmethod
    async def wait_config(self, wait_s: float) -> ConfigRead:
        """Wait for a configuration newer than the last one that was read.

        :param wait_s: seconds after which the store responds in any case
        :raises StoreUnavailableError: if the store does not respond
        """

    @abc.abstractmethod
    async def read_endpoints(self) -> endpoints.EndpointList:
        """Read the registered endpoints.

        :raises StoreUnavailableError: if the store does not respond
        """

    @abc.abstractmethod
    async def register_node(self, name: str, entry: NodeEntry) -> int:
        """Register this node so that the other nodes can find it.

        :returns: epoch of the store; a restore may lose the entry
        :raises StoreUnavailableError: if the store does not respond
        """

    @abc.abstractmethod
    async def read_nodes(self) -> dict[str, NodeEntry]:
        """Return all nodes that have ever registered, by name.

        :raises StoreUnavailableError: if the store does not respond
        """
