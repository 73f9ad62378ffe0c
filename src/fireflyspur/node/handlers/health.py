"""Handlers for the balancer."""

from fireflyspur.node import context
from fireflyspur.node.handlers import base


class HealthHandler(base.JsonErrorHandler):
    """``GET /healthz``: the process runs."""

    def get(self) -> None:
        """Answer that the process runs."""
        self.finish({"status": "ok"})


class ReadyHandler(base.JsonErrorHandler):
    """``GET /readyz``: the node takes requests."""

    def initialize(self, node: context.NodeContext) -> None:
        """Set the handler up for one request."""
        super().initialize()
        self._node = node

    def get(self) -> None:
        """Answer 200 when the node takes requests, else 503."""
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
