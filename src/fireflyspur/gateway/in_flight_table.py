"""The requests that are known to run on each endpoint."""

from collections.abc import Iterable
import dataclasses
import math

from fireflyspur.gateway import latency_model
from fireflyspur.gateway import routing_config

# A request of another node whose end is never told is forgotten this long
# after it should have ended.
_FORGET_AFTER_S = 2.0
# A prompt that should have been read, but was not by the word of its node,
# has at least this share left.
_UNREPORTED_SHARE = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class InFlightRequest:
    """A request, or a part of one, on an endpoint.

    :param key: unique over all nodes
    :param prefill: what the endpoint reads of the prompt
    :param is_urgent: whether its prefill goes before other prefill
    :param reports_prefill_end: whether the end of its prefill is made known
    :param memory_tokens: memory that it holds there at its end
    :param target_s: time to the first event that is on time; None if it
        generates nothing there
    :param max_gap_s: longest pause that is on time; None if it generates
        nothing there
    :param weight: cost of being late, relative to other work
    :param expires_at_s: when it ends at the latest
    """

    key: str
    instance: str
    prefill: latency_model.Prefill
    is_urgent: bool
    reports_prefill_end: bool
    memory_tokens: int
    target_s: float | None
    max_gap_s: float | None
    weight: float
    started_at_s: float
    expires_at_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Entry:
    work: InFlightRequest
    is_prefilled: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Stream:
    """A stream on an endpoint.

    :param max_gap_s: longest pause that is on time
    """

    max_gap_s: float
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingPrompt:
    """A prompt whose first event is still to come.

    :param first_event_s: time from its start to its first event
    :param target_s: time that is on time
    """

    first_event_s: float
    target_s: float
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class PredictedLoad:
    """What a new request meets on an endpoint.

    :param in_flight: requests there
    :param memory_tokens: memory that they take
    :param streams: requests that generate there, now or later
    :param waiting: prompts that urgent prefill would delay
    """

    state: latency_model.EngineState
    in_flight: int
    memory_tokens: int
    streams: tuple[Stream, ...]
    waiting: tuple[WaitingPrompt, ...]


class InFlightTable:
    """Keeps what runs where, by this node's and other nodes' words."""

    def __init__(self) -> None:
        self._entries: dict[str, dict[str, _Entry]] = {}
        self._instances: dict[str, str] = {}

    def add(self, work: InFlightRequest) -> None:
        """Note that a request was sent."""
        entries = self._entries.setdefault(work.instance, {})
        entries[work.key] = _Entry(work)
        self._instances[work.key] = work.instance

    def mark_prefilled(self, key: str) -> None:
        """Note that a prompt has been read."""
        instance = self._instances.get(key)
        if instance is not None:
            entries = self._entries[instance]
            entries[key] = _Entry(entries[key].work, is_prefilled=True)

    def remove(self, key: str) -> None:
        """Note that a request has ended."""
        instance = self._instances.pop(key, None)
        if instance is None:
            return
        entries = self._entries[instance]
        del entries[key]
        if not entries:
            del self._entries[instance]

    def remove_all(self, prefix: str) -> None:
        """Forget the requests whose keys begin with a prefix."""
        for key in [k for k in self._instances if k.startswith(prefix)]:
            self.remove(key)

    def count(self, instance: str) -> int:
        """Return the requests on an endpoint."""
        return len(self._entries.get(instance, ()))

    def expire(self, now: float) -> None:
        """Forget work whose end was not told."""
        for entries in list(self._entries.values()):
            for key, entry in list(entries.items()):
                if entry.work.expires_at_s + _FORGET_AFTER_S < now:
                    self.remove(key)

    def predict_load(
        self, instance: str, engine: routing_config.EngineSpec, now: float
    ) -> PredictedLoad:
        """Return what a request that is sent now meets."""
        works = self._entries.get(instance, {}).values()
        streams = []
        waiting = []
        writers = context = memory = chunks = 0
        pending_prefill_ms = urgent_prefill_ms = 0.0
        left_ms = self._left_ms(works, engine, now)
        for entry in works:
            work = entry.work
            memory += work.memory_tokens
            left = left_ms.get(work.key, 0.0)
            if left:
                pending_prefill_ms += left
                urgent_prefill_ms += left * work.is_urgent
                chunks += _chunks(engine, work, left)
            if work.max_gap_s is None or work.target_s is None:
                continue
            streams.append(Stream(work.max_gap_s, work.weight))
            if not left:
                writers += 1
                context += work.memory_tokens
            else:
                first_s = now - work.started_at_s + pending_prefill_ms / 1000
                waiting.append(
                    WaitingPrompt(first_s, work.target_s, work.weight)
                )
        state = latency_model.EngineState(
            writers, context, pending_prefill_ms, urgent_prefill_ms, chunks
        )
        return PredictedLoad(
            state, len(works), memory, tuple(streams), tuple(waiting)
        )

    def _left_ms(
        self,
        works: Iterable[_Entry],
        engine: routing_config.EngineSpec,
        now: float,
    ) -> dict[str, float]:
        """Return what is left of the prefill of each work."""
        unread = [entry.work for entry in works if not entry.is_prefilled]
        if not unread:
            return {}
        sent = [
            latency_model.QueuedPrefill(
                work.started_at_s,
                work.is_urgent,
                latency_model.prefill_ms(engine, work.prefill),
            )
            for work in unread
        ]
        left = latency_model.remaining_ms(sent, now)
        return {
            work.key: max(
                ms,
                _UNREPORTED_SHARE
                * item.duration_ms
                * work.reports_prefill_end,
            )
            for work, item, ms in zip(unread, sent, left, strict=True)
        }


def _chunks(
    engine: routing_config.EngineSpec, work: InFlightRequest, left_ms: float
) -> int:
    """Return the chunks that are left of a prefill."""
    whole_ms = latency_model.prefill_ms(engine, work.prefill)
    chunks = latency_model.chunk_count(engine, work.prefill.tokens)
    return math.ceil(chunks * min(1.0, left_ms / whole_ms))
