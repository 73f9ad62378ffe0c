"""Load reports of engines."""

import dataclasses
import time
from typing import Any


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """What an engine said of its load, which lags behind the truth.

    :param received_at: monotonic time at which the report arrived
    :param waiting_prefill_tokens: prompt tokens not yet processed
    :param running_streams: streams in the batch
    :param waiting_streams: streams that are not yet in the batch
    :param free_kv_tokens: tokens for which there is memory, or None if the
        engine does not say
    :param models: models that are resident, or None if the engine takes all
        models or does not say
    :param prefill_by_priority: the waiting prompt tokens by priority; empty
        if the engine does not say
    :param sampled_at: time of the report by the engine's clock, or None if
        the engine does not say
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
        """Return the waiting prompt tokens that are served first.

        :param priority: priority of a new prompt; 0 is the most urgent
        """
        if not self.prefill_by_priority:
            return self.waiting_prefill_tokens
        return sum(
            tokens
            for waiting, tokens in self.prefill_by_priority.items()
            if waiting <= priority
        )


def parse(values: dict[str, Any]) -> LoadReport:
    """Read a report; keys that the engine left out count as unloaded.

    :param values: the decoded report
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
