"""Error responses in JSON."""

import math
from typing import Any
import uuid

import msgspec
from tornado import web

from fireflyspur.errors import exceptions as base_exceptions
from fireflyspur.errors import verdict
from fireflyspur.node.handlers import exceptions


def error_body(error: Exception, request_id: str) -> dict[str, Any]:
    """Return the body of an error response.

    :param error: the error
    :param request_id: ID of the failed request
    """
    code, error_verdict = "internal_error", verdict.Verdict.MAY_HAVE_RUN
    message = "the node failed to handle the request"
    if isinstance(error, base_exceptions.FireflyspurError):
        code, error_verdict, message = error.code, error.verdict, str(error)
    return {
        "error": {
            "code": code,
            "type": code,
            "message": message,
            "request_id": request_id,
            "verdict": str(error_verdict),
        }
    }


class JsonErrorHandler(web.RequestHandler):
    """Base class of handlers that report errors as JSON."""

    def initialize(self) -> None:
        """Set the handler up for one request."""
        self._request_id = f"req-{uuid.uuid4()}"

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Send the error as a JSON response."""
        error = kwargs.get("exc_info", (None, None, None))[1]
        if self.request.method not in self.SUPPORTED_METHODS:
            # Tornado responds before it reads the body, then closes the
            # connection.
            self.set_header("Connection", "close")
        self.finish(self.set_error(error or Exception(), status_code))

    def set_error(self, error: Exception, status_code: int = 500) -> bytes:
        """Set the status and headers of an error response.

        :returns: the body of the response
        """
        match error:
            case base_exceptions.FireflyspurError():
                status_code = error.http_status
                if error.retry_after_s is not None:
                    seconds = max(1, math.ceil(error.retry_after_s))
                    self.set_header("Retry-After", str(seconds))
            case web.HTTPError(status_code=404):
                error = exceptions.NotFoundError(
                    f"no resource has the path {self.request.path:.200}"
                )
            case web.HTTPError(status_code=405):
                error = exceptions.MethodNotAllowedError(
                    f"the resource does not support {self.request.method:.20}"
                )
                self.set_header("Allow", ", ".join(self._methods()))
            case web.HTTPError():
                error = base_exceptions.InvalidInputError(str(error))
        self.set_status(status_code)
        self.set_header("Content-Type", "application/json")
        self.set_header("X-Request-Id", self._request_id)
        return msgspec.json.encode(error_body(error, self._request_id))

    def _methods(self) -> list[str]:
        return [
            name
            for name in self.SUPPORTED_METHODS
            if getattr(type(self), name.lower())
            is not getattr(web.RequestHandler, name.lower())
        ]


class UnknownAdminPathHandler(JsonErrorHandler):
    """Responds with 404 to unknown paths on the admin port."""

    def prepare(self) -> None:
        """Refuse the request."""
        raise exceptions.NotFoundError(
            f"no resource has the path {self.request.path:.200}"
        )
