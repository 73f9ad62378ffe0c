"""Running of prompts over one or more engines."""

from collections.abc import AsyncIterator
import contextlib
from typing import Any

from fireflyspur.clients import engine_client
from fireflyspur.engines import prompt_request
from fireflyspur.engines import prompt_run


class PromptRunner:
    """Streams the answers of prompts, moving between engines on failure.

    :param parts: what the prompts share
    """

    def __init__(self, parts: prompt_run.RunParts) -> None:
        self._parts = parts

    async def run(
        self, request: prompt_request.PromptRequest
    ) -> AsyncIterator[engine_client.StreamLine]:
        """Yield the tokens in order, each once, then the closing line.

        :param request: the prompt
        :raises DeadlineExceededError: if the time limit passed
        :raises AttemptsExhaustedError: if all attempts failed
        :raises EnginesBusyError: if the engines refused the prompt
        :raises RequestQuarantinedError: if the prompt crashed two engines
        :raises PromptTooLargeError: if its engines have too little memory
        :raises NoEngineError: if no engine takes the prompt
        """
        run = prompt_run.PromptRun(self._parts, request)
        async with contextlib.aclosing(run.lines()) as lines:
            async for line in lines:
                yield line

    async def close(self) -> None:
        """Wait until all releases are acknowledged or expired."""
        await self._parts.releaser.close()

    def view(self) -> dict[str, Any]:
        """Return the state for operators."""
        return {
            "retry_budget": self._parts.budget.view(),
            "quarantine": self._parts.quarantine.view(),
            "pending_releases": self._parts.releaser.pending,
        }
