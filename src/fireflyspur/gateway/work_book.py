"""The requests that are known to run on each endpoint."""

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
    :param max_gap_s: longest pause that is on time; None if it generates
        nothing there
    :param weight: cost of being late, relative to other work
    :param until_s: when it ends at the latest
    """

    key: str
    instance: str
    reading: pass_model.Reading
    memory_tokens: int
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
        self._instances: dict[str, str] = {}

    def add(self, work: Work) -> None:
        """Note that a request was sent."""
        entries = self._entries.setdefault(work.instance, {})
        entries[work.key] = _Entry(work)
        self._instances[work.key] = work.instance

    def note_read(self, key: str) -> None:
        """Note that a prompt has been read."""
        instance = self._instances.get(key)
        if instance is not None:
            entries = self._entries[instance]
            entries[key] = _Entry(entries[key].work, is_read=True)

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

    def remove_instance(self, instance: str) -> None:
        """Forget the requests on an endpoint that is gone."""
        for key in list(self._entries.get(instance, ())):
            self.remove(key)

    def count(self, instance: str) -> int:
        """Return the requests on an endpoint."""
        return len(self._entries.get(instance, ()))

    def expire(self, now: float) -> None:
        """Forget work whose end was not told."""
        for entries in list(self._entries.values()):
            for key, entry in list(entries.items()):
                if entry.work.until_s + _FORGET_AFTER_S < now:
                    self.remove(key)

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
