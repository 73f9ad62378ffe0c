"""Client of the platform's VM list."""

import dataclasses

import msgspec
from tornado import httpclient

from fireflyspur.clients import exceptions

_TIMEOUT_S = 2.0

LEAVING = "leaving"
NODE_ROLE = "node"


@dataclasses.dataclass(frozen=True)
class Vm:
    """Entry of the VM list.

    :param role: ``node``, ``engine`` or ``service``
    :param port: peer port of a node, or port of an endpoint
    :param state: ``live`` or ``leaving``
    """

    name: str
    role: str
    address: str
    port: int
    failure_domain: str = ""
    state: str = "live"

    @property
    def is_leaving(self) -> bool:
        """Whether the VM is about to stop."""
        return self.state == LEAVING


@dataclasses.dataclass(frozen=True)
class _VmPage:
    vms: list[Vm]


class VmListClient:
    """Reads the VM list.

    :param http: the shared HTTP client
    :param url: base URL of the VM list
    """

    def __init__(self, http: httpclient.AsyncHTTPClient, url: str) -> None:
        self._http = http
        self._url = url

    async def read(self) -> list[Vm]:
        """Return the listed VMs; the list may lag behind the actual state.

        :raises VmListUnavailableError: if the list does not respond
        """
        try:
            response = await self._http.fetch(
                f"{self._url}/vms",
                connect_timeout=_TIMEOUT_S,
                request_timeout=_TIMEOUT_S,
            )
            return msgspec.json.decode(response.body, type=_VmPage).vms
        except (
            httpclient.HTTPError,
            OSError,
            msgspec.MsgspecError,
        ) as error:
            raise exceptions.VmListUnavailableError(
                f"the VM list did not respond: {error}"
            ) from error
