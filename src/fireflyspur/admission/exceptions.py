"""Errors of admission."""

from fireflyspur.errors import exceptions


class UnauthorizedError(exceptions.FireflyspurError):
    """The request has no valid API key."""

    code = "invalid_api_key"
    http_status = 401


class BodyTooLargeError(exceptions.FireflyspurError):
    """The body is larger than the node accepts."""

    code = "body_too_large"
    http_status = 413


class BodyBudgetError(exceptions.FireflyspurError):
    """The node has no memory left for request bodies."""

    code = "node_busy"
    http_status = 503


class NotAdmittingError(exceptions.FireflyspurError):
    """The node does not admit requests now.

    :param reason: such as ``stopping`` or ``config_stale``
    """

    code = "not_admitting"
    http_status = 503


class OverloadedError(exceptions.FireflyspurError):
    """The fleet is too busy to serve the prompt in time."""

    code = "overloaded"
    http_status = 503


class InfeasibleError(exceptions.FireflyspurError):
    """The prompt would miss its deadline even on an idle engine."""

    code = "timeout_too_short"
    http_status = 400


class AccountLimitError(exceptions.FireflyspurError):
    """The client account exceeds its limit."""

    code = "account_limit_exceeded"
    http_status = 429
