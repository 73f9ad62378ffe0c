"""Base classes of the errors that fireflyspur reports."""

from fireflyspur.errors import verdict as verdicts


class FireflyspurError(Exception):
    """An error with a stable code.

    :param message: description of the error for people
    :param verdict: whether the request may have run
    :param retry_after_s: seconds after which a retry may succeed, or None
        if it cannot succeed
    """

    code = "internal_error"
    http_status = 500

    def __init__(
        self,
        message: str,
        *,
        verdict: verdicts.Verdict = verdicts.Verdict.NOT_RUN,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(message)
        self._verdict = verdict
        self._retry_after_s = retry_after_s

    @property
    def verdict(self) -> verdicts.Verdict:
        """Whether the request may have run."""
        return self._verdict

    @property
    def retry_after_s(self) -> float | None:
        """Seconds after which a retry may succeed, or None."""
        return self._retry_after_s


class InvalidInputError(FireflyspurError):
    """Input that does not have the expected form."""

    code = "invalid_request"
    http_status = 400
