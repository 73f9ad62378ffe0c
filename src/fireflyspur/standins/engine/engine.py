"""The engine stand-in: streams, holdings, load reports and statistics."""

import asyncio
import collections
from collections.abc import Iterable
import dataclasses
import time
from typing import Any

from fireflyspur.standins.engine import batch
from fireflyspur.standins.engine import cache_events
from fireflyspur.standins.engine import holdings
from fireflyspur.standins.engine import kv_memory
from fireflyspur.standins.engine import residency
from fireflyspur.standins.engine import settings as engine_settings
from fireflyspur.standins.engine import stream as streams

_SWEEP_INTERVAL_S = 0.1
_MAX_CANCELLED = 100_000
_MAX_STATISTICS = 200_000
# A stream whose last line was sent is kept this long for a caller that lost
# the end of the response.
_DELIVERED_KEPT_S = 10.0


class RefusedError(Exception):
    """A call that the engine refuses.

    :param status: HTTP status
    :param code: code for the caller
    """

    def __init__(self, status: int, code: str) -> None:
        super().__init__(code)
        self.status = status
        self.code = code


class Engine:
    """One engine.

    :param settings: what it can do
    """

    def __init__(self, settings: engine_settings.EngineSettings) -> None:
        self.settings = settings
        self.incarnation = time.time_ns() // 1_000_000
        self.events = cache_events.CacheEvents(
            settings.event_lag_s / settings.time_factor,
            settings.event_loss,
            settings.seed,
        )
        self.memory = kv_memory.KvMemory(
            settings.memory_tokens // settings.block_tokens, self.events.add
        )
        self.holdings = holdings.HoldingTable(self.memory)
        self.residency = residency.Residency(settings, self.memory.clear_cache)
        self.streams: dict[tuple[str, int], streams.Stream] = {}
        self._batch = batch.Batch(settings, self.memory, self._end_generated)
        self._cancelled: collections.OrderedDict[tuple[str, int], None] = (
            collections.OrderedDict()
        )
        self._arrivals = 0
        self._reports: collections.deque[dict[str, Any]] = collections.deque(
            maxlen=2
        )
        self._runs: dict[tuple[str, int], dict[str, Any]] = {}
        self._prompts: collections.Counter[str] = collections.Counter()
        self.set_faults(engine_settings.EngineFaults())

    async def run(self) -> None:
        """Run the engine's tasks, for ever."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._batch.run())
            group.create_task(self._sweep())
            group.create_task(self._report())

    def set_faults(self, faults: engine_settings.EngineFaults) -> None:
        """Replace the faults."""
        self.faults = faults
        texts = (self.settings.crash_on, faults.crash_on)
        self._batch.crash_texts = tuple(text for text in texts if text)
        self._batch.slow_factor = faults.slow_factor
        if self.settings.load_lag_s <= 0:
            self._reports.clear()
            if faults.freeze_load:
                self._reports.append(self._sample())

    def check_start(self, body: dict[str, Any]) -> None:
        """Check a request before its prompt is counted.

        :raises RefusedError: if it cannot start
        """
        if self.residency.is_leaving:
            raise RefusedError(503, "leaving")
        key = body["request_id"], body["attempt"]
        if key in self._cancelled:
            raise RefusedError(409, "cancelled")
        if key in self.streams:
            raise RefusedError(409, "duplicate_stream")
        if body["deadline"] <= time.time():
            raise RefusedError(409, "deadline_passed")
        if not self.residency.serves(body["model"], body.get("adapter", "")):
            raise RefusedError(409, "model_not_resident")

    def start(
        self,
        body: dict[str, Any],
        prompt: streams.Prompt,
        group_tokens: int | None = None,
    ) -> streams.Stream:
        """Start a stream.

        :param group_tokens: tokens that the other engines of the group have
            reserved, or None without a group
        :raises RefusedError: if it cannot start
        """
        # The prompt was counted off the event loop, and the state may have
        # changed meanwhile.
        self.check_start(body)
        self._arrivals += 1
        stream = streams.Stream(body, prompt, self._arrivals)
        own = self._reserved_tokens(body)
        if group_tokens is not None:
            if not own:
                raise RefusedError(409, "unknown_reservation")
            if stream.total_tokens > own + group_tokens:
                raise RefusedError(413, "too_large")
        elif stream.total_tokens > self.memory.total * self._block_tokens:
            raise RefusedError(413, "too_large")
        elif own and stream.total_tokens > own:
            raise RefusedError(409, "reservation_too_small")
        if own:
            allocation = self.holdings.take("reservation", body["reservation"])
            stream.allocation = allocation or kv_memory.Allocation()
        self.streams[stream.key] = stream
        self._count(stream)
        self._batch.add(stream)
        return stream

    def cancel(self, request_id: str, attempt: int) -> None:
        """End a stream and free its memory, now and for later starts."""
        key = request_id, attempt
        self._cancelled[key] = None
        if len(self._cancelled) > _MAX_CANCELLED:
            self._cancelled.popitem(last=False)
        stream = self.streams.pop(key, None)
        if stream and not stream.is_ended:
            self._end(stream, "cancelled")

    def reserve(self, body: dict[str, Any]) -> holdings.Holding:
        """Reserve memory.

        :raises RefusedError: if it is not free now
        """
        if self.residency.is_leaving:
            raise RefusedError(503, "leaving")
        known = self.holdings.get("reservation", body["reservation_id"])
        if known:
            return known
        if body["deadline"] <= time.time():
            raise RefusedError(409, "deadline_passed")
        return self.holdings.add(
            "reservation", body, self._allocate(body["tokens"], [])
        )

    def export(
        self, body: dict[str, Any], prompt: streams.Prompt
    ) -> holdings.Holding:
        """Keep the cached blocks of a prompt for another engine.

        :raises RefusedError: if no block of it is cached
        """
        chain = self.memory.match(prompt.hashes)
        if not chain:
            raise RefusedError(404, "not_cached")
        tokens = len(chain) * self._block_tokens
        return self.holdings.add("export", body, self._allocate(tokens, chain))

    async def import_blocks(
        self, body: dict[str, Any], chain: list[str]
    ) -> int:
        """Receive exported blocks; returns when the transfer is done.

        :returns: the tokens received
        :raises RefusedError: if the memory is not free
        """
        tokens = len(chain) * self._block_tokens
        allocation = self._allocate(tokens, chain)
        new_tokens = allocation.private * self._block_tokens
        holding = self.holdings.add("import", body, allocation)
        seconds = new_tokens / self.settings.transfer_tokens_per_s
        await asyncio.sleep(seconds / self.settings.time_factor)
        if self.holdings.get("import", holding.name) is not holding:
            raise RefusedError(409, "deadline_passed")
        self.memory.store(allocation, chain)
        self.holdings.free("import", holding.name)
        return new_tokens

    def load(self) -> dict[str, Any]:
        """Return the load report, as old as it is by now."""
        return self._reports[0] if self._reports else self._sample()

    def state(self) -> dict[str, Any]:
        """Return what the engine holds and does."""
        held = self.residency
        return {
            "models": held.models,
            "adapters": held.adapters,
            "serves_any_model": held.serves_any,
            "loading": held.loading,
            "role": held.role,
            "incarnation": self.incarnation,
            "leaving": held.is_leaving,
            "fencing": held.fencing,
            "block_tokens": self._block_tokens,
        }

    def list_holdings(self) -> list[dict[str, Any]]:
        """Return all that holds memory or will, with owner and deadline."""
        listed = [
            {
                "kind": "stream",
                "id": stream.key[0],
                "attempt": stream.key[1],
                "owner": stream.body.get("owner", ""),
                "deadline": stream.body["deadline"],
                "tokens": stream.allocation.blocks * self._block_tokens,
            }
            for stream in self._live_streams()
        ]
        rest = self.holdings.all()
        return listed + [h.describe(self._block_tokens) for h in rest]

    def statistics(self) -> dict[str, Any]:
        """Return what the checks of a test ask for."""
        memory = self.memory
        return {
            "streams": list(self._runs.values()),
            "tokens_generated": self._batch.tokens_generated,
            "prompts": dict(self._prompts),
            "blocks": {
                "total": memory.total,
                "live": memory.live,
                "cached": memory.cached,
                "free": memory.free,
            },
        }

    @property
    def _block_tokens(self) -> int:
        return self.settings.block_tokens

    def _live_streams(self) -> Iterable[streams.Stream]:
        return (s for s in self.streams.values() if not s.is_ended)

    def _reserved_tokens(self, body: dict[str, Any]) -> int:
        name = body.get("reservation", "")
        if not name:
            return 0
        holding = self.holdings.get("reservation", name)
        if holding is None:
            raise RefusedError(409, "unknown_reservation")
        return holding.allocation.blocks * self._block_tokens

    def _allocate(self, tokens: int, chain: list[str]) -> kv_memory.Allocation:
        blocks = -(-tokens // self._block_tokens)
        allocation = self.memory.allocate(blocks, chain)
        if allocation is None:
            raise RefusedError(409, "no_memory")
        return allocation

    def _count(self, stream: streams.Stream) -> None:
        request_id, attempt = stream.key
        if len(self._runs) < _MAX_STATISTICS:
            self._runs[stream.key] = {
                "request_id": request_id,
                "attempt": attempt,
                "fingerprint": stream.prompt.fingerprint,
                "tokens": 0,
                "end": "",
            }
            self._prompts[stream.prompt.fingerprint] += 1

    def _end_generated(self, stream: streams.Stream) -> None:
        generated = stream.next_index - stream.body.get("start_index", 0)
        prompt_tokens = stream.prompt.tokens
        usage = {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": generated,
            "total_tokens": prompt_tokens + generated,
        }
        self._note_end(stream, "done")
        stream.end(
            {
                "type": "done",
                "finish_reason": "length",
                "usage": usage,
                "load": self.load(),
            }
        )

    def _end(self, stream: streams.Stream, code: str) -> None:
        self._batch.remove(stream)
        self._note_end(stream, code)
        stream.end({"type": "error", "code": code, "load": self.load()})

    def _note_end(self, stream: streams.Stream, code: str) -> None:
        run = self._runs.get(stream.key)
        if run:
            start = stream.body.get("start_index", 0)
            run["tokens"] = stream.next_index - start
            run["end"] = code

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(_SWEEP_INTERVAL_S)
            if self.settings.frees_expired:
                self._free_expired(time.time())

    def _free_expired(self, now: float) -> None:
        for key, stream in list(self.streams.items()):
            delivered_at = stream.delivered_at
            if stream.body["deadline"] <= now:
                if not stream.is_ended:
                    self._end(stream, "deadline_passed")
                del self.streams[key]
            elif delivered_at and delivered_at + _DELIVERED_KEPT_S < now:
                del self.streams[key]
        for holding in self.holdings.all():
            if holding.deadline <= now:
                self.holdings.free(holding.kind, holding.name)

    async def _report(self) -> None:
        """Take a sample in each period; the one before it is shown."""
        lag_s = self.settings.load_lag_s / self.settings.time_factor
        while lag_s > 0:
            if not self.faults.freeze_load:
                self._reports.append(self._sample())
            await asyncio.sleep(lag_s)

    def _sample(self) -> dict[str, Any]:
        waiting = len(self._batch.waiting)
        live = list(self._live_streams())
        held = self.residency
        by_priority: collections.Counter[str] = collections.Counter()
        for stream in live:
            if stream.waiting_tokens:
                by_priority[str(stream.order[0])] += stream.waiting_tokens
        return {
            "time": time.time(),
            "waiting_prefill_tokens": sum(by_priority.values()),
            "prefill_by_priority": dict(by_priority),
            "running_streams": len(self._batch.running),
            "waiting_streams": waiting,
            "free_kv_tokens": self.memory.free * self._block_tokens,
            "total_kv_tokens": self.memory.total * self._block_tokens,
            "models": None if held.serves_any else sorted(held.models),
            "incarnation": self.incarnation,
            "leaving": held.is_leaving,
            "max_requests_per_s": self.faults.max_requests_per_s or None,
        }


def faults_from(value: dict[str, Any]) -> engine_settings.EngineFaults:
    """Return the faults that a test asks for; keys left out are off."""
    return dataclasses.replace(engine_settings.EngineFaults(), **value)
