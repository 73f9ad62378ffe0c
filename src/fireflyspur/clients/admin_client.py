"""Client of a node's admin port."""

from typing import Any

import msgspec
from tornado import httpclient

from fireflyspur.clients import exceptions

_TIMEOUT_S = 10.0


class AdminClient:
    """Reads the state and the audit trail of a node.

    :param http: the shared HTTP client
    :param url: base URL of the node's admin port
    """

    def __init__(self, http: httpclient.AsyncHTTPClient, url: str) -> None:
        self._http = http
        self._url = url.rstrip("/")

    async def view(self) -> dict[str, Any]:
        """Return the node's view of the fleet.

        :raises NodeUnreachableError: if the node does not respond
        """
        return await self._fetch("/admin/view")

    async def audit_events(self) -> list[dict[str, Any]]:
        """Return the node's audit trail, oldest event first.

        :raises NodeUnreachableError: if the node does not respond
        """
        return (await self._fetch("/admin/audit"))["events"]

    async def _fetch(self, path: str) -> Any:
        try:
            response = await self._http.fetch(
                self._url + path,
                connect_timeout=_TIMEOUT_S,
                request_timeout=_TIMEOUT_S,
            )
            return msgspec.json.decode(response.body)
        except (
            httpclient.HTTPError,
            OSError,
            ValueError,
            msgspec.MsgspecError,
        ) as error:
            raise exceptions.NodeUnreachableError(
                f"no response from the node's admin port {self._url}: {error}"
            ) from error
