"""Errors raised by the clients of the platform and the endpoints."""

from fireflyspur.errors import exceptions


class LogUnavailableError(exceptions.FireflyspurError):
    """The log did not respond, or refused the request."""

    code = "log_unavailable"
    http_status = 503


class RecordsExpiredError(exceptions.FireflyspurError):
    """The requested records are older than the log's retention period."""

    code = "records_expired"


class VmListUnavailableError(exceptions.FireflyspurError):
    """The VM list did not respond, or its response is invalid."""

    code = "vm_list_unavailable"
    http_status = 503


class EngineUnavailableError(exceptions.FireflyspurError):
    """The engine could not be reached, so nothing was sent to it."""

    code = "engine_unavailable"
    http_status = 503


class EngineRefusedError(exceptions.FireflyspurError):
    """The engine refused the request.

    :param reason: the engine's error code, such as ``leaving``
    """

    code = "engine_refused"
    http_status = 503

    def __init__(self, reason: str) -> None:
        super().__init__(f"the engine refused the request: {reason}")
        self._reason = reason

    @property
    def reason(self) -> str:
        """The engine's error code."""
        return self._reason


class EngineConnectionLostError(exceptions.FireflyspurError):
    """The connection to the engine broke while a stream was open."""

    code = "engine_connection_lost"
    http_status = 502


class ServiceUnavailableError(exceptions.FireflyspurError):
    """No endpoint of the service accepted the call."""

    code = "service_unavailable"
    http_status = 503


class ServiceConnectionLostError(exceptions.FireflyspurError):
    """The connection to the service broke before the response was complete."""

    code = "service_connection_lost"
    http_status = 502


class ServiceTimeoutError(exceptions.FireflyspurError):
    """The service did not respond within the time limit of the call."""

    code = "deadline_exceeded"
    http_status = 504


class NodeUnreachableError(exceptions.FireflyspurError):
    """A node's admin port did not respond as expected."""

    code = "node_unreachable"
    http_status = 503


class EngineFailedError(exceptions.FireflyspurError):
    """The engine aborted a stream that it had accepted.

    :param reason: the engine's error code
    """

    code = "engine_failed"
    http_status = 502

    def __init__(self, reason: str) -> None:
        super().__init__(f"the engine aborted the stream: {reason}")
        self._reason = reason

    @property
    def reason(self) -> str:
        """The engine's error code."""
        return self._reason
