"""Choice of the engines for the attempts of one prompt."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import contextlib
import dataclasses

from fireflyspur.engines import exceptions
from fireflyspur.engines import group_reserver
from fireflyspur.engines import prompt_request
from fireflyspur.engines import run_dependencies
from fireflyspur.observability import logs
from fireflyspur.routing import engine_view
from fireflyspur.routing import router as routers

# A full engine may still be a candidate for the next trial.
_TRIAL_PAUSE_S = 0.1

_log = logs.log_for("engines")


@dataclasses.dataclass(frozen=True)
class PlacedAttempt:
    """An engine that was chosen for a prompt.

    :param group: engines whose memory is reserved for it, if it needs several
    :param is_trial: whether the prompt is a suspect that is tried alone
    """

    placement: engine_view.Placement
    group: group_reserver.Group | None = None
    is_trial: bool = False


class AttemptPlacer:
    """Chooses engines, alone for a suspect and in groups for large prompts.

    :param deps: objects that all prompts share
    :param request: the prompt
    :param fingerprint: identifies the prompt to the quarantine
    :param deadline: monotonic time in seconds
    :param check_deadline: raises an error if the time limit has passed
    :param check_quarantine: raises an error if the prompt is quarantined
    """

    def __init__(
        self,
        deps: run_dependencies.RunDependencies,
        request: prompt_request.PromptRequest,
        fingerprint: str,
        deadline: float,
        check_deadline: Callable[[], None],
        check_quarantine: Callable[[], None],
    ) -> None:
        self._deps = deps
        self._request = request
        self._fingerprint = fingerprint
        self._deadline = deadline
        self._check_deadline = check_deadline
        self._check_quarantine = check_quarantine
        self._failed_engines: list[str] = []

    @property
    def failed_engines(self) -> Sequence[str]:
        """Engines on which attempts have failed, in order."""
        return self._failed_engines

    def add_failed(self, engine: str) -> None:
        """Prefer other engines from now on."""
        self._failed_engines.append(engine)

    def has_untried(self) -> bool:
        """Return whether an engine without a failed attempt may be used."""
        return not set(self._candidates()) <= set(self._failed_engines)

    async def place(self, stack: contextlib.AsyncExitStack) -> PlacedAttempt:
        """Choose an engine for the next attempt.

        :param stack: holds the placement until the attempt has ended
        :raises FireflyspurError: if the prompt may not be run now
        """
        deps = self._deps
        self._check_quarantine()
        needed_tokens = self._request.prompt_tokens + self._request.max_tokens
        if self._needs_group(needed_tokens):
            group = await stack.enter_async_context(
                deps.reserver.reserve(
                    needed_tokens, self._members, self._deadline
                )
            )
            placement = engine_view.Placement(
                group.lead.name, self._request.prompt_tokens, needed_tokens
            )
            deps.router.view.add(placement)
            placed = PlacedAttempt(placement, group)
        elif deps.quarantine.is_suspect(self._fingerprint):
            placed = await self._place_trial(stack)
            placement = placed.placement
        else:
            avoid = {*self._failed_engines, *deps.quarantine.trials.engines()}
            placement = deps.router.choose(self._route(), avoid)
            placed = PlacedAttempt(placement)
        stack.callback(deps.router.finish, placement)
        return placed

    async def _place_trial(
        self, stack: contextlib.AsyncExitStack
    ) -> PlacedAttempt:
        """Place the prompt on an engine on which it has a trial.

        If the engine is lost or fills up while the trial is recorded in the
        log, another trial is acquired.

        :param stack: gets the trial
        """
        router = self._deps.router
        while True:
            self._check_deadline()
            async with contextlib.AsyncExitStack() as trial_stack:
                trial = await trial_stack.enter_async_context(
                    self._deps.quarantine.trials.acquire(
                        self._fingerprint,
                        self._trial_candidates,
                        self._deadline,
                        self._check_quarantine,
                    )
                )
                avoid = set(self._candidates()) - {trial.engine}
                placement = router.choose(self._route(), avoid)
                if placement.engine == trial.engine:
                    stack.push_async_exit(trial_stack.pop_all())
                    return PlacedAttempt(placement, None, trial.is_recorded)
                router.finish(placement)
            _log.info(
                "Engine {} accepts no more requests, another trial follows",
                trial.engine,
            )
            await asyncio.sleep(_TRIAL_PAUSE_S)

    def _candidates(self) -> list[str]:
        return self._deps.router.view.candidates(
            self._request.model, self._request.adapter
        )

    def _trial_candidates(self) -> list[str]:
        names = self._candidates()
        if not names:
            raise self._deps.router.refusal(self._route())
        return [n for n in names if n not in self._failed_engines] or names

    def _members(self) -> list[group_reserver.Member]:
        view = self._deps.router.view
        specs = view.specs()
        return [
            group_reserver.Member(view.address(n), specs[n].memory_tokens)
            for n in self._candidates()
            if n not in self._failed_engines
        ]

    def _needs_group(self, tokens: int) -> bool:
        """Return whether no single engine has enough memory.

        :raises PromptTooLargeError: if all engines together have too little
        """
        sizes = [
            spec.memory_tokens
            for spec in self._deps.router.view.specs().values()
            if self._request.model in spec.models
        ]
        if sizes and tokens > sum(sizes):
            raise exceptions.PromptTooLargeError(
                f"the prompt needs {tokens} tokens of memory, and the engines"
                f" of model {self._request.model} have {sum(sizes)}"
            )
        return bool(sizes) and tokens > max(sizes)

    def _route(self) -> routers.RouteRequest:
        request = self._request
        return routers.RouteRequest(
            request.model,
            request.adapter,
            request.prompt,
            request.prompt_tokens,
            request.max_tokens,
            request.priority,
            request.prefix_digests,
        )
