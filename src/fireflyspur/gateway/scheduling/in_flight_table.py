"""Table of the in-flight requests of each endpoint."""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import math

from fireflyspur.gateway.configuration import routing_config
from fireflyspur.gateway.scheduling import latency_model

# An entry of another node whose end is never reported is removed this long
# after its expiry.
_EXPIRY_GRACE_S = 2.0
# While a node that reports the end of a prefill has not done so, at least
# this share of the prefill counts as remaining.
_MIN_UNREPORTED_SHARE = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class InFlightRequest:
    """A request, or its part, that is in flight on an endpoint.

    :param key: unique across all nodes
    :param prefill: prompt tokens that the endpoint prefills
    :param is_urgent: whether the engine runs this prefill before others
    :param reports_prefill_end: whether its node reports the end of the
        prefill
    :param memory_tokens: memory that it uses there by its end
    :param target_s: target time to the first event; None if the endpoint
        generates no output for it
    :param max_gap_s: target for the longest pause between events; None if
        the endpoint generates no output for it
    :param weight: cost of a missed target, relative to other requests
    :param expires_at_s: clock time by which it has ended
    :param output_tokens: largest length of its output
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
    output_tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _Entry:
    request: InFlightRequest
    is_prefilled: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Stream:
    """A stream on an endpoint.

    :param max_gap_s: target for the longest pause between events
    :param weight: cost of a missed target, relative to other requests
    """

    max_gap_s: float
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class WaitingPrompt:
    """A prompt that still waits for its first event.

    :param first_event_s: predicted time from its start to its first event
    :param target_s: target for this time
    :param weight: cost of a missed target, relative to other requests
    """

    first_event_s: float
    target_s: float
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class PredictedLoad:
    """Load that a new request would find on an endpoint.

    :param in_flight: number of in-flight requests
    :param memory_tokens: memory that they use
    :param streams: requests that generate output there, now or later
    :param waiting: prompts that an urgent prefill would delay
    """

    state: latency_model.EngineState
    in_flight: int
    memory_tokens: int
    streams: tuple[Stream, ...]
    waiting: tuple[WaitingPrompt, ...]


class InFlightTable:
    """Tracks the in-flight requests that this and other nodes report."""

    def __init__(self) -> None:
        self._entries: dict[str, dict[str, _Entry]] = {}
        self._instances: dict[str, str] = {}
        self._on_freed: Callable[[], None] = lambda: None

    def set_listener(self, on_freed: Callable[[], None]) -> None:
        """Set what is called when a request or its prefill has ended."""
        self._on_freed = on_freed

    def add(self, request: InFlightRequest) -> None:
        """Add a request that was sent to an endpoint."""
        entries = self._entries.setdefault(request.instance, {})
        entries[request.key] = _Entry(request)
        self._instances[request.key] = request.instance

    def mark_prefilled(self, key: str) -> None:
        """Mark the prefill of a request as finished."""
        instance = self._instances.get(key)
        if instance is not None:
            entries = self._entries[instance]
            entries[key] = _Entry(entries[key].request, is_prefilled=True)
            self._on_freed()

    def remove(self, key: str) -> None:
        """Remove a request that has ended."""
        instance = self._instances.pop(key, None)
        if instance is None:
            return
        entries = self._entries[instance]
        del entries[key]
        if not entries:
            del self._entries[instance]
        self._on_freed()

    def remove_all(self, prefix: str) -> None:
        """Remove the requests whose keys start with a prefix."""
        for key in [k for k in self._instances if k.startswith(prefix)]:
            self.remove(key)

    def requests(self, instance: str) -> list[InFlightRequest]:
        """Return the in-flight requests on an endpoint."""
        entries = self._entries.get(instance, {}).values()
        return [entry.request for entry in entries]

    def count(self, instance: str) -> int:
        """Return the number of in-flight requests on an endpoint."""
        return len(self._entries.get(instance, ()))

    def usage_before(self, instance: str, before_s: float) -> tuple[int, int]:
        """Return the requests that an endpoint responds to, and their memory.

        :param before_s: clock time; later requests don't count
        :returns: their number, and the memory of all requests in tokens
        """
        requests = [
            entry.request
            for entry in self._entries.get(instance, {}).values()
            if entry.request.started_at_s < before_s
        ]
        serving = sum(request.target_s is not None for request in requests)
        return serving, sum(request.memory_tokens for request in requests)

    def expire(self, now: float) -> None:
        """Remove requests whose end was not reported."""
        for entries in list(self._entries.values()):
            for key, entry in list(entries.items()):
                if entry.request.expires_at_s + _EXPIRY_GRACE_S < now:
                    self.remove(key)

    def predict_load(
        self,
        instance: str,
        engine: routing_config.EngineSpec,
        now: float,
        since_s: float = -math.inf,
    ) -> PredictedLoad:
        """Return the load that a request would find if it were sent now.

        :param since_s: clock time; earlier requests don't count
        """
        entries = [
            entry
            for entry in self._entries.get(instance, {}).values()
            if entry.request.started_at_s >= since_s
        ]
        streams = []
        waiting = []
        sequences = context = memory = chunks = 0
        pending_prefill_ms = urgent_prefill_ms = 0.0
        remaining = self._remaining_ms(entries, engine, now)
        for entry in entries:
            request = entry.request
            memory += request.memory_tokens
            remaining_ms = remaining.get(request.key, 0.0)
            if remaining_ms:
                pending_prefill_ms += remaining_ms
                urgent_prefill_ms += remaining_ms * request.is_urgent
                chunks += _remaining_chunks(engine, request, remaining_ms)
            if request.max_gap_s is None or request.target_s is None:
                continue
            streams.append(Stream(request.max_gap_s, request.weight))
            if not remaining_ms:
                sequences += 1
                context += request.memory_tokens
            else:
                first_event_s = (
                    now - request.started_at_s + pending_prefill_ms / 1000
                )
                waiting.append(
                    WaitingPrompt(
                        first_event_s, request.target_s, request.weight
                    )
                )
        state = latency_model.EngineState(
            sequences, context, pending_prefill_ms, urgent_prefill_ms, chunks
        )
        return PredictedLoad(
            state, len(entries), memory, tuple(streams), tuple(waiting)
        )

    def _remaining_ms(
        self,
        entries: Iterable[_Entry],
        engine: routing_config.EngineSpec,
        now: float,
    ) -> dict[str, float]:
        """Return the remaining prefill time of each request, by key."""
        pending = [
            entry.request for entry in entries if not entry.is_prefilled
        ]
        if not pending:
            return {}
        queued = [
            latency_model.QueuedPrefill(
                request.started_at_s,
                request.is_urgent,
                latency_model.prefill_ms(engine, request.prefill),
            )
            for request in pending
        ]
        remaining = latency_model.remaining_ms(queued, now)
        return {
            request.key: max(
                ms,
                _MIN_UNREPORTED_SHARE
                * prefill.duration_ms
                * request.reports_prefill_end,
            )
            for request, prefill, ms in zip(
                pending, queued, remaining, strict=True
            )
        }


def _remaining_chunks(
    engine: routing_config.EngineSpec,
    request: InFlightRequest,
    remaining_ms: float,
) -> int:
    """Return the number of remaining chunks of a prefill."""
    full_ms = latency_model.prefill_ms(engine, request.prefill)
    chunks = latency_model.chunk_count(engine, request.prefill.tokens)
    return math.ceil(chunks * min(1.0, remaining_ms / full_ms))
