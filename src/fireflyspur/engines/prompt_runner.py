"""Runner of prompts on one or more engines."""

from collections.abc import AsyncIterator
import contextlib
from typing import Any

from fireflyspur.clients import engine_client
from fireflyspur.engines import prompt_request
from fireflyspur.engines import prompt_run
from fireflyspur.engines import run_dependencies


class PromptRunner:
    """Streams the responses to prompts and retries on other engines.

    :param parts: shared dependencies
    """

    def __init__(self, parts: run_dependencies.RunDependencies) -> None:
        self._parts = parts

    async def run(
        self, request: prompt_request.PromptRequest
    ) -> AsyncIterator[engine_client.StreamLine]:
        """Yield each token once and in order, then the final line.

        :param request: the prompt
        :raises DeadlineExceededError: if the time limit passed
        :raises AttemptsExhaustedError: if all attempts failed
        :raises EnginesBusyError: if the engines refused the prompt
        :raises RequestQuarantinedError: if the prompt crashed two engines
        :raises PromptTooLargeError: if all engines have too little memory
        :raises NoEngineError: if no engine accepts the prompt
        """
        run = prompt_run.PromptRun(self._parts, request)
        async with contextlib.aclosing(run.lines()) as lines:
            async for line in lines:
                yield line

    async def close(self) -> None:
        """Wait until all releases are acknowledged or have expired."""
        await self._parts.releaser.close()

    def view(self) -> dict[str, Any]:
        """Return the state for operators."""
        return {
            "retry_budget": self._parts.budget.view(),
            "quarantine": self._parts.quarantine.view(),
            "pending_releases": self._parts.releaser.pending,
        }
