"""Health checks for the load balancer."""

from fireflyspur.node import context
from fireflyspur.node.handlers import json_error_handler


class HealthHandler(json_error_handler.JsonErrorHandler):
    """``GET /healthz``: liveness of the process."""

    def get(self) -> None:
        """Respond that the process is running."""
        self.finish({"status": "ok"})


class ReadyHandler(json_error_handler.JsonErrorHandler):
    """``GET /readyz``: whether the node accepts requests."""

    def initialize(self, node: context.NodeContext) -> None:
        """Set the handler up for one request."""
        super().initialize()
        self._node = node

    def get(self) -> None:
        """Respond with 200 if the node accepts requests, else with 503."""
        reason = self._find_reason()
        if reason:
            self.set_status(503)
        explanation = self._node.membership.freshness.explanation
        self.finish(
            {
                "ready": not reason,
                "reason": reason,
                "explanation": explanation,
            }
        )

    def _find_reason(self) -> str:
        if self._node.drain.is_stopping:
            return "stopping"
        if not self._node.follower.is_loaded:
            return "config_not_loaded"
        return self._node.membership.freshness.reason
