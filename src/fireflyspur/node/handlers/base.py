"""Base classes of the handlers for callers."""

import asyncio
import contextlib
import math
import time
from typing import Any

import msgspec
from tornado import iostream
from tornado import web

from fireflyspur.admission import authenticator
from fireflyspur.admission import exceptions as admission_exceptions
from fireflyspur.errors import exceptions as base_exceptions
from fireflyspur.errors import verdict
from fireflyspur.node import context
from fireflyspur.node.handlers import exceptions
from fireflyspur.node.handlers import json_error_handler
from fireflyspur.node.handlers import request_summary
from fireflyspur.observability import logs

_DECODE_IN_THREAD_BYTES = 256 * 1024
_RETRY_AFTER_S = 1.0
# How long the rest of a refused body is read and discarded. Closing a
# connection with unread data resets it, and the caller may lose the response.
_DISCARD_TIMEOUT_S = 5.0
# Logged status of a request whose caller disconnected, as in nginx.
_CLIENT_CLOSED_STATUS = 499

_log = logs.log_for("http")


@web.stream_request_body
class CallerHandler(json_error_handler.JsonErrorHandler):
    """Base class of the handlers for callers.

    Admits the request and reads its body within the node's byte budget.
    """

    def initialize(self, node: context.NodeContext) -> None:
        """Set the handler up for one request."""
        super().initialize()
        self._node = node
        self._received_at = time.monotonic()
        self._chunks: list[bytes] = []
        self._received_bytes = 0
        self._reserved_bytes = 0
        self._is_refused = False
        self._disconnected = asyncio.Event()
        self._stack = contextlib.ExitStack()
        self._body_timer: asyncio.TimerHandle | None = None
        self._account: authenticator.Account | None = None
        self._summary = request_summary.RequestSummary()

    @property
    def request_id(self) -> str:
        """ID of the request."""
        return self._request_id

    def prepare(self) -> None:
        """Admit the request, or refuse it before its body is read."""
        self.set_header("X-Request-Id", self._request_id)
        if self._node.drain.is_stopping:
            # A load balancer cannot move a connection that its caller keeps
            # open.
            self.set_header("Connection", "close")
        # Tornado calls on_finish only after a response. This task always
        # ends, even if the connection is lost while the body is read.
        task = asyncio.current_task()
        if task is not None:
            task.add_done_callback(lambda _: self._clean_up())
        try:
            self.admit()
        except base_exceptions.FireflyspurError as error:
            self._refuse(error)

    def admit(self) -> None:
        """Check the request and reserve memory for a body of known size.

        :raises FireflyspurError: if the request is refused
        """
        self._check_headers()
        self._stack.enter_context(self._node.drain.track_request())
        self._node.metrics.set_in_progress(self._node.drain.in_progress)
        if not self._node.follower.is_loaded:
            raise admission_exceptions.NotAdmittingError(
                "the node has no configuration yet",
                retry_after_s=_RETRY_AFTER_S,
            )
        self._node.membership.freshness.check()
        account = self.account()
        if not self._has_body():
            return
        declared = self.request.headers.get("Content-Length", "")
        if declared.isascii() and declared.isdigit():
            self._acquire_body(int(declared))
        self._body_timer = asyncio.get_running_loop().call_later(
            self.timeout_s(account),
            self._refuse,
            exceptions.BodyTimeoutError(
                "the body did not arrive within the time limit"
            ),
        )

    def data_received(self, chunk: bytes) -> None:
        """Buffer a chunk of the body, or refuse it if over budget."""
        if self._is_refused:
            return
        size = self._received_bytes + len(chunk)
        if size > self._reserved_bytes:
            try:
                self._acquire_body(size - self._reserved_bytes)
            except base_exceptions.FireflyspurError as error:
                self._refuse(error)
                return
        self._received_bytes = size
        self._chunks.append(chunk)

    def on_connection_close(self) -> None:
        """Record that the caller disconnected."""
        super().on_connection_close()
        self._disconnected.set()
        self._summary.is_cancelled = not (self._finished or self._is_refused)

    def take_body(self) -> bytes:
        """Return the whole body and clear the buffered chunks."""
        if self._body_timer is not None:
            self._body_timer.cancel()
        body = b"".join(self._chunks)
        self._chunks.clear()
        return body

    async def read_json(self, body_type: Any) -> Any:
        """Decode the body.

        :param body_type: type that the body must have
        :raises InvalidInputError: if the body is not valid JSON of that type
        """
        body = self.take_body()
        try:
            if len(body) < _DECODE_IN_THREAD_BYTES:
                return msgspec.json.decode(body, type=body_type)
            return await asyncio.to_thread(
                msgspec.json.decode, body, type=body_type
            )
        except msgspec.MsgspecError as error:
            raise base_exceptions.InvalidInputError(
                f"the body is not valid: {error}"
            ) from error

    def account(self) -> authenticator.Account:
        """Return the account of the request's API key.

        :raises UnauthorizedError: if the key is missing or unknown
        """
        if self._account is None:
            header = self.request.headers.get("Authorization", "")
            self._account = self._node.authenticator.authenticate(header)
            self._summary.account = self._account.name
        return self._account

    def timeout_s(self, account: authenticator.Account) -> float:
        """Return the request's timeout in seconds.

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
            raise base_exceptions.InvalidInputError(
                "Request-Timeout: expected a positive number of seconds,"
                f" found {raw!r:.40}"
            )
        return min(value, account.spec.max_timeout_s)

    def set_error(self, error: Exception, status_code: int = 500) -> bytes:
        """Set the status and headers of an error response and record it.

        :returns: the body of the response
        """
        self.record_error(error)
        return super().set_error(error, status_code)

    def record_error(self, error: Exception) -> None:
        """Record an error for the request's log line and metrics."""
        body = json_error_handler.error_body(error, self._request_id)["error"]
        self._summary.code = body["code"]
        self._summary.verdict = body["verdict"]

    def log_exception(self, typ: Any, value: Any, tb: Any) -> None:
        """Log unexpected exceptions as errors, all others for debugging."""
        match value:
            case base_exceptions.FireflyspurError():
                _log.debug("Request {} failed: {}", self._request_id, value)
            case iostream.StreamClosedError() | web.HTTPError():
                _log.debug("Request {} ended: {}", self._request_id, value)
            case _:
                _log.opt(exception=value).error(
                    "Request {} raised an error", self._request_id
                )

    def _acquire_body(self, more_bytes: int) -> None:
        self._node.body_budget.acquire(self._reserved_bytes, more_bytes)
        self._reserved_bytes += more_bytes

    def _release_body(self) -> None:
        self._chunks.clear()
        self._node.body_budget.release(self._reserved_bytes)
        self._reserved_bytes = 0

    def _has_body(self) -> bool:
        headers = self.request.headers
        return (
            headers.get("Content-Length", "0") != "0"
            or "Transfer-Encoding" in headers
        )

    def _check_headers(self) -> None:
        limit = self._node.settings.limits.max_header_bytes
        size = len(self.request.uri or "") + sum(
            len(name) + len(value) + len(": \r\n")
            for name, value in self.request.headers.get_all()
        )
        if size > limit:
            raise exceptions.HeadersTooLargeError(
                f"the headers are larger than {limit} bytes"
            )

    def _refuse(self, error: base_exceptions.FireflyspurError) -> None:
        """Respond at once and discard the rest of the body."""
        if self._is_refused or self._finished:
            return
        self._is_refused = True
        self._release_body()
        body = self.set_error(error)
        # Tornado calls the method's handler once the body has been read.
        # Finishing the response earlier would close the connection while the
        # caller may already be sending its next request on it.
        setattr(self, str(self.request.method).lower(), self._finish_refused)
        if not self._has_body():
            self.write(body)
            return
        self.set_header("Connection", "close")
        self.set_header("Content-Length", str(len(body)))
        self.write(body)
        self.flush()
        asyncio.get_running_loop().call_later(
            _DISCARD_TIMEOUT_S, self._finish_refused
        )

    def _finish_refused(self, *_: str) -> None:
        # Tornado passes the groups of the path, which are not needed here.
        if not self._finished:
            self.finish()

    def _clean_up(self) -> None:
        """Release the resources of the request and report its outcome."""
        if self._body_timer is not None:
            self._body_timer.cancel()
        self._release_body()
        self._stack.close()
        self._report_outcome()

    def _report_outcome(self) -> None:
        summary, metrics = self._summary, self._node.metrics
        duration_s = time.monotonic() - self._received_at
        status = self.get_status()
        match summary:
            case request_summary.RequestSummary(is_cancelled=True):
                outcome, status = "cancelled", _CLIENT_CLOSED_STATUS
            case request_summary.RequestSummary(code=""):
                outcome = "ok"
            case request_summary.RequestSummary(
                verdict=verdict.Verdict.NOT_RUN
            ):
                outcome = "refused"
                metrics.count_refused(summary.code)
            case _:
                outcome = "failed"
        metrics.count_request(outcome, duration_s)
        metrics.count_retries(summary.retries)
        metrics.set_in_progress(self._node.drain.in_progress)
        _log.bind(
            request_id=self._request_id,
            account=summary.account,
            model=summary.model,
            status=status,
            code=summary.code,
            verdict=summary.verdict,
            duration_ms=round(duration_s * 1000),
            prompt_tokens=summary.prompt_tokens,
            completion_tokens=summary.completion_tokens,
        ).info(
            "{} {:.100} {}", self.request.method, self.request.path, outcome
        )


class UnknownPathHandler(CallerHandler):
    """Responds with 404 to unknown paths on the port for callers."""

    def admit(self) -> None:
        """Refuse the request."""
        self._check_headers()
        raise exceptions.NotFoundError(
            f"no resource has the path {self.request.path:.200}"
        )
