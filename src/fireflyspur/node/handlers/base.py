"""What all handlers for callers share."""

import asyncio
import contextlib
import math
import time
from typing import Any
import uuid

import msgspec
from tornado import iostream
from tornado import web

from fireflyspur.admission import authenticator
from fireflyspur.admission import exceptions as admission_exceptions
from fireflyspur.errors import exceptions
from fireflyspur.errors import verdict
from fireflyspur.node import context
from fireflyspur.observability import logs

_DECODE_IN_THREAD_BYTES = 256 * 1024
_RETRY_AFTER_S = 1.0

_log = logs.log_for("http")


class NotFoundError(exceptions.FireflyspurError):
    """No resource has this path."""

    code = "not_found"
    http_status = 404


class MethodNotAllowedError(exceptions.FireflyspurError):
    """The resource does not have this method."""

    code = "method_not_allowed"
    http_status = 405


def error_body(error: Exception, request_id: str) -> dict[str, Any]:
    """Return the JSON form of an error.

    :param error: the error
    :param request_id: identity of the request that failed
    """
    code, seen = "internal_error", verdict.Verdict.MAY_HAVE_RUN
    message = "the node failed to handle the request"
    if isinstance(error, exceptions.FireflyspurError):
        code, seen, message = error.code, error.verdict, str(error)
    return {
        "error": {
            "code": code,
            "type": code,
            "message": message,
            "request_id": request_id,
            "verdict": str(seen),
        }
    }


@web.stream_request_body
class CallerHandler(web.RequestHandler):
    """Reads the body by a byte budget and reports errors as JSON."""

    def initialize(self, node: context.NodeContext) -> None:
        """Set the handler up for one request."""
        self._node = node
        self._request_id = f"req-{uuid.uuid4()}"
        self._received_at = time.monotonic()
        self._chunks: list[bytes] = []
        self._held_bytes = 0
        self._disconnected = asyncio.Event()
        self._stack = contextlib.ExitStack()

    @property
    def request_id(self) -> str:
        """Identity of the request."""
        return self._request_id

    def prepare(self) -> None:
        """Admit the request and announce the body's size to the budget."""
        self.set_header("X-Request-Id", self._request_id)
        self._stack.enter_context(self._node.drain.request())
        if not self._node.follower.is_loaded:
            raise admission_exceptions.NotAdmittingError(
                "the node has no configuration yet",
                retry_after_s=_RETRY_AFTER_S,
            )
        self._node.membership.freshness.check()
        declared = self.request.headers.get("Content-Length", "0")
        if declared.isdigit():
            self._acquire_body(int(declared))

    def data_received(self, chunk: bytes) -> None:
        """Take one piece of the body."""
        size = sum(len(c) for c in self._chunks) + len(chunk)
        if size > self._held_bytes:
            self._acquire_body(size - self._held_bytes)
        self._chunks.append(chunk)

    def on_connection_close(self) -> None:
        """Note that the caller has gone."""
        self._disconnected.set()

    def on_finish(self) -> None:
        """Give back what the request held."""
        self._node.bodies.release(self._held_bytes)
        self._held_bytes = 0
        self._stack.close()

    def take_body(self) -> bytes:
        """Return the body and forget its pieces."""
        body = b"".join(self._chunks)
        self._chunks.clear()
        return body

    async def read_json(self, body_type: Any) -> Any:
        """Decode the body.

        :param body_type: type that the body must have
        :raises InvalidInputError: if the body does not have that type
        """
        body = self.take_body()
        try:
            if len(body) < _DECODE_IN_THREAD_BYTES:
                return msgspec.json.decode(body, type=body_type)
            return await asyncio.to_thread(
                msgspec.json.decode, body, type=body_type
            )
        except msgspec.MsgspecError as error:
            raise exceptions.InvalidInputError(
                f"the body is not valid: {error}"
            ) from error

    def account(self) -> authenticator.Account:
        """Return the account of the request's key.

        :raises UnauthorizedError: if the key is missing or unknown
        """
        header = self.request.headers.get("Authorization", "")
        return self._node.authenticator.authenticate(header)

    def timeout_s(self, account: authenticator.Account) -> float:
        """Return the request's time limit in seconds.

        :raises InvalidInputError: if the header is not a positive number
        """
        raw = self.request.headers.get("Request-Timeout")
        if raw is None:
            return account.spec.default_timeout_s
        try:
            value = float(raw)
        except ValueError:
            value = 0.0
        if not math.isfinite(value) or value <= 0:
            raise exceptions.InvalidInputError(
                "Request-Timeout: expected a positive number of seconds,"
                f" found {raw!r:.40}"
            )
        return min(value, account.spec.max_timeout_s)

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answer with the JSON form of an error."""
        error = kwargs.get("exc_info", (None, None, None))[1]
        match error:
            case exceptions.FireflyspurError():
                self.set_status(error.http_status)
                if error.retry_after_s is not None:
                    seconds = max(1, math.ceil(error.retry_after_s))
                    self.set_header("Retry-After", str(seconds))
            case web.HTTPError(status_code=405):
                error = MethodNotAllowedError("the method is not allowed")
            case web.HTTPError():
                error = exceptions.InvalidInputError(str(error))
        if status_code == 405:
            self.set_status(405)
        self.set_header("Content-Type", "application/json")
        self.set_header("X-Request-Id", self._request_id)
        self.finish(
            msgspec.json.encode(
                error_body(error or Exception(), self._request_id)
            )
        )

    def log_exception(self, typ: Any, value: Any, tb: Any) -> None:
        """Log what is not an ordinary refusal."""
        match value:
            case exceptions.FireflyspurError():
                _log.debug("Request {} failed: {}", self._request_id, value)
            case iostream.StreamClosedError() | web.HTTPError():
                _log.debug("Request {} ended: {}", self._request_id, value)
            case _:
                _log.opt(exception=value).error(
                    "Request {} raised an error", self._request_id
                )

    def _acquire_body(self, more_bytes: int) -> None:
        try:
            self._node.bodies.acquire(self._held_bytes, more_bytes)
        except exceptions.FireflyspurError:
            # The rest of the body is not read, so the connection must end.
            self.set_header("Connection", "close")
            raise
        self._held_bytes += more_bytes


class UnknownPathHandler(CallerHandler):
    """Answers paths that no other handler has."""

    def prepare(self) -> None:
        """Refuse the request."""
        raise NotFoundError(f"no resource has the path {self.request.path}")
