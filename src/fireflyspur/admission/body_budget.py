"""Memory for request bodies, admitted by bytes."""

from fireflyspur.admission import exceptions

_RETRY_AFTER_S = 1.0


class BodyBudget:
    """Bounds the bytes of request bodies that a node holds.

    :param max_body_bytes: largest body of one request
    :param total_bytes: bytes of all bodies at one time
    """

    def __init__(self, max_body_bytes: int, total_bytes: int) -> None:
        self._max_body_bytes = max_body_bytes
        self._total_bytes = total_bytes
        self._used_bytes = 0

    @property
    def used_bytes(self) -> int:
        """Bytes held now."""
        return self._used_bytes

    @property
    def max_body_bytes(self) -> int:
        """Largest body of one request."""
        return self._max_body_bytes

    def acquire(self, reserved_bytes: int, additional_bytes: int) -> None:
        """Add to what a request holds.

        :param reserved_bytes: bytes that the request holds already
        :param additional_bytes: bytes that it needs besides
        :raises BodyTooLargeError: if the body is too large
        :raises BodyBudgetError: if the node holds too much
        """
        if reserved_bytes + additional_bytes > self._max_body_bytes:
            raise exceptions.BodyTooLargeError(
                f"the body is larger than {self._max_body_bytes} bytes"
            )
        if self._used_bytes + additional_bytes > self._total_bytes:
            raise exceptions.BodyBudgetError(
                "the node holds as many request bodies as it may",
                retry_after_s=_RETRY_AFTER_S,
            )
        self._used_bytes += additional_bytes

    def release(self, reserved_bytes: int) -> None:
        """Give back all that a request held."""
        self._used_bytes -= reserved_bytes
