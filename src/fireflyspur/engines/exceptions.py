"""Errors of prompts on engines."""

from fireflyspur.errors import exceptions


class DeadlineExceededError(exceptions.FireflyspurError):
    """The request did not finish within its time limit."""

    code = "deadline_exceeded"
    http_status = 504


class AttemptsExhaustedError(exceptions.FireflyspurError):
    """All attempts allowed by the retry budget failed."""

    code = "attempts_exhausted"
    http_status = 502
