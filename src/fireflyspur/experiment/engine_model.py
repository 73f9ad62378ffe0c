"""An engine that works in passes, as its published figures say."""

from collections.abc import Iterable
import dataclasses
import math

from fireflyspur.gateway import latency_model
from fireflyspur.gateway import routing_config


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """What an engine does for one request.

    :param key: names the request
    :param is_helper: whether it only reads, ahead of other prompts
    :param is_alone: whether it writes as soon as it has read; else once it
        is told that all parts are read
    :param memory_tokens: memory that it takes until it ends
    :param output_tokens: tokens to write
    :param rank: 0 is admitted and read first
    """

    key: str
    prefill: latency_model.Prefill
    is_helper: bool = False
    is_alone: bool = True
    memory_tokens: int = 0
    output_tokens: int = 0
    rank: int = 5


@dataclasses.dataclass(frozen=True, slots=True)
class Pass:
    """What one pass does.

    :param duration_ms: time from its begin to its end
    :param read: keys of the prompts that have been read at its end
    :param written: keys of the requests that send an event at its end
    :param ended: keys of the requests that have written all
    """

    duration_ms: float
    read: tuple[str, ...]
    written: tuple[str, ...]
    ended: tuple[str, ...]


class _Running:
    """A part with what is left of it."""

    def __init__(self, part: Part) -> None:
        self.part = part
        self.unread = part.prefill.tokens
        self.unwritten = part.output_tokens
        self.is_writing = False

    @property
    def order(self) -> tuple[bool, int]:
        """Place among those that are read."""
        return (not self.part.is_helper, self.part.rank)

    @property
    def context_tokens(self) -> int:
        written = self.part.output_tokens - self.unwritten
        return self.part.prefill.tokens + written


class EngineModel:
    """Admits, reads and writes like an engine; the caller keeps the time.

    Memory is taken whole on admission, so that nothing is preempted.

    :param spec: published figures
    """

    def __init__(self, spec: routing_config.EngineSpec) -> None:
        self._spec = spec
        self._waiting: list[_Running] = []
        self._running: dict[str, _Running] = {}
        self._tickets: dict[str, int] = {}

    @property
    def free_tokens(self) -> int:
        """Memory that neither requests nor tickets take."""
        taken = sum(r.part.memory_tokens for r in self._running.values())
        return self._spec.kv_tokens - taken - sum(self._tickets.values())

    def reserve(self, ticket: str, tokens: int) -> bool:
        """Set memory aside under a ticket; False if it is not free."""
        held = self._tickets.get(ticket, 0)
        if tokens > self.free_tokens + held:
            return False
        self._tickets[ticket] = tokens
        return True

    def release(self, ticket: str) -> None:
        """Free the memory of a ticket."""
        self._tickets.pop(ticket, None)

    def submit(self, part: Part) -> bool:
        """Take a request, or refuse it as a full engine does."""
        is_too_large = part.memory_tokens > self._spec.kv_tokens
        others = self._helpers() if part.is_helper else self._waiting
        if is_too_large or len(others) >= self._spec.slots:
            return False
        self._waiting.append(_Running(part))
        self._waiting.sort(key=lambda item: item.order)
        return True

    def cancel(self, key: str) -> None:
        """Drop a request."""
        self._waiting = [r for r in self._waiting if r.part.key != key]
        self._running.pop(key, None)

    def begin_writing(self, key: str) -> float:
        """Let a request write whose parts have all been read.

        :returns: ms to its first token
        """
        running = self._running[key]
        running.is_writing = True
        running.unwritten -= 1
        return latency_model.step_ms(self._spec, 1, running.context_tokens)

    def begin_pass(self) -> Pass | None:
        """Do the work of the next pass; None if there is none."""
        self._admit()
        writers = [r for r in self._running.values() if r.is_writing]
        steps = self._spec.stride_steps if writers else 1
        context = sum(r.context_tokens for r in writers)
        duration_ms, read = self._read(steps * self._spec.chunk_tokens)
        if not writers and not duration_ms:
            return None
        if writers:
            step_ms = latency_model.step_ms(self._spec, len(writers), context)
            duration_ms += steps * step_ms
        begun = [r for r in read if r.part.is_alone and not r.part.is_helper]
        for running in writers:
            running.unwritten -= min(steps, running.unwritten)
        if begun and not writers:
            duration_ms += latency_model.step_ms(self._spec, len(begun), 0)
        for running in begun:
            running.is_writing = True
            running.unwritten -= 1
        written = [*writers, *begun]
        ended = [r for r in written if r.unwritten <= 0]
        for running in ended:
            del self._running[running.part.key]
        return Pass(duration_ms, _keys(read), _keys(written), _keys(ended))

    def _helpers(self) -> list[_Running]:
        known = (*self._waiting, *self._running.values())
        return [r for r in known if r.part.is_helper]

    def _admit(self) -> None:
        for running in list(self._waiting):
            part = running.part
            serving = [
                r for r in self._running.values() if not r.part.is_helper
            ]
            is_full = len(serving) >= self._spec.slots
            if not part.is_helper and is_full:
                continue
            if part.memory_tokens > self.free_tokens:
                continue
            self._waiting.remove(running)
            self._running[part.key] = running

    def _read(self, budget: int) -> tuple[float, list[_Running]]:
        """Read prompts; returns the time that it takes and what is done."""
        spent_ms = 0.0
        done = []
        unread = [r for r in self._running.values() if r.unread]
        for running in sorted(unread, key=lambda item: item.order):
            tokens = min(budget, running.unread)
            whole_ms = latency_model.prefill_ms(
                self._spec, running.part.prefill
            )
            spent_ms += whole_ms * tokens / running.part.prefill.tokens
            budget -= tokens
            running.unread -= tokens
            if not running.unread:
                done.append(running)
                if running.part.is_helper and not running.part.memory_tokens:
                    del self._running[running.part.key]
        return spent_ms, done


def events_of(output_tokens: int, spec: routing_config.EngineSpec) -> int:
    """Return the events in which an answer comes."""
    return 1 + math.ceil((output_tokens - 1) / spec.stride_steps)


def _keys(items: Iterable[_Running]) -> tuple[str, ...]:
    return tuple(item.part.key for item in items)
