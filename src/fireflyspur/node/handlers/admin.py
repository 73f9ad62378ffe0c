"""HTTP handlers of the admin port."""

import dataclasses
from typing import Any

import msgspec

from fireflyspur.node import context
from fireflyspur.node.handlers import json_error_handler


class AdminHandler(json_error_handler.JsonErrorHandler):
    """Base class of the handlers on the admin port."""

    def initialize(self, node: context.NodeContext) -> None:
        """Set the handler up for one request."""
        super().initialize()
        self._node = node

    def send_json(self, value: Any) -> None:
        """Send a JSON response."""
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(value))


class ViewHandler(AdminHandler):
    """``GET /admin/view``: the state of the node."""

    def get(self) -> None:
        """Send the state of the node and its view of the engines."""
        follower, view = self._node.follower, self._node.router.view
        engines = [
            {
                "name": name,
                "address": spec.address,
                "port": spec.port,
                "failure_domain": spec.failure_domain,
                "role": spec.role,
                "outstanding": len(view.outstanding(name)),
                "leaving": view.is_leaving(spec.address, spec.port),
            }
            for name, spec in sorted(view.specs().items())
        ]
        self.send_json(
            {
                "node": self._node.settings.node.name,
                "failure_domain": self._node.settings.node.failure_domain,
                "config_offset": follower.catalog.offset,
                "log_reachable": follower.is_log_reachable,
                "stopping": self._node.drain.is_stopping,
                "requests_in_progress": self._node.drain.in_progress,
                "body_bytes_held": self._node.body_budget.used_bytes,
                "engines": engines,
                **self._node.membership.describe(),
                "prompts": self._node.runner.view(),
            }
        )


class AuditHandler(AdminHandler):
    """``GET /admin/audit``: the node's audit trail."""

    def get(self) -> None:
        """Send all events that the audit trail contains."""
        events = self._node.trail.events
        self.send_json({"events": [dataclasses.asdict(e) for e in events]})
