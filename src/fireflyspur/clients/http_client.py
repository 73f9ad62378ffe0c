"""HTTP client shared by all clients of this package."""

from tornado import httpclient
from tornado import simple_httpclient

# Each open stream uses a connection; a lower limit would queue new requests
# behind them.
_MAX_CONNECTIONS = 10_000
_MAX_RESPONSE_BYTES = 256 * 1024 * 1024
# Other numbers are no status codes of a final response (RFC 9110, section 15).
_STATUSES = range(200, 600)
_FRAMING_HEADERS = ("Content-Length", "Transfer-Encoding")


class _Connection(simple_httpclient._HTTPConnection):
    """Reports invalid responses as errors of the connection."""

    def finish(self) -> None:
        """End the request with its response, or with an error."""
        fault = self._find_fault()
        if fault is None:
            super().finish()
            return
        error = simple_httpclient.HTTPStreamClosedError(fault)
        self._handle_exception(type(error), error, None)

    def _find_fault(self) -> str | None:
        """Return why this is not a whole response, or None.

        Tornado takes a reset for the end of a body without a length.
        """
        if self.code not in _STATUSES:
            return f"invalid status {self.code}"
        is_framed = any(name in self.headers for name in _FRAMING_HEADERS)
        if not is_framed and self.stream.error is not None:
            return f"the response broke off: {self.stream.error}"
        return None


class _Client(simple_httpclient.SimpleAsyncHTTPClient):
    """Uses the connections above."""

    def _connection_class(self) -> type:
        return _Connection


def create() -> httpclient.AsyncHTTPClient:
    """Return a new client, which the caller must close."""
    return _Client(
        force_instance=True,
        max_clients=_MAX_CONNECTIONS,
        max_body_size=_MAX_RESPONSE_BYTES,
        max_buffer_size=_MAX_RESPONSE_BYTES,
    )
