"""Errors raised by the HTTP handlers."""

from fireflyspur.errors import exceptions


class NotFoundError(exceptions.FireflyspurError):
    """No resource has this path."""

    code = "not_found"
    http_status = 404


class MethodNotAllowedError(exceptions.FireflyspurError):
    """The resource does not support this method."""

    code = "method_not_allowed"
    http_status = 405


class HeadersTooLargeError(exceptions.FireflyspurError):
    """The request's headers exceed the size limit of the node."""

    code = "headers_too_large"
    http_status = 431


class BodyTimeoutError(exceptions.FireflyspurError):
    """The body did not arrive within the request's time limit."""

    code = "body_timeout"
    http_status = 408
