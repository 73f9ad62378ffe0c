"""Handing one request over to other nodes."""

from collections.abc import Callable
import contextlib
import dataclasses
import json

from fireflyspur.errors import verdict as verdicts
from fireflyspur.gateway.common import clock
from fireflyspur.gateway.common import exceptions as gateway_exceptions
from fireflyspur.gateway.common import messages
from fireflyspur.gateway.configuration import routing_config
from fireflyspur.gateway.fleet import peer_table
from fireflyspur.gateway.handover import exceptions
from fireflyspur.gateway.handover import handover_codec
from fireflyspur.gateway.handover import peer_choice
from fireflyspur.gateway.requests import attempt_result
from fireflyspur.gateway.requests import http_exchange
from fireflyspur.gateway.requests import request_plan
from fireflyspur.gateway.requests import response_relay
from fireflyspur.observability import logs

# Other nodes may be able to take the request.
_RETRY_AFTER_S = 0.25
# Interval at which a node that is silent is checked.
_SILENCE_CHECK_S = 0.5
# An error response is read whole; error messages are some kilobytes.
_MAX_FAILURE_BYTES = 262_144
# Another node may take a request that was refused for these reasons.
_REASONS_OF_NODE = frozenset(
    (
        exceptions.HandoverRefusedError.code,
        exceptions.NodeBehindError.code,
        exceptions.NodeIsolatedError.code,
        gateway_exceptions.NoConfigurationError.code,
        gateway_exceptions.NodeStoppingError.code,
    )
)

_log = logs.log_for("handover")


@dataclasses.dataclass(frozen=True)
class Refused:
    """The other node itself answered, with an error."""

    error: exceptions.PeerError


_Result = attempt_result.AttemptResult | Refused


