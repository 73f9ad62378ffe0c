"""Running of one prompt over one or more engines."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
import time

from fireflyspur.clients import engine_client
from fireflyspur.clients import exceptions as client_exceptions
from fireflyspur.engines import exceptions
from fireflyspur.engines import prompt_request
from fireflyspur.errors import verdict
from fireflyspur.observability import logs
from fireflyspur.routing import engine_view
from fireflyspur.routing import router as routers

_MAX_ATTEMPTS = 4
_CANCEL_RETRY_S = 0.2

_log = logs.log_for("engines")


class PromptRunner:
    """Streams the answer of a prompt, moving between engines on failure.

    :param client: client of the engines
    :param router: chooses the engines
    :param owner: name and incarnation of this node
    """

    def __init__(
        self,
        client: engine_client.EngineClient,
        router: routers.Router,
        owner: str,
    ) -> None:
        self._client = client
        self._router = router
        self._owner = owner
        self._cancellations: set[asyncio.Task[None]] = set()

    async def run(
        self, request: prompt_request.PromptRequest
    ) -> AsyncIterator[engine_client.StreamLine]:
        """Yield the tokens in order, each once, then the closing line.

        :param request: the prompt
        :raises DeadlineExceededError: if the time limit passed
        :raises AttemptsExhaustedError: if all attempts failed
        :raises NoEngineError: if no engine takes the prompt
        """
        delivered: list[str] = []
        failed: list[str] = []
        for attempt in range(1, _MAX_ATTEMPTS + 1):
            placement = self._router.choose(_route(request), failed)
            try:
                async with contextlib.aclosing(
                    self._attempt(request, attempt, placement, delivered)
                ) as lines:
                    async for line in lines:
                        yield line
                return
            except _ATTEMPT_ERRORS as error:
                # A connection that timed out at the deadline did not fail.
                if time.monotonic() >= request.deadline:
                    raise _deadline_error(True) from error
                self._note_failure(placement, error)
                failed.append(placement.engine)
            finally:
                self._router.view.remove(placement)
        raise exceptions.AttemptsExhaustedError(
            f"{len(failed)} attempts failed",
            verdict=verdict.Verdict.MAY_HAVE_RUN,
        )

    async def close(self) -> None:
        """Wait until all cancellations are acknowledged or expired."""
        await asyncio.gather(*self._cancellations, return_exceptions=True)

    async def _attempt(
        self,
        request: prompt_request.PromptRequest,
        attempt: int,
        placement: engine_view.Placement,
        delivered: list[str],
    ) -> AsyncIterator[engine_client.StreamLine]:
        remaining_s = request.deadline - time.monotonic()
        if remaining_s <= 0:
            raise _deadline_error(bool(delivered) or attempt > 1)
        engine = self._router.view.address(placement.engine)
        start = engine_client.StreamStart(
            request_id=request.request_id,
            attempt=attempt,
            owner=self._owner,
            deadline=time.time() + remaining_s,
            model=request.model,
            adapter=request.adapter,
            prompt=request.prompt,
            max_tokens=request.max_tokens,
            priority=request.priority,
            start_index=len(delivered),
            prefix="".join(delivered),
        )
        finished = False
        try:
            async with contextlib.aclosing(
                self._client.start_stream(engine, start, remaining_s)
            ) as lines:
                async for line in lines:
                    if not _is_next(line, start, len(delivered)):
                        continue
                    if line.type == "token":
                        delivered.append(line.text)
                    finished = line.type == "done"
                    yield line
                    if finished:
                        return
            raise client_exceptions.EngineConnectionLostError(
                "the stream ended without its closing line"
            )
        finally:
            if not finished:
                self._cancel(engine, start, request.deadline)

    def _note_failure(
        self, placement: engine_view.Placement, error: Exception
    ) -> None:
        _log.info("Attempt on {} failed: {}", placement.engine, error)
        match error:
            case client_exceptions.EngineRefusedError(reason="leaving"):
                address = self._router.view.address(placement.engine)
                self._router.view.mark_leaving(address.address, address.port)
            case client_exceptions.EngineRefusedError():
                pass
            case _:
                self._router.view.mark_unreachable(placement.engine)

    def _cancel(
        self,
        engine: engine_client.EngineAddress,
        start: engine_client.StreamStart,
        deadline: float,
    ) -> None:
        task = asyncio.ensure_future(
            self._cancel_until_acknowledged(engine, start, deadline)
        )
        self._cancellations.add(task)
        task.add_done_callback(self._cancellations.discard)

    async def _cancel_until_acknowledged(
        self,
        engine: engine_client.EngineAddress,
        start: engine_client.StreamStart,
        deadline: float,
    ) -> None:
        # After the deadline the engine frees the stream by itself.
        while time.monotonic() < deadline:
            try:
                await self._client.cancel_stream(
                    engine, start.request_id, start.attempt
                )
                return
            except client_exceptions.EngineUnavailableError:
                await asyncio.sleep(_CANCEL_RETRY_S)
            except client_exceptions.EngineRefusedError:
                return


_ATTEMPT_ERRORS = (
    client_exceptions.EngineUnavailableError,
    client_exceptions.EngineRefusedError,
    client_exceptions.EngineConnectionLostError,
)


def _route(request: prompt_request.PromptRequest) -> routers.RouteRequest:
    return routers.RouteRequest(
        request.model,
        request.adapter,
        request.prompt,
        request.prompt_tokens,
        request.max_tokens,
    )


def _is_next(
    line: engine_client.StreamLine,
    start: engine_client.StreamStart,
    expected: int,
) -> bool:
    """Whether a line goes to the caller; late lines of others do not."""
    if line.request_id != start.request_id or line.attempt != start.attempt:
        return False
    if line.type == "error":
        raise client_exceptions.EngineRefusedError(line.code)
    if line.type != "token" or line.index == expected:
        return True
    if line.index > expected:
        raise client_exceptions.EngineConnectionLostError(
            f"expected token {expected}, got {line.index}"
        )
    return False


def _deadline_error(may_have_run: bool) -> exceptions.DeadlineExceededError:
    seen = verdict.Verdict.MAY_HAVE_RUN
    return exceptions.DeadlineExceededError(
        "the time limit passed",
        verdict=seen if may_have_run else verdict.Verdict.NOT_RUN,
    )
