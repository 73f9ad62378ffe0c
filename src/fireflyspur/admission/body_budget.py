"""Limits on the memory for request bodies."""

from fireflyspur.admission import exceptions

_RETRY_AFTER_S = 1.0


class BodyBudget:
    """Limits the memory that a node uses for request bodies.

    :param max_body_bytes: maximum size of the body of a request
    :param total_bytes: maximum total size of all bodies
    """

    def __init__(self, max_body_bytes: int, total_bytes: int) -> None:
        self._max_body_bytes = max_body_bytes
        self._total_bytes = total_bytes
        self._used_bytes = 0

    @property
    def used_bytes(self) -> int:
        """Bytes reserved now."""
        return self._used_bytes

    @property
    def max_body_bytes(self) -> int:
        """Maximum size of the body of a request."""
        return self._max_body_bytes

    def acquire(self, reserved_bytes: int, additional_bytes: int) -> None:
        """Reserve more bytes for a request.

        :param reserved_bytes: bytes already reserved for the request
        :param additional_bytes: bytes to reserve in addition
        :raises BodyTooLargeError: if the body is too large
        :raises BodyBudgetError: if the total of the node would be too large
        """
        if reserved_bytes + additional_bytes > self._max_body_bytes:
            raise exceptions.BodyTooLargeError(
                f"the body is larger than {self._max_body_bytes} bytes"
            )
        if self._used_bytes + additional_bytes > self._total_bytes:
            raise exceptions.BodyBudgetError(
                "the node has no memory left for request bodies",
                retry_after_s=_RETRY_AFTER_S,
            )
        self._used_bytes += additional_bytes

    def release(self, reserved_bytes: int) -> None:
        """Release all bytes reserved for a request."""
        self._used_bytes -= reserved_bytes
