"""The requests that are known to run on each endpoint."""

from collections.abc import Iterable
import dataclasses
import math

from fireflyspur.gateway import pass_model
from fireflyspur.gateway import routing_config

# A request of another node whose end is never told is forgotten this long
# after it should have ended.
_FORGET_AFTER_S = 2.0
# A prompt that should have been read, but was not by the word of its node,
# has at least this share left.
_UNTOLD_SHARE = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """A request, or a part of one, on an endpoint.

    :param key: unique over all nodes
    :param reading: what the endpoint reads of the prompt
    :param is_urgent: whether its reading goes before other reading
    :param is_end_told: whether the end of its reading is made known
    :param memory_tokens: memory that it holds there at its end
    :param target_s: time to the first event that is on time; None if it
        generates nothing there
    :param max_gap_s: longest pause that is on time; None if it generates
        nothing there
    :param weight: cost of being late, relative to other work
    :param until_s: when it ends at the latest
    """

    key: str
    instance: str
    reading: pass_model.Reading
    is_urgent: bool
    is_end_told: bool
    memory_tokens: int
    target_s: float | None
    max_gap_s: float | None
    weight: float
    started_at_s: float
    until_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class _Entry:
    work: Work
    is_read: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Stream:
    """A stream on an endpoint.

    :param max_gap_s: longest pause that is on time
    """

    max_gap_s: float
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Waiting:
    """A prompt whose first event is still to come.

    :param first_event_s: time from its start to its first event
    :param target_s: time that is on time
    """

    first_event_s: float
    target_s: float
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Outlook:
    """What a new request meets on an endpoint.

    :param works: requests there
    :param memory_tokens: memory that they take
    :param streams: requests that generate there, now or later
    :param waiting: prompts that urgent reading would delay
    """

    state: pass_model.EngineState
    works: int
    memory_tokens: int
    streams: tuple[Stream, ...]
    waiting: tuple[Waiting, ...]


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
        works = self._entries.get(instance, {}).values()
        streams = []
        waiting = []
        writers = context = memory = chunks = 0
        pending_ms = urgent_ms = 0.0
        left_ms = self._left_ms(works, engine, now)
        for entry in works:
            work = entry.work
            memory += work.memory_tokens
            left = left_ms.get(work.key, 0.0)
            if left:
                pending_ms += left
                urgent_ms += left * work.is_urgent
                chunks += _chunks(engine, work, left)
            if work.max_gap_s is None or work.target_s is None:
                continue
            streams.append(Stream(work.max_gap_s, work.weight))
            if not left:
                writers += 1
                context += work.memory_tokens
            else:
                first_s = now - work.started_at_s + pending_ms / 1000
                waiting.append(Waiting(first_s, work.target_s, work.weight))
        state = pass_model.EngineState(
            writers, context, pending_ms, urgent_ms, chunks
        )
        return Outlook(
            state, len(works), memory, tuple(streams), tuple(waiting)
        )

    def _left_ms(
        self,
        works: Iterable[_Entry],
        engine: routing_config.EngineSpec,
        now: float,
    ) -> dict[str, float]:
        """Return what is left of the reading of each work."""
        unread = [entry.work for entry in works if not entry.is_read]
        if not unread:
            return {}
        sent = [
            pass_model.SentReading(
                work.started_at_s,
                work.is_urgent,
                pass_model.read_ms(engine, work.reading),
            )
            for work in unread
        ]
        left = pass_model.remaining_ms(sent, now)
        return {
            work.key: max(ms, _UNTOLD_SHARE * item.own_ms * work.is_end_told)
            for work, item, ms in zip(unread, sent, left, strict=True)
        }


def _chunks(
    engine: routing_config.EngineSpec, work: Work, left_ms: float
) -> int:
    """Return the chunks that are left of a reading."""
    whole_ms = pass_model.read_ms(engine, work.reading)
    chunks = pass_model.chunks_of(engine, work.reading.tokens)
    return math.ceil(chunks * min(1.0, left_ms / whole_ms))
