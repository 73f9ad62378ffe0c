"""Simulated request of an experiment."""

import contextlib

from fireflyspur.experiment import node_model
from fireflyspur.experiment import traffic
from fireflyspur.gateway.scheduling import placement as placements
from fireflyspur.gateway.scheduling import placement_cost


class SimulatedRequest:
    """A request, its engines and the progress of its response.

    :param node: node that serves it
    """

    def __init__(
        self, arrival: traffic.Arrival, node: node_model.NodeModel
    ) -> None:
        self.arrival = arrival
        self.node = node
        self.attempts = 0
        self.excluded: set[str] = set()
        self.prefilling: set[str] = set()
        self.members: tuple[str, ...] = ()
        self.tickets: list[str] = []
        self.first_event_s: float | None = None
        self.last_event_s: float | None = None
        self.longest_gap_s = 0.0
        self.is_complete = False
        self.remaining_output_tokens = arrival.kind.output_tokens
        self._tracking = contextlib.ExitStack()
        self._prefill_tracking = contextlib.ExitStack()
        self._entry_numbers: list[int] = []

    @property
    def attempt_key(self) -> str:
        """Key of the attempt at the engines."""
        return f"{self.arrival.key}/{self.attempts}"

    @property
    def meets_targets(self) -> bool:
        """Whether the complete response met its targets."""
        kind = self.arrival.kind
        if not self.is_complete or self.first_event_s is None:
            return False
        if self.first_event_s - self.arrival.at_s > kind.target_s:
            return False
        return self.longest_gap_s <= kind.max_gap_s

    def demand(self, now_s: float) -> placement_cost.Demand:
        """Return the current requirements of the request on its engines."""
        kind, tokens = self.arrival.kind, self.arrival.prompt_tokens
        elapsed_s = now_s - self.arrival.at_s
        return placement_cost.Demand(
            prompt_tokens=tokens,
            output_tokens=self.remaining_output_tokens,
            target_s=max(0.01, kind.target_s - elapsed_s),
            max_gap_s=kind.max_gap_s,
            weight=placement_cost.prompt_weight(tokens),
        )

    def track(self, placement: placements.Placement, now_s: float) -> None:
        """Report the engines of the request to the nodes."""
        demand = self.demand(now_s)
        parts = 1 + len(placement.helpers)
        timeout_s = self.arrival.at_s + self.arrival.kind.timeout_s - now_s
        reporter = self.node.reporter
        enter = self._tracking.enter_context
        primary = reporter.track_primary(
            placement.primary, demand, parts, timeout_s
        )
        self._entry_numbers = [enter(primary)]
        for helper in placement.helpers:
            context = reporter.track_helper(helper, demand, parts, timeout_s)
            stack = self._tracking if helper.tokens else self._prefill_tracking
            self._entry_numbers.append(stack.enter_context(context))

    def untrack(self) -> None:
        """Report to the nodes that it has left its engines."""
        self._prefill_tracking.close()
        self._tracking.close()

    def record_event(self, now_s: float, tokens: int) -> None:
        """Record an event that reaches the caller."""
        self.remaining_output_tokens -= tokens
        if self.first_event_s is None:
            self.first_event_s = now_s
        if self.last_event_s is not None:
            pause_s = now_s - self.last_event_s
            self.longest_gap_s = max(self.longest_gap_s, pause_s)
        self.last_event_s = now_s

    def mark_prefilled(self, now_s: float) -> None:
        """Report to the nodes that its prompt is prefilled."""
        self._prefill_tracking.close()
        demand = self.demand(now_s)
        for number in self._entry_numbers:
            self.node.reporter.mark_prefilled(number, demand)
