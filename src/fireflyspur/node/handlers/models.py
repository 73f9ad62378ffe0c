"""Handler that lists the models."""

import msgspec

from fireflyspur.generated import records
from fireflyspur.node.handlers import base


class ModelsHandler(base.CallerHandler):
    """``GET /v1/models``."""

    def get(self) -> None:
        """List the models that the account may use."""
        allowed = self.account().spec.models
        catalog = self._node.follower.catalog
        models = [
            {"id": name, "object": "model", "created": 0, "owned_by": "fleet"}
            for name in sorted(catalog.specs(records.ModelSpec))
            if allowed is None or name in allowed
        ]
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode({"object": "list", "data": models}))
