"""Serving of callers' requests."""

import asyncio
import dataclasses
import json

import h11
from tornado import iostream

from fireflyspur.errors import exceptions as base_exceptions
from fireflyspur.gateway.callers import caller_connection
from fireflyspur.gateway.common import clock
from fireflyspur.gateway.common import exceptions
from fireflyspur.gateway.common import messages
from fireflyspur.gateway.handover import exceptions as handover_exceptions
from fireflyspur.gateway.handover import handover_codec
from fireflyspur.gateway.requests import request_dependencies
from fireflyspur.gateway.requests import request_plan
from fireflyspur.gateway.requests import request_runner
from fireflyspur.gateway.requests import response_relay
from fireflyspur.observability import logs

# Another node can accept the request at once.
_RETRY_ELSEWHERE_S = 0.02

_log = logs.log_for("requests")


class Forwarder:
    """Forwards requests to endpoints and relays the responses.

    :param deps: shared objects of all requests
    """

    def __init__(self, deps: request_dependencies.RequestDependencies) -> None:
        self._deps = deps

    async def serve(
        self,
        connection: caller_connection.CallerConnection,
        request: messages.CallerRequest,
        handover: handover_codec.HandoverInfo | None = None,
    ) -> None:
        """Serve a request and respond to it, also on errors.

        The connection is closed if the response has started and cannot be
        completed.

        :param handover: what the node says that handed it over, if any
        """
        with self._deps.bytes_held.open() as holding:
            relay = response_relay.ResponseRelay(
                connection, self._deps.is_draining, holding
            )
            await self._serve(connection, request, handover, relay)

    async def _serve(
        self,
        connection: caller_connection.CallerConnection,
        request: messages.CallerRequest,
        handover: handover_codec.HandoverInfo | None,
        relay: response_relay.ResponseRelay,
    ) -> None:
        await self._deps.wait_until_current()
        try:
            plan = self._plan(request, handover)
            self._check_remaining_time(plan)
            runner = request_runner.RequestRunner(self._deps, plan, relay)
        except base_exceptions.FireflyspurError as error:
            self._deps.metrics.count_refusal(error.code)
            _log.info(
                "Request refused",
                request=self._deps.codec.decode_request(
                    request.headers
                ).attempt_id,
                code=error.code,
                reason=str(error),
                path=request.path,
                version=self._deps.planner.version,
                handed_over_by=handover.node if handover else None,
            )
            await self._send_error(connection, error, handover)
            return
        try:
            await runner.run()
        except base_exceptions.FireflyspurError as error:
            runner.log_end(error.http_status, error)
            if relay.is_started:
                connection.abort()
            else:
                await self._send_error(connection, error, handover)
        except asyncio.CancelledError:
            runner.log_end(0, None)
            raise
        except (iostream.StreamClosedError, h11.LocalProtocolError) as error:
            # The caller has disconnected, or the endpoint sent more or fewer
            # bytes than its headers announce; the response can't be completed.
            _log.warning("Response not relayed", reason=repr(error))
            runner.log_end(0, None)
            connection.abort()

    def _plan(
        self,
        request: messages.CallerRequest,
        handover: handover_codec.HandoverInfo | None,
    ) -> request_plan.RequestPlan:
        """Return the plan for a request.

        :raises NodeBehindError: if the node that handed it over has a newer
            configuration
        """
        version = self._deps.planner.version
        if handover is not None and version < handover.version:
            raise handover_exceptions.NodeBehindError(
                f"this node has version {version}, not {handover.version}",
                retry_after_s=_RETRY_ELSEWHERE_S,
            )
        plan = self._deps.planner.plan(request)
        return dataclasses.replace(plan, handover=handover)

    def _check_remaining_time(self, plan: request_plan.RequestPlan) -> None:
        """Refuse a request that the end of this process would interrupt.

        As long as callers are still sent here, it only has to be likely that
        the request ends before. After that, its whole time limit must fit.

        :raises NodeStoppingError: if it would not be complete before
        """
        exits_at_s = self._deps.exits_at_s()
        if exits_at_s is None:
            return
        remaining_s = exits_at_s - clock.now_s()
        needed_s = plan.expected_duration_s()
        if self._deps.is_removed():
            needed_s = plan.deadline_s - clock.now_s()
        if needed_s > remaining_s:
            raise exceptions.NodeStoppingError(
                f"this node stops in {remaining_s:.1f} s; use another node",
                retry_after_s=_RETRY_ELSEWHERE_S,
            )

    async def send_error(
        self,
        connection: caller_connection.CallerConnection,
        error: base_exceptions.FireflyspurError,
    ) -> None:
        """Send an error response and close the connection."""
        await self._respond(connection, error, [], is_last=True)

    async def send_handover_error(
        self,
        connection: caller_connection.CallerConnection,
        error: base_exceptions.FireflyspurError,
    ) -> None:
        """Send an error response to another node, and close."""
        headers = handover_codec.error_headers(error)
        await self._respond(connection, error, headers, is_last=True)

    async def _send_error(
        self,
        connection: caller_connection.CallerConnection,
        error: base_exceptions.FireflyspurError,
        handover: handover_codec.HandoverInfo | None,
    ) -> None:
        headers = []
        if handover is not None:
            headers = handover_codec.error_headers(error)
        await self._respond(
            connection, error, headers, is_last=self._deps.is_draining()
        )

    async def _respond(
        self,
        connection: caller_connection.CallerConnection,
        error: base_exceptions.FireflyspurError,
        extra: messages.Headers,
        *,
        is_last: bool,
    ) -> None:
        headers = [(b"Content-Type", b"application/json"), *extra]
        if error.retry_after_s is not None:
            retry_after = f"{error.retry_after_s:.3f}".encode()
            headers.append((b"Retry-After", retry_after))
        content = {"error": {"code": error.code, "message": str(error)}}
        await connection.send_response(
            error.http_status,
            headers,
            json.dumps(content).encode(),
            is_last=is_last,
        )
