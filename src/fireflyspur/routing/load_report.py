"""Load reports of engines."""

import dataclasses
import math
import time
from typing import Any

# Beyond any rate that an engine can take.
_MAX_RATE_PER_S = 1e9


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """Load reported by an engine, which may be outdated.

    :param received_at: monotonic time at which the report arrived
    :param waiting_prefill_tokens: prompt tokens not yet processed
    :param running_streams: streams in the current batch
    :param waiting_streams: streams that are not yet in the batch
    :param free_kv_tokens: number of tokens that fit into the free memory, or
        None if not reported
    :param prefill_by_priority: waiting prompt tokens by priority; empty if
        not reported
    :param models: loaded models, or None if the engine accepts all models or
        does not report them
    :param incarnation: identifies the engine process; empty if not reported
    :param leaving: whether the engine accepts no new requests
    :param sampled_at: time of the report by the engine's clock, or None if
        not reported
    :param max_requests_per_s: requests a second that the engine takes from
        all nodes together, or None if it names no limit
    :param has_invalid_rate: whether it names a limit that is no such number
    """

    received_at: float
    waiting_prefill_tokens: int = 0
    running_streams: int = 0
    waiting_streams: int = 0
    free_kv_tokens: int | None = None
    prefill_by_priority: dict[int, int] = dataclasses.field(
        default_factory=dict
    )
    models: frozenset[str] | None = None
    incarnation: str = ""
    leaving: bool = False
    sampled_at: float | None = None
    max_requests_per_s: float | None = None
    has_invalid_rate: bool = False

    def prefill_ahead_of(self, priority: int) -> int:
        """Return the waiting prompt tokens that come before a new prompt.

        :param priority: priority of the new prompt; 0 is the most urgent
        """
        if not self.prefill_by_priority:
            return self.waiting_prefill_tokens
        return sum(
            tokens
            for waiting_priority, tokens in self.prefill_by_priority.items()
            if waiting_priority <= priority
        )


def parse(values: dict[str, Any]) -> LoadReport:
    """Parse a report; missing keys count as no load.

    :param values: the decoded JSON object
    """
    models = values.get("models")
    rate = values.get("max_requests_per_s")
    is_rate = rate is None or _is_rate(rate)
    return LoadReport(
        received_at=time.monotonic(),
        waiting_prefill_tokens=int(values.get("waiting_prefill_tokens", 0)),
        running_streams=int(values.get("running_streams", 0)),
        waiting_streams=int(values.get("waiting_streams", 0)),
        free_kv_tokens=values.get("free_kv_tokens"),
        prefill_by_priority={
            int(priority): int(tokens)
            for priority, tokens in values.get(
                "prefill_by_priority", {}
            ).items()
        },
        models=None if models is None else frozenset(models),
        incarnation=str(values.get("incarnation", "")),
        leaving=bool(values.get("leaving", False)),
        sampled_at=values.get("time"),
        max_requests_per_s=rate if is_rate else None,
        has_invalid_rate=not is_rate,
    )


def _is_rate(value: Any) -> bool:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    return 0 <= value < _MAX_RATE_PER_S and math.isfinite(value)
