"""Continuous batching with chunked prefill."""

import asyncio
from collections.abc import Callable
import os
import time

from fireflyspur.standins import token_source
from fireflyspur.standins.engine import kv_memory  # noqa: H306
from fireflyspur.standins.engine import settings as engine_settings
from fireflyspur.standins.engine import stream as streams

_CRASH_EXIT_CODE = 70
# Above this size the response is computed off the event loop.
_LARGE_PROMPT_CHARACTERS = 65536
# A step that starts this late starts anew instead of catching up, so that a
# stall of the machine does not look like a burst of tokens.
_MAX_CATCH_UP_S = 0.5


class Batch:
    """The step loop over the waiting and running streams.

    :param settings: speed and bounds of the engine
    :param memory: KV memory
    :param on_end: called with a stream that generated all its tokens
    """

    def __init__(
        self,
        settings: engine_settings.EngineSettings,
        memory: kv_memory.KvMemory,
        on_end: Callable[[streams.Stream], None],
    ) -> None:
        self._settings = settings
        self._memory = memory
        self._on_end = on_end
        self._work = asyncio.Event()
        # Reservations and imports give memory back, too.
        memory.on_release = self._work.set
        self.waiting: list[streams.Stream] = []
        self.running: list[streams.Stream] = []
        self.crash_texts: tuple[str, ...] = ()
        self.slow_factor = 1.0
        self.tokens_generated = 0

    def add(self, stream: streams.Stream) -> None:
        """Queue a stream."""
        self.waiting.append(stream)
        self.waiting.sort(key=lambda s: s.order)
        self._work.set()

    def remove(self, stream: streams.Stream) -> None:
        """Take a stream out and free its memory."""
        for queue in (self.waiting, self.running):
            if stream in queue:
                queue.remove(stream)
        self._memory.release(stream.allocation)
        self._work.set()

    async def run(self) -> None:
        """Run steps while there is work, for ever."""
        due = time.monotonic()
        while True:
            self._admit()
            if not self.running:
                self._work.clear()
                await self._work.wait()
                due = time.monotonic()
                continue
            chunks = self._plan_prefill()
            decoding = [
                s for s in self.running if s.phase is streams.Phase.DECODE
            ]
            step_s = self._settings.step_s(
                sum(count for _, count in chunks), len(decoding)
            )
            step_s *= self.slow_factor / self._settings.time_factor
            now = time.monotonic()
            due = (now if now - due > _MAX_CATCH_UP_S else due) + step_s
            await asyncio.sleep(max(0.0, due - now))
            self._crash_if_poisoned()
            self._finish_prefill(chunks)
            self._decode(decoding)

    def _admit(self) -> None:
        """Move streams into the batch, in their order.

        A stream whose memory was reserved does not wait behind one that
        needs memory: the reservation may be what the other waits for.
        """
        is_blocked = False
        for stream in list(self.waiting):
            if len(self.running) >= self._settings.max_running:
                return
            if is_blocked and not stream.allocation.blocks:
                continue
            if not self._take_memory(stream):
                is_blocked = True
                continue
            self.waiting.remove(stream)
            self.running.append(stream)
            stream.phase = streams.Phase.PREFILL
            cached = len(stream.allocation.shared)
            # The last token is always computed, for the first output token.
            stream.prefilled = min(
                cached * self._settings.block_tokens, stream.prompt.tokens - 1
            )
            self._prepare_texts(stream)

    def _take_memory(self, stream: streams.Stream) -> bool:
        if stream.allocation.blocks:
            return True
        blocks = -(-stream.total_tokens // self._settings.block_tokens)
        allocation = self._memory.allocate(blocks, stream.prompt.hashes)
        if allocation is None:
            return False
        stream.allocation = allocation
        return True

    def _prepare_texts(self, stream: streams.Stream) -> None:
        body = stream.body
        arguments = (
            body["model"],
            body.get("adapter", ""),
            body["prompt"],
            range(stream.next_index, body["max_tokens"]),
        )
        if len(body["prompt"]) > _LARGE_PROMPT_CHARACTERS:
            stream.texts = asyncio.ensure_future(
                asyncio.to_thread(token_source.token_texts, *arguments)
            )

    def _plan_prefill(self) -> list[tuple[streams.Stream, int]]:
        """Share the step's prompt tokens, the most urgent stream first."""
        left = self._settings.step_tokens
        chunks = []
        for stream in sorted(self.running, key=lambda s: s.order):
            if not left:
                break
            if stream.phase is streams.Phase.PREFILL:
                count = min(left, stream.waiting_tokens)
                chunks.append((stream, count))
                left -= count
        return chunks

    def _finish_prefill(
        self, chunks: list[tuple[streams.Stream, int]]
    ) -> None:
        for stream, count in chunks:
            if stream.is_ended:
                continue
            stream.prefilled += count
            if not stream.waiting_tokens:
                self._memory.store(stream.allocation, stream.prompt.hashes)
                stream.phase = streams.Phase.DECODE
                self._generate(stream)

    def _decode(self, decoding: list[streams.Stream]) -> None:
        for stream in decoding:
            if not stream.is_ended:
                self._generate(stream)

    def _generate(self, stream: streams.Stream) -> None:
        body, index = stream.body, stream.next_index
        if index < body["max_tokens"]:
            if stream.texts is None:
                text = token_source.token_text(
                    body["model"],
                    body.get("adapter", ""),
                    body["prompt"],
                    index,
                )
            elif stream.texts.done():
                text = stream.texts.result()[
                    index - body.get("start_index", 0)
                ]
            else:
                return
            stream.add({"type": "token", "index": index, "text": text})
            stream.next_index += 1
            self.tokens_generated += 1
        if stream.next_index >= body["max_tokens"]:
            self.remove(stream)
            self._on_end(stream)

    def _crash_if_poisoned(self) -> None:
        for stream in self.running:
            # Searching a long prompt in every step would slow the steps down.
            if stream.searched_for is self.crash_texts:
                continue
            stream.searched_for = self.crash_texts
            if any(t in stream.body["prompt"] for t in self.crash_texts):
                os._exit(_CRASH_EXIT_CODE)
