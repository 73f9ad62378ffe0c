"""One attempt at a request on an endpoint."""

from collections.abc import Callable
from collections.abc import Sequence
import contextlib

from fireflyspur.gateway.common import clock
from fireflyspur.gateway.common import exceptions
from fireflyspur.gateway.common import messages
from fireflyspur.gateway.configuration import evacuation_check
from fireflyspur.gateway.configuration import routing_config
from fireflyspur.gateway.endpoints import reachability
from fireflyspur.gateway.handover import handover_codec
from fireflyspur.gateway.requests import attempt_result
from fireflyspur.gateway.requests import http_exchange
from fireflyspur.gateway.requests import request_plan
from fireflyspur.gateway.requests import response_relay
from fireflyspur.gateway.scheduling import memory_reserver
from fireflyspur.gateway.scheduling import placement as placements

# A reachable endpoint accepts a connection within a few round trips. One that
# doesn't is treated as unreachable, and nothing was sent to it.
_CONNECT_TIMEOUT_S = 0.25
# Statuses that tell a caller that its request has not run. They are relayed
# only if the endpoint itself guarantees that.
_NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
_OTHER_INSTANCE = 421
# Statuses with which an endpoint takes no more requests now.
_BUSY_STATUSES = frozenset((429, 503))
# Statuses of refusals that the state of the endpoint or the request explains.
_NO_FAULT_STATUSES = frozenset((421, 429, 503))
# An error response is buffered whole before it is relayed; error messages are
# some kilobytes.
_MAX_FAILURE_BYTES = 262_144


