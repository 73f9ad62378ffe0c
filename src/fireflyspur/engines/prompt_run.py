"""Attempts to run one prompt on engines."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import time
from typing import Any

from fireflyspur.clients import engine_client
from fireflyspur.clients import exceptions as client_exceptions
from fireflyspur.engines import attempt as attempts
from fireflyspur.engines import attempt_placer
from fireflyspur.engines import crash_reporter
from fireflyspur.engines import exceptions
from fireflyspur.engines import prompt_request
from fireflyspur.engines import quarantine as quarantines
from fireflyspur.engines import run_dependencies
from fireflyspur.engines import token_delivery
from fireflyspur.errors import exceptions as base_exceptions
from fireflyspur.errors import verdict as verdicts
from fireflyspur.observability import logs
from fireflyspur.routing import engine_view
from fireflyspur.routing import load_report

# Time reserved so that an error reaches the caller before the deadline.
_RESPONSE_MARGIN_S = 0.02
# Minimum time to set up an attempt.
_MIN_ATTEMPT_S = 0.05
# An acknowledged cancellation changes the verdict from "may have run" to "not
# run". The response waits for it up to this time.
_CANCEL_WAIT_S = 0.25
_INTERRUPT_WAIT_S = 0.5
_MAX_REFUSALS = 8
_MAX_ATTEMPTS = 16
_RETRY_AFTER_S = 1.0

_log = logs.log_for("engines")


class PromptRun:
    """Runs one prompt and retries failed attempts.

    :param deps: dependencies that all prompts share
    :param request: the prompt
    """

    def __init__(
        self,
        deps: run_dependencies.RunDependencies,
        request: prompt_request.PromptRequest,
    ) -> None:
        self._deps = deps
        self._request = request
        self._fingerprint = request.fingerprint or quarantines.fingerprint_of(
            request
        )
        self._delivery = token_delivery.TokenDelivery(request.request_id)
        self._deadline = request.deadline - _RESPONSE_MARGIN_S
        self._attempts: list[attempts.Attempt] = []
        self._placer = attempt_placer.AttemptPlacer(
            deps,
            request,
            self._fingerprint,
            self._deadline,
            self._check_deadline,
            self._check_quarantine,
        )
        self._refusals = 0

    async def lines(self) -> AsyncIterator[engine_client.StreamLine]:
        """Yield each token once and in order, then the final line.

        :raises FireflyspurError: with the verdict on all attempts
        """
        self._deps.budget.record_first_attempt()
        await self._deps.quarantine.wait_until_read()
        try:
            while True:
                self._check_deadline()
                async with contextlib.aclosing(self._run_attempt()) as lines:
                    async for line in lines:
                        yield line
                        if line.type == "done":
                            return
        except base_exceptions.FireflyspurError as error:
            raise await self._with_verdict(error) from error

    async def _run_attempt(self) -> AsyncIterator[engine_client.StreamLine]:
        """Yield the lines of one attempt; return if it is to be retried."""
        async with contextlib.AsyncExitStack() as stack:
            placed = await self._placer.place(stack)
            engine = self._deps.router.view.address(placed.placement.engine)
            active = stack.enter_context(
                self._deps.quarantine.reporter.track(
                    self._fingerprint, engine, placed.is_trial
                )
            )
            attempt = self._create_attempt(engine, placed, active)
            try:
                async with contextlib.aclosing(attempt.lines()) as lines:
                    async for line in lines:
                        self._update_router(placed.placement, line)
                        yield line
                return
            except _FAILURES as error:
                failure = error
            finally:
                self._release(attempt)
            await self._handle_failure(attempt, active, failure)

    def _update_router(
        self,
        placement: engine_view.Placement,
        line: engine_client.StreamLine,
    ) -> None:
        router = self._deps.router
        if line.type == "token":
            router.record_first_token(placement)
        else:
            router.finish(placement, line)

    def _create_attempt(
        self,
        engine: engine_client.EngineAddress,
        placed: attempt_placer.PlacedAttempt,
        active: crash_reporter.ActiveAttempt,
    ) -> attempts.Attempt:
        request, group = self._request, placed.group
        start = engine_client.StreamRequest(
            request_id=request.request_id,
            attempt=len(self._attempts) + 1,
            owner=self._deps.owner,
            deadline=time.time() + self._deadline - time.monotonic(),
            model=request.model,
            adapter=request.adapter,
            prompt=request.prompt,
            max_tokens=request.max_tokens,
            priority=self._deps.router.engine_priority(
                request.priority, request.prompt_tokens
            ),
            start_index=self._delivery.count,
            prefix=self._delivery.text,
            reservation=group.reservation if group else "",
            group=group.others if group else [],
        )

        def update_load(report: dict[str, Any]) -> None:
            self._deps.router.view.update_load(
                engine.name, load_report.parse(report)
            )
            if "incarnation" in report:
                self._deps.quarantine.reporter.set_incarnation(
                    active, str(report["incarnation"])
                )

        attempt = attempts.Attempt(
            self._deps.client,
            engine,
            start,
            self._delivery,
            self._deadline,
            update_load,
        )
        active.attempt = attempt
        self._attempts.append(attempt)
        return attempt

    def _release(self, attempt: attempts.Attempt) -> None:
        if attempt.is_finished or attempt.was_refused:
            return
        start = attempt.start
        attempt.release = self._deps.releaser.release(
            attempt.engine,
            engine_client.Holding(
                "stream",
                start.request_id,
                start.owner,
                start.deadline,
                start.attempt,
            ),
        )

    async def _handle_failure(
        self,
        attempt: attempts.Attempt,
        active: crash_reporter.ActiveAttempt,
        error: base_exceptions.FireflyspurError,
    ) -> None:
        """Handle a failed attempt; raise an error if it cannot be retried."""
        engine = attempt.engine
        self._check_deadline()
        _log.info("Attempt on {} failed: {}", engine.name, error)
        self._deps.trail.add(
            "engines",
            "attempt_failed",
            f"request/{self._request.request_id}/{attempt.start.attempt}",
            f"{engine.name}: {error}",
        )
        if attempt.was_refused:
            self._handle_refusal(engine, error)
            return
        if attempt.was_interrupted:
            # Does not count as a failure: the request is run again as a trial,
            # which has its own limits. The engine may have crashed before it
            # received the cancellation.
            if attempt.release:
                await asyncio.wait(
                    [attempt.release], timeout=_INTERRUPT_WAIT_S
                )
            await self._deps.quarantine.reporter.check(active)
            return
        self._placer.add_failed(engine.name)
        has_crashed = False
        if isinstance(error, client_exceptions.EngineConnectionLostError):
            has_crashed = await self._deps.quarantine.reporter.check(active)
        if has_crashed:
            self._deps.router.view.mark_unreachable(engine.name)
            self._check_quarantine()
        # After a crash, the retry budget does not apply. The prompt is a
        # suspect, and the trials in the log limit its retries: usually one
        # trial at a time on each engine.
        if len(self._attempts) >= _MAX_ATTEMPTS or not (
            has_crashed or self._deps.budget.try_spend()
        ):
            raise exceptions.AttemptsExhaustedError(
                f"{len(self._placer.failed_engines)} attempts failed, the last"
                f" one on {engine.name}: {error}",
                retry_after_s=_RETRY_AFTER_S,
            ) from error

    def _handle_refusal(
        self,
        engine: engine_client.EngineAddress,
        error: base_exceptions.FireflyspurError,
    ) -> None:
        view = self._deps.router.view
        self._placer.add_failed(engine.name)
        match error:
            case client_exceptions.EngineRefusedError(reason="leaving"):
                view.mark_engine_leaving(engine.name)
            case client_exceptions.EngineRefusedError():
                pass
            case _:
                view.mark_unreachable(engine.name)
        self._refusals += 1
        if self._refusals >= _MAX_REFUSALS or not self._placer.has_untried():
            raise exceptions.EnginesBusyError(
                f"{self._refusals} engines refused the prompt, the last one"
                f" {engine.name}: {error}",
                retry_after_s=_RETRY_AFTER_S,
            ) from error

    def _check_deadline(self) -> None:
        if self._deadline - time.monotonic() < _MIN_ATTEMPT_S:
            raise exceptions.DeadlineExceededError("the time limit passed")

    def _check_quarantine(self) -> None:
        self._deps.quarantine.check(self._fingerprint, self._verdict())

    def _verdict(self) -> verdicts.Verdict:
        if any(attempt.may_have_run for attempt in self._attempts):
            return verdicts.Verdict.MAY_HAVE_RUN
        return verdicts.Verdict.NOT_RUN

    async def _with_verdict(
        self, error: base_exceptions.FireflyspurError
    ) -> base_exceptions.FireflyspurError:
        """Return the error with the verdict on all attempts."""
        pending = [a.release for a in self._attempts if a.release]
        wait_s = min(_CANCEL_WAIT_S, self._deadline - time.monotonic())
        if pending and not self._delivery.count and wait_s > 0:
            await asyncio.wait(pending, timeout=wait_s)
        return type(error)(
            str(error),
            verdict=self._verdict(),
            retry_after_s=error.retry_after_s,
        )


_FAILURES = (
    client_exceptions.EngineUnavailableError,
    client_exceptions.EngineRefusedError,
    client_exceptions.EngineFailedError,
    client_exceptions.EngineConnectionLostError,
)
