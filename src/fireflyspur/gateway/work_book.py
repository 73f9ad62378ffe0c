"""The requests that are known to run on each endpoint."""

from collections.abc import Iterable
import dataclasses

from fireflyspur.gateway import pass_model
from fireflyspur.gateway import routing_config

# A request of another node whose end is never told is forgotten this long
# after it should have ended.
_FORGET_AFTER_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """A request, or a part of one, on an endpoint.

    :param key: unique over all nodes
    :param reading: what the endpoint reads of the prompt
    :param memory_tokens: memory that it holds there at its end
    :param target_s: time to the first event that is on time
    :param max_gap_s: longest pause that is on time; None if it generates
        nothing there
    :param weight: cost of being late, relative to other work
    :param until_s: when it ends at the latest
    """

    key: str
    instance: str
    reading: pass_model.Reading
    memory_tokens: int
    target_s: float
    max_gap_s: float | None
    weight: float
    started_at_s: float
    until_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Entry:
    work: Work
    is_read: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Outlook:
    """What a new request meets on an endpoint.

    :param works: requests there
    :param memory_tokens: memory that they take
    :param gaps: pause that is on time and weight, of each stream there
    """

    state: pass_model.EngineState
    works: int
    memory_tokens: int
    gaps: tuple[tuple[float, float], ...]


class WorkBook:
    """Keeps what runs where, by this node's and other nodes' words."""

    def __init__(self) -> None:
        self._entries: dict[str, dict[str, _Entry]] = {}

    def add(self, work: Work) -> None:
        """Note that a request was sent."""
        entries = self._entries.setdefault(work.instance, {})
        entries[work.key] = _Entry(work)

    def note_first_event(self, instance: str, key: str) -> None:
        """Note that a prompt has been read."""
        entries = self._entries.get(instance, {})
        if key in entries:
            entries[key] = _Entry(entries[key].work, is_read=True)

    def remove(self, instance: str, key: str) -> None:
        """Note that a request has ended."""
        entries = self._entries.get(instance)
        if entries is not None:
            entries.pop(key, None)
            if not entries:
                del self._entries[instance]

    def forget_instance(self, instance: str) -> None:
        """Drop all work of an endpoint that is gone."""
        self._entries.pop(instance, None)

    def count(self, instance: str) -> int:
        """Return the requests on an endpoint."""
        return len(self._entries.get(instance, ()))

    def works(self) -> Iterable[Work]:
        """Return all known work."""
        for entries in self._entries.values():
            for entry in entries.values():
                yield entry.work

    def expire(self, now: float) -> None:
        """Forget work whose end was not told."""
        for instance, entries in list(self._entries.items()):
            for key, entry in list(entries.items()):
                if entry.work.until_s + _FORGET_AFTER_S < now:
                    self.remove(instance, key)

    def outlook(
        self, instance: str, engine: routing_config.EngineSpec, now: float
    ) -> Outlook:
        """Return what a request that is sent now meets."""
        writers = context = memory = 0
        chunks = 0
        read_until_s = 0.0
        gaps = []
        entries = self._entries.get(instance, {})
        for entry in entries.values():
            work = entry.work
            memory += work.memory_tokens
            if not entry.is_read:
                own_s = pass_model.read_ms(engine, work.reading) / 1000
                begin_s = max(read_until_s, work.started_at_s)
                read_until_s = begin_s + own_s
                left = min(1.0, max(0.0, read_until_s - now) / own_s)
                chunks += round(
                    left * pass_model.chunks_of(engine, work.reading.tokens)
                )
            if work.max_gap_s is not None:
                gaps.append((work.max_gap_s, work.weight))
                if entry.is_read or read_until_s < now:
                    writers += 1
                    context += work.memory_tokens
        state = pass_model.EngineState(
            writers=writers,
            context_tokens=context,
            pending_ms=max(0.0, read_until_s - now) * 1000,
            pending_chunks=chunks,
        )
        return Outlook(state, len(entries), memory, tuple(gaps))
