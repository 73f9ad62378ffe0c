"""Load reports of engines."""

import dataclasses
import time
from typing import Any


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
    )
