"""Running of one request through attempts at endpoints."""

from collections.abc import Sequence

from fireflyspur.errors import exceptions as base_exceptions
from fireflyspur.errors import verdict as verdicts
from fireflyspur.gateway.common import clock
from fireflyspur.gateway.common import exceptions
from fireflyspur.gateway.common import messages
from fireflyspur.gateway.endpoints import endpoint as endpoints
from fireflyspur.gateway.handover import exceptions as handover_exceptions
from fireflyspur.gateway.handover import handover_run
from fireflyspur.gateway.requests import admission
from fireflyspur.gateway.requests import attempt_launcher
from fireflyspur.gateway.requests import attempt_race
from fireflyspur.gateway.requests import attempt_reporter
from fireflyspur.gateway.requests import attempt_result
from fireflyspur.gateway.requests import request_dependencies
from fireflyspur.gateway.requests import request_plan
from fireflyspur.gateway.requests import request_report
from fireflyspur.gateway.requests import response_relay
from fireflyspur.gateway.scheduling import admission_queue
from fireflyspur.gateway.scheduling import placement as placements

# An endpoint stops processing at the deadline and reports it; this is the
# time for that response to arrive.
_DEADLINE_GRACE_S = 0.1
# Time after which a caller returns if no endpoint is known to be ready.
_RETRY_AFTER_S = 0.25
# A request is refused after this many endpoints that accepted no connection,
# had less memory than expected or made a group fail.
_MAX_EXCLUDED = 5
_NONE_READY = "no endpoint is ready"
_NO_ROOM = "no endpoint has room"
_NONE_ALLOWED = "no endpoint is in an allowed region"
_ALL_EVACUATED = "all endpoints are in evacuated failure domains"
_OVER_SHARE = "the client account uses more than its share of the endpoints"


