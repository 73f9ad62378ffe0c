"""Errors raised when prompts run on engines."""

from fireflyspur.errors import exceptions


class DeadlineExceededError(exceptions.FireflyspurError):
    """The request did not finish within its time limit."""

    code = "deadline_exceeded"
    http_status = 504


class AttemptsExhaustedError(exceptions.FireflyspurError):
    """All attempts that the retry budget allows failed."""

    code = "attempts_exhausted"
    http_status = 503


class EnginesBusyError(exceptions.FireflyspurError):
    """The engines refused the prompt and did not run it."""

    code = "engines_busy"
    http_status = 503


class PromptTooLargeError(exceptions.FireflyspurError):
    """The prompt needs more memory than all its engines have."""

    code = "prompt_too_large"
    http_status = 413


class RequestQuarantinedError(exceptions.FireflyspurError):
    """The request crashed two engines and is temporarily refused."""

    code = "request_quarantined"
    http_status = 422
