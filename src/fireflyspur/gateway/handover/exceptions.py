"""Errors of handing requests over to other nodes."""

from fireflyspur.errors import exceptions
from fireflyspur.errors import verdict as verdicts


class NodeIsolatedError(exceptions.FireflyspurError):
    """The node reaches no endpoint, and no other node runs the request."""

    code = "node_isolated"
    http_status = 503


class NodeBehindError(exceptions.FireflyspurError):
    """The node has an older configuration than the one that asks it."""

    code = "node_behind"
    http_status = 503


class HandoverRefusedError(exceptions.FireflyspurError):
    """A request was not handed over by a known node, or not in a valid way."""

    code = "handover_refused"
    http_status = 403


class PeerError(exceptions.FireflyspurError):
    """An error with which another node answered.

    :param status: HTTP status of its answer
    :param code: its error code
    """

    code = "peer_error"
    http_status = 502

    def __init__(
        self,
        message: str,
        status: int,
        code: str,
        *,
        verdict: verdicts.Verdict,
        retry_after_s: float | None,
    ) -> None:
        super().__init__(message, verdict=verdict, retry_after_s=retry_after_s)
        self.http_status = status
        self.code = code
