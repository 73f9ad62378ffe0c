"""One request of an experiment."""

import contextlib

from fireflyspur.experiment import node_model
from fireflyspur.experiment import traffic
from fireflyspur.gateway import placement as placements
from fireflyspur.gateway import placement_cost


class PromptRun:
    """A request, where it runs and what its caller has seen.

    :param node: the node that serves it
    """

    def __init__(
        self, arrival: traffic.Arrival, node: node_model.NodeModel
    ) -> None:
        self.arrival = arrival
        self.node = node
        self.attempts = 0
        self.excluded: set[str] = set()
        self.unread: set[str] = set()
        self.members: tuple[str, ...] = ()
        self.tickets: list[str] = []
        self.first_s: float | None = None
        self.last_s: float | None = None
        self.longest_gap_s = 0.0
        self.is_ended = False
        self.unwritten = arrival.kind.output_tokens
        self._tracking = contextlib.ExitStack()
        self._reading = contextlib.ExitStack()
        self._numbers: list[int] = []

    @property
    def attempt_key(self) -> str:
        """Names the attempt at the engines."""
        return f"{self.arrival.key}/{self.attempts}"

    @property
    def is_on_time(self) -> bool:
        """Whether the whole answer came without a late part."""
        kind = self.arrival.kind
        if not self.is_ended or self.first_s is None:
            return False
        if self.first_s - self.arrival.at_s > kind.target_s:
            return False
        return self.longest_gap_s <= kind.max_gap_s

    def demand(self, now_s: float) -> placement_cost.Demand:
        """Return what the request asks of engines now."""
        kind, tokens = self.arrival.kind, self.arrival.prompt_tokens
        elapsed_s = now_s - self.arrival.at_s
        return placement_cost.Demand(
            prompt_tokens=tokens,
            output_tokens=self.unwritten,
            target_s=max(0.01, kind.target_s - elapsed_s),
            max_gap_s=kind.max_gap_s,
            weight=placement_cost.prompt_weight(tokens),
        )

    def track(self, placement: placements.Placement, now_s: float) -> None:
        """Tell the nodes where it runs."""
        demand = self.demand(now_s)
        parts = 1 + len(placement.helpers)
        lasts_s = self.arrival.at_s + self.arrival.kind.patience_s - now_s
        works = self.node.works
        enter = self._tracking.enter_context
        first = works.track_primary(placement.primary, demand, parts, lasts_s)
        self._numbers = [enter(first)]
        for helper in placement.helpers:
            tracked = works.track_helper(helper, demand, parts, lasts_s)
            holder = self._tracking if helper.tokens else self._reading
            self._numbers.append(holder.enter_context(tracked))

    def untrack(self) -> None:
        """Tell the nodes that it runs nowhere."""
        self._reading.close()
        self._tracking.close()

    def note_event(self, now_s: float, tokens: int) -> None:
        """Note an event that reaches the caller."""
        self.unwritten -= tokens
        if self.first_s is None:
            self.first_s = now_s
        if self.last_s is not None:
            pause_s = now_s - self.last_s
            self.longest_gap_s = max(self.longest_gap_s, pause_s)
        self.last_s = now_s

    def note_read(self, now_s: float) -> None:
        """Tell the nodes that its prompt has been read."""
        self._reading.close()
        demand = self.demand(now_s)
        for number in self._numbers:
            self.node.works.mark_prefilled(number, demand)