class HandoverRun:
    """Offers a request to other nodes until one has it run.

    :param node_name: name of this node
    :param peers: chooses the other nodes
    :param plan: the request
    :param relay: relays the response to the caller
    :param tried: instances that the request was sent to; gets more
    :param is_counted: whether this node counted it for the retry budget
    :param acquire_retry: acquires a retry if the request was sent before
    :param on_head: called with the head of each response of an endpoint, and
        its instance
    :param on_response_start: called when a successful response starts
    :param count: counts how an offer ended
    """

    def __init__(
        self,
        node_name: str,
        peers: peer_choice.PeerChoice,
        plan: request_plan.RequestPlan,
        relay: response_relay.ResponseRelay,
        tried: list[str],
        is_counted: bool,
        acquire_retry: Callable[[], bool],
        on_head: Callable[[messages.ResponseHead, str], None],
        on_response_start: Callable[[], None],
        count: Callable[[str], None],
    ) -> None:
        self._node_name = node_name
        self._peers = peers
        self._plan = plan
        self._relay = relay
        self._tried = tried
        self._is_counted = is_counted
        self._acquire_retry = acquire_retry
        self._on_head = on_head
        self._on_response_start = on_response_start
        self._count = count
        # The endpoint whose response was lost last, if known.
        self._instance: str | None = None
        self._may_have_run = False

    @property
    def may_have_run(self) -> bool:
        """Whether an endpoint may have run the request."""
        return self._may_have_run

    async def run(self, may_have_run: bool) -> int:
        """Offer the request until one node has it run.

        :param may_have_run: whether an endpoint may have run it before
        :returns: status of the response that the caller got
        :raises FireflyspurError: if the caller gets no complete response
        """
        self._may_have_run = may_have_run
        reason = "no other node reaches endpoints"
        for peer in self._peers.choose(self._plan.allowed_regions):
            if len(self._tried) >= self._plan.route.max_attempts:
                break
            if not self._acquire_retry():
                break
            result = await self._offer(peer)
            self._log_result(peer, result)
            self._count(type(result).__name__)
            match result:
                case attempt_result.Delivered(status):
                    return status
                case attempt_result.Rejected(head, body):
                    return await self._send_failure(head, body)
                case attempt_result.NotSent(reason):
                    self._peers.avoid(peer.name)
                case Refused(error):
                    reason = str(error)
                    self._handle_refusal(peer, error)
                case attempt_result.Broken(reason):
                    self._tried.append(self._instance or peer.name)
                    if not self._plan.route.may_repeat:
                        break
                    if not self._relay.can_continue:
                        break
        if self._may_have_run:
            raise gateway_exceptions.BrokenResponseError(reason)
        raise exceptions.NodeIsolatedError(
            f"this node reaches no endpoint: {reason}",
            retry_after_s=_RETRY_AFTER_S,
        )

    def _handle_refusal(
        self, peer: peer_table.Peer, error: exceptions.PeerError
    ) -> None:
        """Go on if another node may take the request.

        :raises FireflyspurError: if not
        """
        is_not_run = error.verdict is verdicts.Verdict.NOT_RUN
        if is_not_run and error.code in _REASONS_OF_NODE:
            self._peers.avoid(peer.name)
            return
        if is_not_run and self._may_have_run:
            raise gateway_exceptions.BrokenResponseError(str(error))
        raise error

    async def _offer(self, peer: peer_table.Peer) -> _Result:
        """Offer the request to a node, and relay the response."""
        try:
            exchange = await self._peers.connect(
                peer, _SilenceCheck(self._peers, peer)
            )
        except gateway_exceptions.EndpointUnreachableError as error:
            return attempt_result.NotSent(
                str(error), peer.name, is_unreachable=True
            )
        may_have_run = self._may_have_run
        with contextlib.closing(exchange):
            # The process may have been suspended while it waited.
            if clock.now_s() >= self._plan.deadline_s:
                return attempt_result.NotSent(
                    "the time limit passed", peer.name, is_unreachable=False
                )
            self._may_have_run = True
            self._instance = None
            self._send(exchange)
            try:
                result = await self._receive(exchange)
            except gateway_exceptions.BrokenResponseError as error:
                return attempt_result.Broken(
                    str(error), error.is_connection_lost
                )
        match result:
            case Refused(error) if error.verdict is verdicts.Verdict.NOT_RUN:
                self._may_have_run = may_have_run
        return result

    def _send(self, exchange: http_exchange.HttpExchange) -> None:
        plan, request = self._plan, self._plan.request
        now = clock.now_s()
        info = handover_codec.HandoverInfo(
            node=self._node_name,
            sent_at_s=now,
            elapsed_s=now - request.received_at_s,
            version=plan.version,
            tried=tuple(self._tried),
            last_event_id=self._relay.last_event_id,
            is_counted=self._is_counted,
        )
        self._is_counted = True
        headers = handover_codec.encode_request(request.headers, info)
        if request.body:
            length = str(len(request.body)).encode()
            headers.append((b"Content-Length", length))
        exchange.send(request.method, request.target, headers, request.body)

    async def _receive(self, exchange: http_exchange.HttpExchange) -> _Result:
        decoded = handover_codec.decode_outcome(await exchange.read_head())
        if decoded is None:
            raise gateway_exceptions.BrokenResponseError(
                "the response is not that of a node"
            )
        outcome, head = decoded
        self._instance = outcome.instance
        if outcome.instance is None:
            body = await exchange.read_body(_MAX_FAILURE_BYTES)
            return Refused(_to_error(head, body, outcome.verdict))
        self._on_head(head, outcome.instance)
        if not head.is_success:
            body = await exchange.read_body(_MAX_FAILURE_BYTES)
            return attempt_result.Rejected(head, body)
        self._on_response_start()
        if self._plan.route.kind is routing_config.RouteKind.STREAMING:
            await self._relay.relay_events(exchange, head)
        else:
            await self._relay.relay_body(exchange, head)
        return attempt_result.Delivered(head.status, is_confirmed=True)

    async def _send_failure(
        self, head: messages.ResponseHead, body: bytes
    ) -> int:
        if self._relay.is_started:
            raise gateway_exceptions.BrokenResponseError(
                f"status {head.status}"
            )
        await self._relay.send_failure(head, body)
        return head.status

    def _log_result(self, peer: peer_table.Peer, result: _Result) -> None:
        reason = None
        match result:
            case attempt_result.NotSent(reason) | attempt_result.Broken(
                reason
            ):
                pass
            case Refused(error):
                reason = str(error)
        _log.info(
            "Request handed over",
            request=self._plan.info.attempt_id,
            peer=peer.name,
            instance=self._instance,
            result=type(result).__name__,
            reason=reason,
        )


class _SilenceCheck:
    """Gives up a response of a node that is not heard of any more."""

    def __init__(
        self, peers: peer_choice.PeerChoice, peer: peer_table.Peer
    ) -> None:
        self._peers = peers
        self._peer = peer

    async def __call__(self, silent_s: float) -> float:
        """Return the seconds after which to call again.

        :raises BrokenResponseError: if the node is lost
        """
        if silent_s >= _SILENCE_CHECK_S and self._peers.is_lost(self._peer):
            raise gateway_exceptions.BrokenResponseError(
                f"silent for {silent_s:.1f} s, and the node is not heard of",
                is_connection_lost=True,
            )
        return _SILENCE_CHECK_S


def _to_error(
    head: messages.ResponseHead, body: bytes, verdict: verdicts.Verdict
) -> exceptions.PeerError:
    """Return the error with which another node answered."""
    code, message = exceptions.PeerError.code, f"status {head.status}"
    with contextlib.suppress(ValueError, KeyError, TypeError):
        content = json.loads(body)["error"]
        code, message = str(content["code"]), str(content["message"])
    retry_after_s = None
    for name, value in head.headers:
        if name.lower() == b"retry-after":
            with contextlib.suppress(ValueError):
                retry_after_s = float(value)
    return exceptions.PeerError(
        message,
        head.status,
        code,
        verdict=verdict,
        retry_after_s=retry_after_s,
    )
