"""Prediction of the time to first token on an engine."""

from collections.abc import Callable
import dataclasses

from fireflyspur.generated import records
from fireflyspur.routing import engine_view
from fireflyspur.routing import prefix_index

# One way, between VMs of different failure domains.
_CROSS_DOMAIN_LATENCY_S = 0.0015
# Work sent this shortly before a report came is not in it.
_REPORT_LAG_S = 0.3
# A prompt that does not fit in the free memory waits for others to generate
# their answers; this is charged in proportion to the memory that is missing.
_MEMORY_WAIT_S = 5.0
_MIN_CORRECTION = 0.5
_MAX_CORRECTION = 4.0
_CORRECTION_WEIGHT = 0.1
# Shorter times are dominated by batch steps and say nothing of the rate.
_MIN_MEASURED_S = 0.05


@dataclasses.dataclass(frozen=True)
class Prediction:
    """What a prompt would meet on an engine.

    :param engine: name of the engine
    :param queue_s: seconds until its prefill starts
    :param prefill_s: seconds of its own prefill
    :param decode_s: seconds to generate all its tokens
    :param cached_bytes: length of the prefix expected in the cache
    :param delay_s: seconds by which it delays less urgent prompts there
    """

    engine: str
    queue_s: float
    prefill_s: float
    decode_s: float
    cached_bytes: int
    delay_s: float = 0.0

    @property
    def ttft_s(self) -> float:
        """Seconds to the first token."""
        return self.queue_s + self.prefill_s

    @property
    def total_s(self) -> float:
        """Seconds to the last token."""
        return self.ttft_s + self.decode_s


@dataclasses.dataclass(frozen=True)
class PromptWorkload:
    """What a prompt asks of an engine.

    :param prefix_digests: digests of the prompt's beginnings
    :param priority: as the engine gets it; 0 is the most urgent
    """

    prompt_tokens: int
    prompt_bytes: int
    max_tokens: int
    priority: int
    prefix_digests: list[prefix_index.PrefixDigest]


class TtftPredictor:
    """Predicts from reports, from own workload, and from past errors.

    :param view: what the node knows about the engines
    :param prefixes: guess of the engines' prefix caches
    :param failure_domain: failure domain of the node
    :param node_count: returns the number of live nodes
    """

    def __init__(
        self,
        view: engine_view.EngineView,
        prefixes: prefix_index.PrefixIndex,
        failure_domain: str,
        node_count: Callable[[], int] = lambda: 1,
    ) -> None:
        self._view = view
        self._prefixes = prefixes
        self._failure_domain = failure_domain
        self._node_count = node_count
        self._corrections: dict[str, float] = {}

    def predict(
        self, engine: str, workload: PromptWorkload, now: float
    ) -> Prediction:
        """Predict how a prompt would fare on an engine.

        :param now: monotonic time in seconds
        """
        spec = self._view.specs()[engine]
        cached = self._prefixes.cached_bytes(engine, workload.prefix_digests)
        fresh = 1.0 - cached / max(1, workload.prompt_bytes)
        correction = self._corrections.get(engine, 1.0)
        rate = spec.prefill_tokens_per_s / correction
        backlog = self._backlog_tokens(engine, spec, workload, now)
        queue_s = backlog / rate + self._memory_wait_s(engine, spec, workload)
        if spec.failure_domain != self._failure_domain:
            queue_s += 2 * _CROSS_DOMAIN_LATENCY_S
        prefill_s = workload.prompt_tokens * fresh / rate
        return Prediction(
            engine=engine,
            queue_s=queue_s,
            prefill_s=prefill_s,
            delay_s=prefill_s
            if self._has_less_urgent(engine, workload)
            else 0.0,
            decode_s=workload.max_tokens / spec.decode_tokens_per_s,
            cached_bytes=cached,
        )

    def observe(self, predicted: Prediction, actual_ttft_s: float) -> None:
        """Learn from the time that a prompt took.

        :param predicted: the prediction made when it was sent
        :param actual_ttft_s: seconds from the sending to the first token
        """
        if predicted.ttft_s < _MIN_MEASURED_S:
            return
        old = self._corrections.get(predicted.engine, 1.0)
        error = actual_ttft_s / predicted.ttft_s
        new = old * (1 + _CORRECTION_WEIGHT * (min(error, 2.0) - 1))
        self._corrections[predicted.engine] = min(
            max(new, _MIN_CORRECTION), _MAX_CORRECTION
        )

    def _has_less_urgent(self, engine: str, workload: PromptWorkload) -> bool:
        """Whether an engine processes prompts that the work would delay."""
        if any(
            p.priority > workload.priority
            for p in self._view.pending_prefills(engine)
        ):
            return True
        report = self._view.load(engine)
        if report is None:
            return False
        ahead = report.prefill_ahead_of(workload.priority)
        return report.waiting_prefill_tokens > ahead

    def _backlog_tokens(
        self,
        engine: str,
        spec: records.EngineSpec,
        workload: PromptWorkload,
        now: float,
    ) -> float:
        """Return the prompt tokens that would be processed first.

        All nodes see the same reports, so each takes it that the others have
        sent an engine as much since its report as the node itself has. Long
        prompts are too rare for that.
        """
        report = self._view.load(engine)
        pending = self._view.pending_prefills(engine)
        if report is None:
            return sum(
                p.prefill_tokens
                for p in pending
                if p.priority <= workload.priority
            )
        known_until = report.received_at - _REPORT_LAG_S
        since = sum(
            p.prefill_tokens * (1 if p.is_long else self._node_count())
            for p in pending
            if p.sent_at >= known_until and p.priority <= workload.priority
        )
        before = sum(
            p.prefill_tokens
            for p in pending
            if p.sent_at < known_until and p.priority <= workload.priority
        )
        drained = (now - report.received_at) * spec.prefill_tokens_per_s
        ahead = report.prefill_ahead_of(workload.priority) - drained
        return max(ahead, before) + since

    def _memory_wait_s(
        self, engine: str, spec: records.EngineSpec, workload: PromptWorkload
    ) -> float:
        report = self._view.load(engine)
        # A prompt larger than the engine runs over a group of engines.
        needed = min(
            workload.prompt_tokens + workload.max_tokens, spec.memory_tokens
        )
        free = float(spec.memory_tokens)
        since = 0.0
        if report is not None and report.free_kv_tokens is not None:
            free, since = report.free_kv_tokens, report.received_at
        free -= sum(
            p.total_tokens
            for p in self._view.outstanding(engine)
            if p.sent_at >= since
        )
        missing = max(0.0, needed - free)
        if not missing:
            return 0.0
        # Memory comes back when work ends that is on the engine now, of
        # whatever priority.
        ahead = sum(
            p.prefill_tokens for p in self._view.pending_prefills(engine)
        )
        if report is not None:
            ahead = max(ahead, report.waiting_prefill_tokens)
        share = missing / max(1, needed)
        return ahead / spec.prefill_tokens_per_s + _MEMORY_WAIT_S * share
