"""Model of an engine that runs in passes, based on its published figures."""

from collections.abc import Iterable
import dataclasses
import math

from fireflyspur.gateway.configuration import routing_config
from fireflyspur.gateway.scheduling import latency_model


@dataclasses.dataclass(frozen=True, slots=True)
class Part:
    """Part of a request that one engine runs.

    :param key: identifies the request
    :param is_helper: whether the engine only prefills it, ahead of other
        prompts
    :param is_whole_prompt: whether decoding starts right after the prefill;
        otherwise it waits until all parts of the prompt are prefilled
    :param memory_tokens: memory in use until the part ends
    :param output_tokens: number of tokens to generate
    :param priority: 0 is admitted and prefilled first
    """

    key: str
    prefill: latency_model.Prefill
    is_helper: bool = False
    is_whole_prompt: bool = True
    memory_tokens: int = 0
    output_tokens: int = 0
    priority: int = 5


@dataclasses.dataclass(frozen=True, slots=True)
class Pass:
    """Result of one pass.

    :param duration_ms: time from its start to its end
    :param prefilled: keys of the prompts whose prefill is finished
    :param emitting: keys of the requests that emit an event at its end
    :param ended: keys of the requests that have generated all their output
    """

    duration_ms: float
    prefilled: tuple[str, ...]
    emitting: tuple[str, ...]
    ended: tuple[str, ...]


class _Sequence:
    """Progress of a part."""

    def __init__(self, part: Part) -> None:
        self.part = part
        self.remaining_prompt_tokens = part.prefill.tokens
        self.remaining_output_tokens = part.output_tokens
        self.is_decoding = False

    @property
    def sort_key(self) -> tuple[bool, int]:
        """Key that sorts sequences by the order of their prefills."""
        return (not self.part.is_helper, self.part.priority)

    @property
    def context_tokens(self) -> int:
        generated = self.part.output_tokens - self.remaining_output_tokens
        return self.part.prefill.tokens + generated


class EngineModel:
    """Admits, prefills and decodes like an engine; the caller keeps time.

    All memory of a request is allocated on admission, so that no request is
    preempted.

    :param spec: published figures
    """

    def __init__(self, spec: routing_config.EngineSpec) -> None:
        self._spec = spec
        self._waiting: list[_Sequence] = []
        self._running: dict[str, _Sequence] = {}
        self._tickets: dict[str, int] = {}

    @property
    def free_tokens(self) -> int:
        """Memory that is neither used by requests nor reserved by tickets."""
        used = sum(s.part.memory_tokens for s in self._running.values())
        return self._spec.kv_tokens - used - sum(self._tickets.values())

    def reserve(self, ticket: str, tokens: int) -> bool:
        """Reserve memory for a ticket; return False if it is not free."""
        reserved = self._tickets.get(ticket, 0)
        if tokens > self.free_tokens + reserved:
            return False
        self._tickets[ticket] = tokens
        return True

    def release(self, ticket: str) -> None:
        """Release the memory of a ticket."""
        self._tickets.pop(ticket, None)

    def submit(self, part: Part) -> bool:
        """Queue a part; return False if the engine is full."""
        is_too_large = part.memory_tokens > self._spec.kv_tokens
        others = self._helpers() if part.is_helper else self._waiting
        if is_too_large or len(others) >= self._spec.slots:
            return False
        self._waiting.append(_Sequence(part))
        self._waiting.sort(key=lambda s: s.sort_key)
        return True

    def cancel(self, key: str) -> None:
        """Cancel a request."""
        self._waiting = [s for s in self._waiting if s.part.key != key]
        self._running.pop(key, None)

    def start_decoding(self, key: str) -> float:
        """Start decoding a request whose parts are all prefilled.

        :returns: time to its first token, in ms
        """
        sequence = self._running[key]
        sequence.is_decoding = True
        sequence.remaining_output_tokens -= 1
        return latency_model.step_ms(self._spec, 1, sequence.context_tokens)

    def run_pass(self) -> Pass | None:
        """Run the next pass; return None if the engine is idle."""
        self._admit()
        decoding = [s for s in self._running.values() if s.is_decoding]
        steps = self._spec.stride_steps if decoding else 1
        context = sum(s.context_tokens for s in decoding)
        duration_ms, prefilled = self._prefill(steps * self._spec.chunk_tokens)
        if not decoding and not duration_ms:
            return None
        if decoding:
            step_ms = latency_model.step_ms(self._spec, len(decoding), context)
            duration_ms += steps * step_ms
        started = [
            s
            for s in prefilled
            if s.part.is_whole_prompt and not s.part.is_helper
        ]
        for sequence in decoding:
            sequence.remaining_output_tokens -= min(
                steps, sequence.remaining_output_tokens
            )
        if started and not decoding:
            duration_ms += latency_model.step_ms(self._spec, len(started), 0)
        for sequence in started:
            sequence.is_decoding = True
            sequence.remaining_output_tokens -= 1
        emitting = [*decoding, *started]
        ended = [s for s in emitting if s.remaining_output_tokens <= 0]
        for sequence in ended:
            del self._running[sequence.part.key]
        return Pass(
            duration_ms, _keys(prefilled), _keys(emitting), _keys(ended)
        )

    def _helpers(self) -> list[_Sequence]:
        sequences = (*self._waiting, *self._running.values())
        return [s for s in sequences if s.part.is_helper]

    def _admit(self) -> None:
        for sequence in list(self._waiting):
            part = sequence.part
            serving = [
                s for s in self._running.values() if not s.part.is_helper
            ]
            is_full = len(serving) >= self._spec.slots
            if not part.is_helper and is_full:
                continue
            if part.memory_tokens > self.free_tokens:
                continue
            self._waiting.remove(sequence)
            self._running[part.key] = sequence

    def _prefill(self, budget: int) -> tuple[float, list[_Sequence]]:
        """Prefill prompts; return the time it takes and the finished ones."""
        duration_ms = 0.0
        finished = []
        pending = [
            s for s in self._running.values() if s.remaining_prompt_tokens
        ]
        for sequence in sorted(pending, key=lambda s: s.sort_key):
            tokens = min(budget, sequence.remaining_prompt_tokens)
            full_ms = latency_model.prefill_ms(
                self._spec, sequence.part.prefill
            )
            duration_ms += full_ms * tokens / sequence.part.prefill.tokens
            budget -= tokens
            sequence.remaining_prompt_tokens -= tokens
            if not sequence.remaining_prompt_tokens:
                finished.append(sequence)
                if sequence.part.is_helper and not sequence.part.memory_tokens:
                    del self._running[sequence.part.key]
        return duration_ms, finished


def event_count(output_tokens: int, spec: routing_config.EngineSpec) -> int:
    """Return the number of events in a response."""
    return 1 + math.ceil((output_tokens - 1) / spec.stride_steps)


def _keys(sequences: Iterable[_Sequence]) -> tuple[str, ...]:
    return tuple(sequence.part.key for sequence in sequences)
