"""Stand-in of the platform's VM list."""

import time
from typing import Any

from tornado import web

from fireflyspur.standins import server


class VmList:
    """VMs by name, shown with a lag.

    :param lag_s: seconds for which a change is not shown
    """

    def __init__(self, lag_s: float) -> None:
        self._lag_s = lag_s
        self._versions: list[tuple[float, dict[str, Any]]] = [(0.0, {})]
        self.down = False

    def put(self, name: str, vm: dict[str, Any] | None) -> None:
        """Add, change or (with None) remove a VM."""
        latest = dict(self._versions[-1][1])
        if vm is None:
            latest.pop(name, None)
        else:
            latest[name] = {**vm, "name": name}
        self._versions.append((time.monotonic(), latest))

    def shown(self) -> list[dict[str, Any]]:
        """Return the list as it was before the lag."""
        limit = time.monotonic() - self._lag_s
        visible = [vms for at, vms in self._versions if at <= limit]
        return list(visible[-1].values()) if visible else []


class _VmListHandler(server.JsonHandler):
    def initialize(self, vms: VmList) -> None:
        self._vms = vms


class VmsHandler(_VmListHandler):
    """``GET /vms``."""

    def get(self) -> None:
        """Respond with the lagging list."""
        if self._vms.down:
            self.refuse(503, "outage")
            return
        self.send({"vms": self._vms.shown()})


class VmHandler(_VmListHandler):
    """``/vms/NAME``: used by tests to change the list."""

    def put(self, name: str) -> None:
        """Add or change a VM.

        The body has ``role``, ``address``, ``port``, ``failure_domain`` and
        ``state``, which is ``live`` or ``leaving``.
        """
        self._vms.put(name, self.read_json())
        self.send({})

    def delete(self, name: str) -> None:
        """Remove a VM."""
        self._vms.put(name, None)
        self.send({})


class FaultsHandler(_VmListHandler):
    """``/faults``."""

    def post(self) -> None:
        """Set whether the list is down."""
        self._vms.down = bool(self.read_json().get("down", False))
        self.send({})


def application(lag_s: float) -> web.Application:
    """Return the stand-in's application."""
    arguments = {"vms": VmList(lag_s)}
    return web.Application(
        [
            ("/vms", VmsHandler, arguments),
            (r"/vms/([\w.-]+)", VmHandler, arguments),
            ("/faults", FaultsHandler, arguments),
        ],
        log_function=lambda handler: None,
    )