class RequestRunner:
    """Tries endpoints for one request until one responds.

    :param plan: the request with its route
    :param relay: relays the response to the caller
    """

    def __init__(
        self,
        deps: request_dependencies.RequestDependencies,
        plan: request_plan.RequestPlan,
        relay: response_relay.ResponseRelay,
    ) -> None:
        self._deps = deps
        self._plan = plan
        self._relay = relay
        self._reporter = attempt_reporter.AttemptReporter(deps, plan)
        handover = plan.handover
        self._tried = list(handover.tried) if handover else []
        self._excluded: list[str] = []
        self._retries = len(self._tried)
        self._first_choice = len(self._tried)
        # Whether this node counted the request for the retry budget.
        self._is_counted = False
        self._handover: handover_run.HandoverRun | None = None
        self._reason = _NONE_READY
        self._attempts = attempt_race.AttemptRace()
        self._launcher = attempt_launcher.AttemptLauncher(
            deps,
            plan,
            relay,
            self._reporter,
            self._attempts,
            attempt_launcher.Outlook(
                self._may_move, self._must_hand_over, self._may_meet_target
            ),
            self._record_response_start,
        )
        # Whether an attempt that has ended may have run.
        self._has_run = False
        self._response_start_s: float | None = None
        self._placement: placements.Placement | None = None
        self._rejected: attempt_result.Rejected | None = None

    async def run(self) -> None:
        """Try endpoints until one responds or no more may be tried.

        :raises FireflyspurError: if the caller gets no complete response
        """
        if self._must_count():
            self._is_counted = True
            self._deps.retries.record_request(self._plan.service.name)
        timeout_s = self._plan.deadline_s + _DEADLINE_GRACE_S - clock.now_s()
        try:
            async with self._deps.timeouts.limit(timeout_s):
                await self._run_attempts()
        except TimeoutError as error:
            if self._may_have_run or (
                self._handover and self._handover.may_have_run
            ):
                raise exceptions.ServiceTimeoutError(
                    "this node stops"
                    if self._plan.deadline_s > clock.now_s()
                    else "the time limit passed"
                ) from error
            raise self._capacity_error(
                "no endpoint accepted the request in time"
            ) from error

    @property
    def _may_have_run(self) -> bool:
        return self._has_run or self._attempts.is_running

    @property
    def _may_repeat(self) -> bool:
        """Whether the request may run again, for the rest of its response."""
        return self._plan.route.may_repeat and self._relay.can_continue

    def log_end(
        self, status: int, error: base_exceptions.FireflyspurError | None
    ) -> None:
        """Log the end of the request, and update the metrics."""
        outcome = request_report.RequestOutcome(
            status=status,
            error=error,
            tried=self._tried,
            response_start_s=self._response_start_s,
            placement=self._placement,
            endpoints_age_s=self._deps.directory.age_s(),
        )
        request_report.report(
            self._plan, self._relay, self._deps.metrics, outcome
        )

    async def _run_attempts(self) -> None:
        if await self._try_endpoints():
            return
        # A request that met unreachable endpoints may have shown lost paths.
        await self._deps.reachable.settle()
        if self._must_hand_over():
            if await self._hand_over() or await self._try_endpoints():
                return
        if self._rejected is not None:
            await self._send_failure(self._rejected)
        elif self._may_have_run:
            raise exceptions.BrokenResponseError(self._reason)
        else:
            raise self._capacity_error(self._reason)

    async def _try_endpoints(self) -> bool:
        """Try endpoints as long as that is best; return whether one responded.

        :raises FireflyspurError: if the caller gets no complete response
        """
        while self._may_attempt() and not self._must_hand_over():
            placement = await self._place_or_wait()
            if placement is None or not self._acquire_retry():
                break
            if await self._run_beside_silent(placement):
                return True
        return False

    async def _run_beside_silent(
        self, placement: placements.Placement
    ) -> bool:
        """Run an attempt, and others while it is silent.

        :returns: whether one responded
        :raises FireflyspurError: if the caller gets no complete response
        """
        async with self._attempts as running:
            self._start(placement)
            while running.is_running:
                match await running.wait():
                    case attempt_race.Silent(silent):
                        self._try_beside(silent)
                    case attempt_race.Ended() as ended:
                        if await self._handle_result(ended):
                            return True
        return False

    def _start(self, placement: placements.Placement) -> None:
        self._tried.append(placement.primary.instance)
        self._placement = placement
        self._launcher.start(placement)

    def _try_beside(self, silent: attempt_race.Started) -> None:
        """Start another attempt if there is room, and keep the silent one."""
        if self._reporter.find_crash_reason() is not None:
            return
        placement = self._place() if self._may_move() else None
        if placement is None or not self._acquire_retry():
            return
        self._reporter.report_silent(silent.placement, placement)
        self._start(placement)

    def _must_count(self) -> bool:
        """Return whether the request counts for the budget of this node.

        It counts at the first node that may send it to an endpoint.
        """
        if self._plan.handover is not None:
            return not self._plan.handover.is_counted
        return self._deps.reachable.has_good_paths

    def _must_hand_over(self) -> bool:
        """Return whether another node should try the request now.

        :raises NodeIsolatedError: if another node has handed it over to this
            one, which reaches no endpoint either
        """
        reachable = self._deps.reachable
        if self._plan.handover is None:
            is_offered = self._handover is not None
            may_try = len(self._tried) < self._plan.route.max_attempts
            return may_try and not (reachable.has_good_paths or is_offered)
        if reachable.is_isolated and not self._may_have_run:
            raise handover_exceptions.NodeIsolatedError(
                "this node reaches no endpoint either",
                retry_after_s=_RETRY_AFTER_S,
            )
        return False

    async def _hand_over(self) -> bool:
        """Let another node try the request.

        :returns: whether one did; False if this node may still reach an
            endpoint
        :raises FireflyspurError: if the caller gets no complete response
        """
        self._handover = handover_run.HandoverRun(
            self._deps.node_name,
            self._deps.peers,
            self._plan,
            self._relay,
            self._tried,
            self._is_counted,
            self._acquire_retry,
            self._reporter.report_handed_over,
            self._record_response_start,
            self._deps.metrics.count_handover,
        )
        try:
            status = await self._handover.run(self._may_have_run)
        except handover_exceptions.NodeIsolatedError:
            if self._deps.reachable.is_isolated:
                raise
            return False
        except base_exceptions.FireflyspurError:
            if self._rejected is None or self._relay.is_started:
                raise
            await self._send_failure(self._rejected)
        else:
            self.log_end(status, None)
        return True

    def _record_response_start(self) -> None:
        if self._response_start_s is None:
            self._response_start_s = clock.now_s()

    def _may_attempt(self) -> bool:
        """Return whether another endpoint may be tried.

        :raises FireflyspurError: if the request is quarantined because it
            crashed endpoints
        """
        if len(self._tried) >= self._plan.route.max_attempts:
            return False
        if len(self._excluded) >= _MAX_EXCLUDED:
            return False
        crash_reason = self._reporter.find_crash_reason()
        if crash_reason is not None:
            raise self._crashing_error(crash_reason)
        return True

    def _acquire_retry(self) -> bool:
        """Acquire a retry from the budget, one for each retry sent.

        An attempt that was not sent leaves its retry for the next one.

        :returns: whether the request may be sent
        """
        if self._retries == len(self._tried):
            return True
        if not self._deps.retries.try_acquire(self._plan.service.name):
            self._reason = f"{self._reason}; the retry budget is exhausted"
            return False
        self._retries += 1
        return True

    async def _place_or_wait(self) -> placements.Placement | None:
        """Place the request, or wait briefly for room on an engine.

        :returns: None if no endpoint may be tried now
        """
        trial = admission.Trial(
            lambda: attempt_launcher.demand_of(self._plan),
            self._place,
            self._withhold,
            self._excluded_instances,
            self._may_wait,
            lambda: (
                bool(self._ready())
                and self._may_attempt()
                and not self._must_hand_over()
            ),
        )
        return await self._deps.admission.place(self._plan, trial)

    def _withhold(self) -> None:
        if len(self._tried) == self._first_choice:
            self._reason = _OVER_SHARE

    def _may_wait(self) -> bool:
        """Return whether the request may wait for room on an endpoint."""
        # What an endpoint has answered is not held back.
        ready = self._ready()
        if self._rejected is not None or not ready:
            return False
        limit_s = admission_queue.wait_limit_s(
            self._plan.info.prompt_tokens, self._plan.route.target_latency_s
        )
        return self._deps.notices.wait_s(ready) <= limit_s

    def _excluded_instances(self) -> frozenset[str]:
        """Return the endpoints that must not be chosen."""
        outside = self._deps.region_filter.outside(
            self._plan.service.name, self._plan.allowed_regions
        )
        return frozenset((*self._tried, *self._excluded, *outside))

    def _place(self) -> placements.Placement | None:
        plan = self._plan
        excluded = self._excluded_instances()
        if plan.service.engine is None:
            placement = self._deps.placer.choose_plain(
                plan.service.name, excluded
            )
        else:
            placement = self._deps.placer.choose_engine(
                plan.service, attempt_launcher.demand_of(plan), excluded
            )
        is_first = len(self._tried) == self._first_choice
        if placement is None and is_first and not self._excluded:
            self._reason = self._explain_none()
        return placement

    def _ready(self) -> Sequence[endpoints.Endpoint]:
        """Return the endpoints that may get this request."""
        return self._deps.region_filter.ready(
            self._plan.service.name, self._plan.allowed_regions
        )

    def _explain_none(self) -> str:
        service = self._plan.service.name
        if self._ready():
            return _NO_ROOM
        if self._deps.directory.ready(service):
            return _NONE_ALLOWED
        if self._deps.directory.has_evacuated(service):
            return _ALL_EVACUATED
        return _NONE_READY

    async def _handle_result(self, ended: attempt_race.Ended) -> bool:
        """Handle the result of an attempt.

        :returns: whether the request is complete; False to try another
            endpoint, or to wait for another attempt
        :raises FireflyspurError: if no other endpoint may be tried
        """
        placement, result = ended.started.placement, ended.result
        self._deps.metrics.count_attempt(type(result).__name__)
        match result:
            case attempt_result.Delivered(status, is_confirmed):
                self._reporter.report_delivered(placement, is_confirmed)
                self.log_end(status, None)
                return True
            case attempt_result.NotSent(reason, instance):
                self._reason = reason
                self._excluded.append(instance)
                self._tried.remove(placement.primary.instance)
                self._reporter.report_not_sent(result)
            case attempt_result.NotRun(reason):
                self._reason = reason
                failed_member = self._reporter.report_not_run(
                    placement, result
                )
                if failed_member is not None:
                    self._excluded.append(failed_member)
            case attempt_result.Broken(reason):
                self._has_run = True
                self._reason = reason
                self._reporter.report_broken(
                    placement,
                    result,
                    ended.started.started_at_s,
                    self._relay.last_event_id,
                    was_unread=self._relay.was_unread,
                )
                if result.failed_member is not None:
                    self._excluded.append(result.failed_member)
                # Another attempt may have sent what can't be continued.
                if not (self._attempts.is_running or self._may_repeat):
                    raise exceptions.BrokenResponseError(reason)
            case attempt_result.Rejected(head):
                self._has_run = True
                self._reason = f"status {head.status}"
                self._rejected = result
                self._reporter.report_rejected(placement, result)
                if not (self._attempts.is_running or self._may_retry(head)):
                    await self._send_failure(result)
                    return True
            case attempt_result.Overtaken():
                self._has_run = True
                self._reporter.report_overtaken(placement)
        return False

    def _may_move(self) -> bool:
        """Return whether the request may be sent elsewhere now."""
        route, service = self._plan.route, self._plan.service.name
        if not self._may_repeat or len(self._tried) >= route.max_attempts:
            return False
        if not self._deps.retries.is_available(service):
            return False
        if self._must_hand_over():
            return True
        excluded = {*self._tried, *self._excluded}
        return any(
            endpoint.instance not in excluded
            and self._deps.directory.is_available(endpoint.instance)
            for endpoint in self._ready()
        )

    def _may_meet_target(self) -> bool:
        target_s = self._plan.route.target_latency_s
        elapsed_s = clock.now_s() - self._plan.request.received_at_s
        return self._response_start_s is None and elapsed_s < target_s

    def _may_retry(self, head: messages.ResponseHead) -> bool:
        if head.status < attempt_reporter.SERVER_ERROR or not self._may_repeat:
            return False
        return len(self._tried) < self._plan.route.max_attempts

    async def _send_failure(self, result: attempt_result.Rejected) -> None:
        """Send the last error response of an endpoint to the caller."""
        status = result.head.status
        if self._relay.is_started:
            raise exceptions.BrokenResponseError(f"status {status}")
        await self._relay.send_failure(result.head, result.body)
        self.log_end(status, None)

    def _capacity_error(self, reason: str) -> base_exceptions.FireflyspurError:
        ready = self._ready()
        limited_retry_s = self._deps.notices.retry_after_s(
            ready, self._plan.priority
        )
        if limited_retry_s is not None:
            return exceptions.RateLimitedError(
                "all endpoints have reached their rate limits",
                retry_after_s=limited_retry_s,
            )
        is_possible = bool(ready)
        if is_possible and self._deps.placer.has_reported_room(
            self._plan.service
        ):
            self._deps.metrics.count_refusal_with_room()
        retry_after_s = _RETRY_AFTER_S
        if is_possible:
            retry_after_s = self._deps.admission.retry_after_s(
                self._plan,
                attempt_launcher.demand_of(self._plan),
                self._excluded_instances(),
            )
        return exceptions.NoCapacityError(reason, retry_after_s=retry_after_s)

    def _crashing_error(
        self, message: str
    ) -> base_exceptions.FireflyspurError:
        if self._may_have_run:
            return exceptions.BrokenResponseError(message)
        return exceptions.CrashingRequestError(
            message, verdict=verdicts.Verdict.NOT_RUN
        )
