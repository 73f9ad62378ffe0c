"""Errors of at-most-once calls."""

from fireflyspur.errors import exceptions


class InvalidKeyError(exceptions.FireflyspurError):
    """The idempotency key is missing or is not a UUID of version 7."""

    code = "idempotency_key_invalid"
    http_status = 400


class KeyTimeError(exceptions.FireflyspurError):
    """The idempotency key has expired or was issued in the future."""

    code = "idempotency_key_expired"
    http_status = 400


class KeyReusedError(exceptions.FireflyspurError):
    """The key was used for a call with different content."""

    code = "idempotency_key_reused"
    http_status = 422


class ClaimsNotConfiguredError(exceptions.FireflyspurError):
    """The configuration does not allow claims to be decided safely."""

    code = "claims_not_configured"
    http_status = 503


class CallInProgressError(exceptions.FireflyspurError):
    """Another request holds the claim on the key."""

    code = "call_in_progress"
    http_status = 409


class OutcomeUnknownError(exceptions.FireflyspurError):
    """The call was sent, and its answer was lost."""

    code = "outcome_unknown"
    http_status = 502


class OutcomeNotKeptError(exceptions.FireflyspurError):
    """The call ran, and its answer was too large to be recorded."""

    code = "outcome_not_kept"
    http_status = 409
