"""Start of the attempts of one request."""

from collections.abc import Callable
import contextlib
import dataclasses

from fireflyspur.gateway.common import clock
from fireflyspur.gateway.requests import attempt as attempts
from fireflyspur.gateway.requests import attempt_race
from fireflyspur.gateway.requests import attempt_reporter
from fireflyspur.gateway.requests import attempt_result
from fireflyspur.gateway.requests import attempt_tracking
from fireflyspur.gateway.requests import http_exchange
from fireflyspur.gateway.requests import request_dependencies
from fireflyspur.gateway.requests import request_plan
from fireflyspur.gateway.requests import response_relay
from fireflyspur.gateway.requests import stall_detector
from fireflyspur.gateway.scheduling import placement as placements
from fireflyspur.gateway.scheduling import placement_cost


@dataclasses.dataclass(frozen=True)
class Outlook:
    """What a request may still do while an attempt is silent.

    :param may_move: returns whether it may be sent elsewhere now
    :param must_hand_over: returns whether another node should try it
    :param may_meet_target: returns whether its response may still start
        within its latency target
    """

    may_move: Callable[[], bool]
    must_hand_over: Callable[[], bool]
    may_meet_target: Callable[[], bool]


class AttemptLauncher:
    """Starts attempts in a race, and watches them for silence.

    :param race: runs the attempts
    :param on_response_start: called when a successful response starts
    """

    def __init__(
        self,
        deps: request_dependencies.RequestDependencies,
        plan: request_plan.RequestPlan,
        relay: response_relay.ResponseRelay,
        reporter: attempt_reporter.AttemptReporter,
        race: attempt_race.AttemptRace,
        outlook: Outlook,
        on_response_start: Callable[[], None],
    ) -> None:
        self._deps = deps
        self._plan = plan
        self._relay = relay
        self._reporter = reporter
        self._race = race
        self._outlook = outlook
        self._on_response_start = on_response_start

    def start(self, placement: placements.Placement) -> None:
        """Start an attempt.

        It is tracked at once, as other requests are placed next.
        """
        started = attempt_race.Started(placement)
        self._deps.directory.errors.add_request(placement.primary.instance)
        remaining_s = self._plan.deadline_s - clock.now_s()
        with contextlib.ExitStack() as stack:
            end_prefill = stack.enter_context(
                attempt_tracking.track(
                    self._deps.in_flight,
                    placement,
                    demand_of(self._plan),
                    remaining_s,
                )
            )
            tracking = stack.pop_all()
        self._race.start(
            started, self._run(started, tracking, end_prefill), tracking
        )

    async def _run(
        self,
        started: attempt_race.Started,
        tracking: contextlib.ExitStack,
        end_prefill: Callable[[], None],
    ) -> attempt_result.AttemptResult:
        placement = started.placement

        def record_response_start() -> None:
            self._on_response_start()
            self._reporter.report_answer(
                placement, clock.now_s() - started.started_at_s
            )
            self._race.report_response(
                started, f"silent, {placement.primary.instance} responds"
            )
            end_prefill()

        with tracking:
            attempt = attempts.Attempt(
                self._plan,
                self._deps.codec,
                self._relay,
                self._deps.memory,
                self._deps.reachable,
                self._deps.evacuation_check,
                lambda head, info: self._reporter.report_notice(
                    placement.primary, head, info
                ),
                record_response_start,
                lambda _: self._watch_silence(started),
            )
            return await attempt.run(placement)

    def _watch_silence(
        self, started: attempt_race.Started
    ) -> http_exchange.SilenceCallback:
        placement = started.placement
        members = [placement.primary, *(h.endpoint for h in placement.helpers)]
        return stall_detector.StallDetector(
            self._deps.monitor,
            members,
            self._plan.service.engine,
            self._outlook.may_move,
            self._lacks_paths,
            lambda: self._race.report_silence(started),
            lambda: self._race.report_progress(started),
            self._outlook.may_meet_target,
            lambda silent_s: self._deps.paces.record_silence(
                placement.primary, silent_s
            ),
        )

    async def _lacks_paths(self) -> bool:
        """Return whether another node should try the request.

        An endpoint that accepts no connection may have shown lost paths.
        """
        await self._deps.reachable.settle()
        return self._outlook.must_hand_over()


def demand_of(plan: request_plan.RequestPlan) -> placement_cost.Demand:
    """Return what a request needs of endpoints from now on."""
    info, route = plan.info, plan.route
    elapsed_s = clock.now_s() - plan.request.received_at_s
    return placement_cost.Demand(
        prompt_tokens=info.prompt_tokens,
        output_tokens=info.max_output_tokens,
        target_s=max(0.01, route.target_latency_s - elapsed_s),
        max_gap_s=route.max_gap_s or route.target_latency_s,
        weight=placement_cost.prompt_weight(info.prompt_tokens),
    )
