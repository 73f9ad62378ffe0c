"""Errors raised when an engine is chosen."""

from fireflyspur.errors import exceptions


class ModelNotFoundError(exceptions.FireflyspurError):
    """No record describes the model, or the account may not use it."""

    code = "model_not_found"
    http_status = 404


class NoEngineError(exceptions.FireflyspurError):
    """No engine can accept the prompt at the moment."""

    code = "no_engine_available"
    http_status = 503


class EnginesRateLimitedError(exceptions.FireflyspurError):
    """All engines have reached the rates that they name."""

    code = "engines_rate_limited"
    http_status = 503
