"""Errors of admission."""

from fireflyspur.errors import exceptions


class UnauthorizedError(exceptions.FireflyspurError):
    """The request carries no valid key."""

    code = "invalid_api_key"
    http_status = 401


class BodyTooLargeError(exceptions.FireflyspurError):
    """The body is larger than the node takes."""

    code = "body_too_large"
    http_status = 413


class BodyBudgetError(exceptions.FireflyspurError):
    """The node holds as many bytes of bodies as it may."""

    code = "node_busy"
    http_status = 503


class NotAdmittingError(exceptions.FireflyspurError):
    """The node admits no requests now.

    :param reason: such as ``stopping`` or ``config_stale``
    """

    code = "not_admitting"
    http_status = 503


class OverloadedError(exceptions.FireflyspurError):
    """The fleet cannot serve the prompt soon enough."""

    code = "overloaded"
    http_status = 503


class InfeasibleError(exceptions.FireflyspurError):
    """The prompt takes longer than its time limit even on an idle engine."""

    code = "timeout_too_short"
    http_status = 400


class AccountLimitError(exceptions.FireflyspurError):
    """The client account uses more than its limit."""

    code = "account_limit_exceeded"
    http_status = 429
