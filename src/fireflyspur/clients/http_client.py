"""The HTTP client that all clients of the package share."""

from tornado import httpclient
from tornado import simple_httpclient

# Open streams hold a connection each; a lower limit would queue new requests
# behind them.
_MAX_CONNECTIONS = 10_000
_MAX_RESPONSE_BYTES = 256 * 1024 * 1024


def create() -> httpclient.AsyncHTTPClient:
    """Return a new client; the caller closes it."""
    return simple_httpclient.SimpleAsyncHTTPClient(
        force_instance=True,
        max_clients=_MAX_CONNECTIONS,
        max_body_size=_MAX_RESPONSE_BYTES,
        max_buffer_size=_MAX_RESPONSE_BYTES,
    )