class Attempt:
    """Sends a request to an endpoint and relays the response.

    :param plan: the request with its route
    :param codec: encodes and decodes the headers
    :param relay: relays the response to the caller
    :param memory: reserves memory on helpers
    :param reachable: opens connections to endpoints
    :param check: finds endpoints to which nothing may be sent
    :param on_head: called with the head of a response and what it says
    :param on_response_start: called when a successful response starts
    :param watch_silence: returns the callback that decides how long to wait
        for a silent response
    """

    def __init__(
        self,
        plan: request_plan.RequestPlan,
        codec: messages.Codec,
        relay: response_relay.ResponseRelay,
        memory: memory_reserver.MemoryReserver,
        reachable: reachability.Reachability,
        check: evacuation_check.EvacuationCheck,
        on_head: Callable[
            [messages.ResponseHead, messages.ResponseInfo], None
        ],
        on_response_start: Callable[[], None],
        watch_silence: Callable[
            [placements.Placement], http_exchange.SilenceCallback
        ],
    ) -> None:
        self._plan = plan
        self._codec = codec
        self._relay = relay
        self._memory = memory
        self._reachable = reachable
        self._check = check
        self._on_head = on_head
        self._on_response_start = on_response_start
        self._watch_silence = watch_silence
        # Progress of the relay when the request was sent.
        self._sent_at_progress = 0

    async def run(
        self, placement: placements.Placement
    ) -> attempt_result.AttemptResult:
        """Run the attempt.

        :param placement: endpoints that the request is sent to
        """
        requested = [
            (helper.endpoint, helper.tokens)
            for helper in placement.helpers
            if helper.tokens
        ]
        if not requested:
            return await self._exchange(placement, ())
        try:
            async with self._memory.reserve(
                requested, self._check.find_evacuated
            ) as reservations:
                return await self._exchange(placement, reservations)
        except exceptions.MemoryRefusedError as error:
            return attempt_result.NotSent(
                str(error), error.instance, is_unreachable=False
            )

    async def _exchange(
        self,
        placement: placements.Placement,
        reservations: Sequence[memory_reserver.Reservation],
    ) -> attempt_result.AttemptResult:
        try:
            exchange = await self._reachable.connect(
                placement.primary,
                _CONNECT_TIMEOUT_S,
                self._watch_silence(placement),
            )
        except exceptions.EndpointUnreachableError as error:
            return attempt_result.NotSent(
                str(error), placement.primary.instance, is_unreachable=True
            )
        with contextlib.closing(exchange):
            # The process may have been suspended while it waited.
            not_sent = await self._find_evacuated(placement)
            not_sent = not_sent or self._find_expired(placement, reservations)
            if not_sent is not None:
                return not_sent
            self._send(exchange, placement, reservations)
            try:
                return await self._receive(
                    exchange, placement.primary.instance
                )
            except exceptions.BrokenResponseError as error:
                return attempt_result.Broken(
                    str(error), error.is_connection_lost, error.failed_member
                )

    async def _find_evacuated(
        self, placement: placements.Placement
    ) -> attempt_result.NotSent | None:
        """Return why the request must not be sent to a member, or None."""
        members = [
            placement.primary,
            *(helper.endpoint for helper in placement.helpers),
        ]
        evacuated = await self._check.find_evacuated(members)
        if evacuated is None:
            return None
        return attempt_result.NotSent(
            f"failure domain {evacuated.failure_domain} is evacuated",
            evacuated.instance,
            is_unreachable=False,
        )

    def _find_expired(
        self,
        placement: placements.Placement,
        reservations: Sequence[memory_reserver.Reservation],
    ) -> attempt_result.NotSent | None:
        """Return why the request must no longer be sent, or None."""
        now = clock.now_s()
        if now >= self._plan.deadline_s:
            return attempt_result.NotSent(
                "the time limit passed",
                placement.primary.instance,
                is_unreachable=False,
            )
        for reservation in reservations:
            if now >= reservation.expires_at_s:
                return attempt_result.NotSent(
                    "the reservation of memory expired",
                    reservation.endpoint.instance,
                    is_unreachable=False,
                )
        return None

    def _send(
        self,
        exchange: http_exchange.HttpExchange,
        placement: placements.Placement,
        reservations: Sequence[memory_reserver.Reservation],
    ) -> None:
        plan = self._plan
        tickets = {r.endpoint.instance: r.ticket for r in reservations}
        last_event_id = self._relay.last_event_id or plan.resumed_after_id
        self._sent_at_progress = self._relay.progress
        info = messages.ForwardInfo(
            remaining_s=max(0.0, plan.deadline_s - clock.now_s()),
            instance=placement.primary.instance,
            account=plan.account_name,
            priority=plan.priority,
            last_event_id=last_event_id,
            helpers=tuple(
                messages.Helper(
                    helper.endpoint.address,
                    tickets.get(helper.endpoint.instance),
                )
                for helper in placement.helpers
            ),
        )
        request = plan.request
        headers = self._codec.encode_request(request.headers, info)
        if request.body:
            length = str(len(request.body)).encode()
            headers.append((b"Content-Length", length))
        exchange.send(request.method, request.target, headers, request.body)

    async def _receive(
        self, exchange: http_exchange.HttpExchange, instance: str
    ) -> attempt_result.AttemptResult:
        head = await exchange.read_head()
        info = self._codec.decode_response(head)
        is_other = info.attempt_id not in (None, self._plan.info.attempt_id)
        if is_other:
            raise exceptions.BrokenResponseError(
                "the response belongs to another attempt"
            )
        if head.status != _OTHER_INSTANCE:
            self._on_head(head, info)
        if info.is_not_run or head.status == _OTHER_INSTANCE:
            if info.attempt_id is None:
                # It may be a copy of an earlier one, and this request may run.
                raise exceptions.BrokenResponseError(
                    f"status {head.status} without the attempt's id"
                )
            return attempt_result.NotRun(
                f"status {head.status}",
                is_fault=head.status not in _NO_FAULT_STATUSES,
                is_busy=head.status in _BUSY_STATUSES,
                is_replaced=self._is_replaced(head, info, instance),
                failed_member=self._find_failed_member(head, info),
            )
        if self._plan.handover is not None:
            head = handover_codec.mark_endpoint(head, instance)
        if not head.is_success:
            return await self._read_failure(exchange, head)
        if not info.is_sealed or info.is_encoded:
            raise exceptions.BrokenResponseError(
                "the response is not sealed, or is encoded"
            )
        if self._relay.progress != self._sent_at_progress:
            # This response repeats what another one has added meanwhile.
            return attempt_result.Overtaken()
        self._on_response_start()
        if self._plan.route.kind is routing_config.RouteKind.STREAMING:
            await self._relay.relay_events(exchange, head)
        else:
            await self._relay.relay_body(exchange, head)
        return attempt_result.Delivered(
            head.status, is_confirmed=not exchange.ends_with_connection
        )

    def _find_failed_member(
        self, head: messages.ResponseHead, info: messages.ResponseInfo
    ) -> str | None:
        """Return the group member that failed, or None.

        One that only has other weights than the caller expects is sound.
        """
        if head.status == _OTHER_INSTANCE and self._plan.info.expects_version:
            return None
        return info.failed_member

    def _is_replaced(
        self,
        head: messages.ResponseHead,
        info: messages.ResponseInfo,
        instance: str,
    ) -> bool:
        """Return whether another instance is now at the address.

        An endpoint also refuses a request that expects other weights, which
        says nothing about the requests of others.
        """
        if head.status != _OTHER_INSTANCE:
            return False
        if instance in (info.instance, info.failed_member):
            return False
        return info.instance is not None or not self._plan.info.expects_version

    async def _read_failure(
        self, exchange: http_exchange.HttpExchange, head: messages.ResponseHead
    ) -> attempt_result.AttemptResult:
        body = await exchange.read_body(_MAX_FAILURE_BYTES)
        if head.status in _NOT_RUN_STATUSES:
            raise exceptions.BrokenResponseError(
                f"status {head.status} without the endpoint's guarantee"
            )
        return attempt_result.Rejected(head, body)
