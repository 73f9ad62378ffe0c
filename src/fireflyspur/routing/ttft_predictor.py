"""Prediction of the time to first token (TTFT) on an engine."""

from collections.abc import Callable
import dataclasses

from fireflyspur.generated import records
from fireflyspur.routing import engine_view
from fireflyspur.routing import prefix_index

# One-way latency between VMs of different failure domains.
_CROSS_DOMAIN_LATENCY_S = 0.0015
# A report does not include prompts that were sent less than this time before
# it arrived.
_REPORT_LAG_S = 0.3
# A prompt that does not fit into the free memory waits until others have
# generated their responses. This time is added in proportion to the missing
# memory.
_MEMORY_WAIT_S = 5.0
_MIN_CORRECTION = 0.5
_MAX_CORRECTION = 4.0
_CORRECTION_WEIGHT = 0.1
# Shorter times are dominated by batch steps and do not show the prefill rate.
_MIN_MEASURED_S = 0.05


@dataclasses.dataclass(frozen=True)
class Prediction:
    """Predicted times of a prompt on an engine.

    :param engine: name of the engine
    :param queue_s: seconds until its prefill starts
    :param prefill_s: duration of its own prefill in seconds
    :param decode_s: seconds to generate the maximum number of tokens
    :param cached_bytes: length of the prefix expected in the cache
    :param delay_s: seconds by which it delays less urgent prompts
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
    """Workload of a prompt on an engine.

    :param max_tokens: maximum number of generated tokens
    :param priority: priority on the engine; 0 is the most urgent
    :param prefix_digests: digests of the prompt's prefixes
    """

    prompt_tokens: int
    prompt_bytes: int
    max_tokens: int
    priority: int
    prefix_digests: list[prefix_index.PrefixDigest]


class TtftPredictor:
    """Predicts from load reports, own placements and past errors.

    :param view: the node's view of the engines
    :param prefixes: estimate of the engines' prefix caches
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
        """Predict the times of a prompt on an engine.

        :param now: monotonic time in seconds
        """
        spec = self._view.specs()[engine]
        cached_bytes = self._prefixes.cached_bytes(
            engine, workload.prefix_digests
        )
        uncached_ratio = 1.0 - cached_bytes / max(1, workload.prompt_bytes)
        correction = self._corrections.get(engine, 1.0)
        rate = spec.prefill_tokens_per_s / correction
        backlog = self._backlog_tokens(engine, spec, workload, now)
        queue_s = backlog / rate + self._memory_wait_s(engine, spec, workload)
        if spec.failure_domain != self._failure_domain:
            queue_s += 2 * _CROSS_DOMAIN_LATENCY_S
        prefill_s = workload.prompt_tokens * uncached_ratio / rate
        return Prediction(
            engine=engine,
            queue_s=queue_s,
            prefill_s=prefill_s,
            delay_s=prefill_s
            if self._has_less_urgent(engine, workload)
            else 0.0,
            decode_s=workload.max_tokens / spec.decode_tokens_per_s,
            cached_bytes=cached_bytes,
        )

    def observe(self, predicted: Prediction, actual_ttft_s: float) -> None:
        """Update the correction of an engine with a measured time.

        :param predicted: prediction made when the prompt was sent
        :param actual_ttft_s: seconds from sending to the first token
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
        """Return whether an engine has prompts that would be delayed."""
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
        """Return the prompt tokens that are processed before this prompt.

        All nodes see the same reports, so each assumes that every other node
        has sent as much to the engine since its report as it has itself. Long
        prompts are too rare for this assumption.
        """
        report = self._view.load(engine)
        pending = self._view.pending_prefills(engine)
        if report is None:
            return sum(
                p.prefill_tokens
                for p in pending
                if p.priority <= workload.priority
            )
        report_cutoff = report.received_at - _REPORT_LAG_S
        since = sum(
            p.prefill_tokens * (1 if p.is_long else self._node_count())
            for p in pending
            if p.sent_at >= report_cutoff and p.priority <= workload.priority
        )
        before = sum(
            p.prefill_tokens
            for p in pending
            if p.sent_at < report_cutoff and p.priority <= workload.priority
        )
        drained = (now - report.received_at) * spec.prefill_tokens_per_s
        ahead = report.prefill_ahead_of(workload.priority) - drained
        return max(ahead, before) + since

    def _memory_wait_s(
        self, engine: str, spec: records.EngineSpec, workload: PromptWorkload
    ) -> float:
        report = self._view.load(engine)
        # A prompt larger than the engine's memory runs on a group of engines.
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
        # Memory becomes free when the prompts that are now on the engine end,
        # whatever their priority.
        ahead = sum(
            p.prefill_tokens for p in self._view.pending_prefills(engine)
        )
        if report is not None:
            ahead = max(ahead, report.waiting_prefill_tokens)
        missing_ratio = missing / max(1, needed)
        return (
            ahead / spec.prefill_tokens_per_s + _MEMORY_WAIT_S * missing_ratio
        )
