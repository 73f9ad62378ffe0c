"""One attempt of a prompt on one engine."""

import asyncio
from collections.abc import AsyncIterator
from collections.abc import Callable
import contextlib
import time
from typing import Any

from fireflyspur.clients import engine_client
from fireflyspur.clients import exceptions
from fireflyspur.engines import token_delivery

# Maximum number of consecutive resumes without a token. After that the prompt
# moves to another engine.
_MAX_RESUMES_WITHOUT_TOKEN = 2
_RESUME_DELAY_S = 0.05


class Attempt:
    """Streams from one engine and resumes there after a broken connection.

    :param engine: the engine
    :param start: parameters of the stream
    :param delivery: orders the tokens
    :param deadline: monotonic time in seconds at which the attempt fails
    :param on_load: called with the load report of each response
    """

    def __init__(
        self,
        client: engine_client.EngineClient,
        engine: engine_client.EngineAddress,
        start: engine_client.StreamRequest,
        delivery: token_delivery.TokenDelivery,
        deadline: float,
        on_load: Callable[[dict[str, Any]], None],
    ) -> None:
        self._client = client
        self.engine = engine
        self.start = start
        self._delivery = delivery
        self._deadline = deadline
        self._on_load = on_load
        self._interrupt: asyncio.Future[None] = asyncio.Future()
        self.was_refused = False
        self.is_finished = False
        self.release: asyncio.Task[bool] | None = None

    @property
    def was_interrupted(self) -> bool:
        """Whether this node interrupted the attempt."""
        return self._interrupt.done()

    @property
    def has_tokens(self) -> bool:
        """Whether a token of this attempt was delivered."""
        return self._delivery.count > self.start.start_index

    @property
    def may_have_run(self) -> bool:
        """Whether an engine may have run, or may still run, the attempt."""
        if self.was_refused:
            return False
        acknowledged = (
            self.release is not None
            and self.release.done()
            and not self.release.cancelled()
            and self.release.result()
        )
        return self.has_tokens or not acknowledged

    def interrupt(self) -> None:
        """Interrupt the attempt."""
        if not self._interrupt.done():
            self._interrupt.set_result(None)

    async def lines(self) -> AsyncIterator[engine_client.StreamLine]:
        """Yield the lines in order, up to the final one.

        :raises EngineUnavailableError: if nothing was sent to the engine
        :raises EngineRefusedError: if the engine refused the stream
        :raises EngineFailedError: if the engine aborted the stream
        :raises EngineConnectionLostError: if the stream cannot be resumed
        """
        self._delivery.start_attempt(self.start.attempt)
        source = self._client.start_stream(
            self.engine,
            self.start,
            self._remaining_s(),
            self._on_load,
            self._interrupt,
        )
        breaks_without_token, is_resumed = 0, False
        while True:
            count = self._delivery.count
            try:
                async with contextlib.aclosing(source) as lines:
                    async for line in lines:
                        for delivered in self._delivery.accept(line):
                            self.is_finished = delivered.type == "done"
                            yield delivered
                        if self.is_finished:
                            return
                failure = exceptions.EngineConnectionLostError(
                    "the stream ended without its final line"
                )
            except exceptions.EngineConnectionLostError as error:
                failure = error
            except _REFUSALS as error:
                if not is_resumed:
                    self.was_refused = True
                    raise
                failure = exceptions.EngineConnectionLostError(str(error))
                breaks_without_token = _MAX_RESUMES_WITHOUT_TOKEN
            breaks_without_token = (
                0 if self._delivery.count > count else breaks_without_token
            )
            breaks_without_token += 1
            if (
                breaks_without_token > _MAX_RESUMES_WITHOUT_TOKEN
                or self.was_interrupted
            ):
                raise failure
            if self._remaining_s() <= _RESUME_DELAY_S:
                raise failure
            await asyncio.sleep(_RESUME_DELAY_S)
            is_resumed, source = True, self._resume()

    def _resume(self) -> AsyncIterator[engine_client.StreamLine]:
        return self._client.resume_stream(
            self.engine,
            self.start.request_id,
            self.start.attempt,
            self._delivery.count,
            self._remaining_s(),
            self._on_load,
            self._interrupt,
        )

    def _remaining_s(self) -> float:
        return self._deadline - time.monotonic()


_REFUSALS = (
    exceptions.EngineUnavailableError,
    exceptions.EngineRefusedError,
)
