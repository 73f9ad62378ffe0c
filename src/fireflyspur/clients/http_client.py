"""HTTP client shared by all clients of this package."""

from tornado import httpclient
from tornado import simple_httpclient

# Each open stream uses a connection; a lower limit would queue new requests
# behind them.
_MAX_CONNECTIONS = 10_000
_MAX_RESPONSE_BYTES = 256 * 1024 * 1024


def create() -> httpclient.AsyncHTTPClient:
    """Return a new client, which the caller must close."""
    return simple_httpclient.SimpleAsyncHTTPClient(
        force_instance=True,
        max_clients=_MAX_CONNECTIONS,
        max_body_size=_MAX_RESPONSE_BYTES,
        max_buffer_size=_MAX_RESPONSE_BYTES,
    )
