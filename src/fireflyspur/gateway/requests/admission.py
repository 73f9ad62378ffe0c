"""Waits of requests for room on an engine."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses
import math

from fireflyspur.gateway.common import clock
from fireflyspur.gateway.configuration import routing_config
from fireflyspur.gateway.endpoints import endpoint_directory
from fireflyspur.gateway.requests import request_plan
from fireflyspur.gateway.scheduling import account_shares
from fireflyspur.gateway.scheduling import admission_queue
from fireflyspur.gateway.scheduling import engine_candidates
from fireflyspur.gateway.scheduling import in_flight_table
from fireflyspur.gateway.scheduling import placement as placements
from fireflyspur.gateway.scheduling import placement_cost
from fireflyspur.gateway.scheduling import slot_forecast
from fireflyspur.observability import logs
from fireflyspur.rates import return_schedule

# Interval of tries without a change of the in-flight requests: pauses of
# engines end and other pools report theirs without one.
_POLL_S = 0.05
# Time after which a caller returns if no engine is predicted to have room: at
# usual response lengths, an engine frees a slot several times a second.
_DEFAULT_RETURN_S = 0.25

_log = logs.log_for("admission")


@dataclasses.dataclass(frozen=True)
class Trial:
    """What a waiting request does when its turn comes.

    :param demand: returns what it needs of an engine from now on
    :param place: returns a placement, or None if there is no room
    :param withhold: called if a placement is left to other accounts
    :param excluded: returns the instances that must not be chosen
    :param may_wait: returns whether it may wait for room, if it has none
    :param may_go_on: returns whether it may still be sent by this node
    """

    demand: Callable[[], placement_cost.Demand]
    place: Callable[[], placements.Placement | None]
    withhold: Callable[[], None]
    excluded: Callable[[], frozenset[str]]
    may_wait: Callable[[], bool]
    may_go_on: Callable[[], bool]


class Admission:
    """Lets requests wait briefly for room instead of refusing them at once.

    A waiting request holds no slot, memory or reservation, and ends with its
    caller's connection.

    :param candidates: finds the engines that may get room
    :param pool_nodes: returns the number of nodes that share these engines
    :param exits_at_s: returns the clock time at which the process ends, or
        None until a stop begins
    :param observe: called with the result and the duration of each wait
    """

    def __init__(
        self,
        directory: endpoint_directory.EndpointDirectory,
        table: in_flight_table.InFlightTable,
        candidates: engine_candidates.EngineCandidates,
        pool_nodes: Callable[[], int],
        exits_at_s: Callable[[], float | None],
        observe: Callable[[str, float], None],
    ) -> None:
        self._table = table
        self._candidates = candidates
        self._pool_nodes = pool_nodes
        self._exits_at_s = exits_at_s
        self._observe = observe
        self._queue = admission_queue.AdmissionQueue()
        self._turns: dict[admission_queue.WaitingRequest, asyncio.Event] = {}
        self._shares = account_shares.AccountShares()
        self._returns = return_schedule.ReturnSchedule()
        self._is_waking = False
        self._has_changed = False
        table.set_listener(self.wake)
        directory.set_listener(self.wake)

    @property
    def waiting(self) -> int:
        """Number of requests that wait."""
        return self._queue.count

    async def place(
        self, plan: request_plan.RequestPlan, trial: Trial
    ) -> placements.Placement | None:
        """Place a request, now or after a wait.

        :returns: None if it should be refused, or handed over
        """
        since_s = clock.now_s()
        trial = self._share_fairly(plan, trial)
        placement = trial.place()
        if placement is None and trial.may_wait():
            placement = await self._wait_for_room(plan, trial, since_s)
        elif placement is not None and _has_unknown_load(placement):
            placement = await self._wait_for_known_room(plan, trial, since_s)
        engine = plan.service.engine
        if placement is not None and engine is not None:
            self._shares.record(
                plan.account_name,
                admission_queue.engine_time_s(engine, trial.demand()),
            )
        return placement

    async def _wait_for_known_room(
        self, plan: request_plan.RequestPlan, trial: Trial, since_s: float
    ) -> placements.Placement | None:
        """Wait for known room rather than send to an engine that may be full.

        Engines that no pool reports as having room most likely refuse, which
        uses up an attempt.
        """

        def place_with_known_load() -> placements.Placement | None:
            placement = trial.place()
            if placement is None or _has_unknown_load(placement):
                return None
            return placement

        known = dataclasses.replace(trial, place=place_with_known_load)
        placement = await self._wait_for_room(plan, known, since_s)
        if placement is None and trial.may_go_on():
            placement = trial.place()
        return placement

    def _share_fairly(
        self, plan: request_plan.RequestPlan, trial: Trial
    ) -> Trial:
        """Return a trial that leaves the last free slots to other accounts.

        It does so only if the account uses far more than its share of the
        engines.
        """

        def place() -> placements.Placement | None:
            placement = trial.place()
            if placement is None or placement.free_share is None:
                return placement
            if not self._shares.must_wait(
                plan.account_name, placement.free_share
            ):
                return placement
            trial.withhold()
            return None

        return dataclasses.replace(trial, place=place)

    async def _wait_for_room(
        self, plan: request_plan.RequestPlan, trial: Trial, since_s: float
    ) -> placements.Placement | None:
        engine = plan.service.engine
        if engine is None:
            return None
        request = self._request(plan, engine, trial.demand(), since_s)
        free_in_s = self._free_in_s(plan.service, trial.excluded())
        if admission_queue.is_too_late(request, free_in_s):
            self._report(plan, request, "too_late", free_in_s)
            return None
        result = "ended"
        try:
            with self._queued(request) as turn:
                placement = await self._try_in_turn(request, turn, trial)
            if placement is not None:
                result = "sent"
            elif clock.now_s() >= request.expires_at_s:
                result = "expired"
            return placement
        finally:
            self._report(plan, request, result, free_in_s)

    def retry_after_s(
        self,
        plan: request_plan.RequestPlan,
        demand: placement_cost.Demand,
        excluded: frozenset[str],
    ) -> float:
        """Return when the caller of a refused request should return.

        :param excluded: instances that the request may not be sent to
        """
        engine = plan.service.engine
        if engine is None:
            return _DEFAULT_RETURN_S
        wait_s = self._free_in_s(plan.service, excluded)
        step_s = admission_queue.return_step_s(
            engine,
            demand,
            len(self._candidates.own_engines(plan.service.name)),
            self._pool_nodes(),
        )
        return self._returns.add(
            plan.priority,
            _DEFAULT_RETURN_S if math.isinf(wait_s) else wait_s,
            step_s,
            clock.now_s(),
        )

    def wake(self) -> None:
        """Let the waiting requests try again, the most urgent one first."""
        if not self._turns:
            return
        if self._is_waking:
            self._has_changed = True
            return
        self._is_waking, self._has_changed = True, False
        loop = asyncio.get_running_loop()
        ordered = self._queue.in_order()
        nodes = self._pool_nodes()
        delays = sorted(
            admission_queue.turn_delay_s(request, nodes) for request in ordered
        )
        now = clock.now_s()
        for request, delay_s in zip(ordered, delays, strict=True):
            # The delay may be that of a request that waits for longer.
            latest_s = max(0.0, request.remaining_s(now) / 2)
            loop.call_later(min(delay_s, latest_s), self._turns[request].set)
        loop.call_later(delays[-1], self._end_waking)

    def _end_waking(self) -> None:
        self._is_waking = False
        if self._has_changed:
            self.wake()

    async def _try_in_turn(
        self,
        request: admission_queue.WaitingRequest,
        turn: asyncio.Event,
        trial: Trial,
    ) -> placements.Placement | None:
        while trial.may_go_on():
            remaining_s = request.expires_at_s - clock.now_s()
            if remaining_s <= 0:
                return None
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(remaining_s, _POLL_S)):
                    await turn.wait()
            turn.clear()
            # Others may have taken the slot in the meantime. Nothing is
            # awaited between this look and the start of the attempt.
            if trial.may_go_on():
                placement = trial.place()
                if placement is not None:
                    return placement
        return None

    @contextlib.contextmanager
    def _queued(
        self, request: admission_queue.WaitingRequest
    ) -> Iterator[asyncio.Event]:
        turn = self._turns[request] = asyncio.Event()
        self._queue.add(request)
        try:
            yield turn
        finally:
            del self._turns[request]
            self._queue.remove(request)

    def _request(
        self,
        plan: request_plan.RequestPlan,
        engine: routing_config.EngineSpec,
        demand: placement_cost.Demand,
        since_s: float,
    ) -> admission_queue.WaitingRequest:
        expected_s = plan.expected_duration_s()
        ends_at_s = since_s + admission_queue.wait_limit_s(
            plan.info.prompt_tokens, plan.route.target_latency_s
        )
        ends_at_s = min(ends_at_s, plan.deadline_s - expected_s)
        exits_at_s = self._exits_at_s()
        if exits_at_s is not None:
            ends_at_s = min(ends_at_s, exits_at_s - expected_s)
        return admission_queue.WaitingRequest(
            plan.account_name,
            demand,
            engine,
            since_s,
            ends_at_s,
            self._shares.excess(plan.account_name),
        )

    def _free_in_s(
        self, service: routing_config.Service, excluded: frozenset[str]
    ) -> float:
        """Return the predicted time until an engine of the pool has room.

        :param excluded: instances that are left out
        """
        engine = service.engine
        if engine is None:
            return math.inf
        now = clock.now_s()
        return min(
            (
                slot_forecast.free_in_s(
                    engine, self._table.requests(endpoint.instance), now
                )
                for endpoint in self._candidates.own_engines(service.name)
                if endpoint.instance not in excluded
            ),
            default=math.inf,
        )

    def _report(
        self,
        plan: request_plan.RequestPlan,
        request: admission_queue.WaitingRequest,
        result: str,
        free_in_s: float,
    ) -> None:
        waited_s = clock.now_s() - request.entered_at_s
        self._observe(result, waited_s)
        limit_s = request.expires_at_s - request.entered_at_s
        _log.info(
            "Wait for room ended",
            request=plan.info.attempt_id,
            account=plan.account_name,
            tokens=plan.info.prompt_tokens,
            result=result,
            waited_ms=round(waited_s * 1000),
            limit_ms=round(limit_s * 1000),
            predicted_ms=None
            if math.isinf(free_in_s)
            else round(free_in_s * 1000),
            waiting=self.waiting,
            excess=round(request.share_excess, 1),
        )


def _has_unknown_load(placement: placements.Placement) -> bool:
    return placement.load_source is placements.LoadSource.UNKNOWN
