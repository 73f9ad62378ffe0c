"""News of the requests that run on endpoints."""

from collections.abc import Iterator
import contextlib
import itertools
from typing import Protocol

from fireflyspur.gateway import clock
from fireflyspur.gateway import endpoint as endpoints
from fireflyspur.gateway import in_flight_table
from fireflyspur.gateway import latency_model
from fireflyspur.gateway import placement as placements
from fireflyspur.gateway import placement_cost
from fireflyspur.generated import fleet_news_pb2 as fleet_news

# The end of prefill is told for prompts from this length on; for shorter
# ones it is predicted well enough.
_MIN_REPORTED_TOKENS = 16_000


class UpdateOutbox(Protocol):
    """Takes news for the other nodes."""

    @property
    def draft(self) -> fleet_news.FleetNews:
        """News that leave shortly; for adding to."""


class InFlightReporter:
    """Enters this node's requests in the book and tells the other nodes.

    :param node_name: name of this node
    :param book: what runs where
    :param channel: takes the news that leave shortly
    """

    def __init__(
        self,
        node_name: str,
        book: in_flight_table.InFlightTable,
        channel: UpdateOutbox,
    ) -> None:
        self._node_name = node_name
        self._book = book
        self._channel = channel
        self._numbers = itertools.count(1)

    def track_primary(
        self,
        item: endpoints.Endpoint,
        demand: placement_cost.Demand,
        parts: int,
        timeout_s: float,
    ) -> contextlib.AbstractContextManager[int]:
        """Count a request as running on the endpoint that answers it.

        :param parts: endpoints that read the prompt together
        :param timeout_s: time in which it ends at the latest
        :returns: gives the number of the work
        """
        started = fleet_news.WorkStarted(
            instance=item.instance,
            prompt_tokens=demand.prompt_tokens,
            parts=parts,
            memory_tokens=demand.prompt_tokens + demand.output_tokens,
            max_gap_ms=max(1, round(demand.max_gap_s * 1000)),
            target_ms=max(1, round(demand.target_s * 1000)),
            lasts_ms=max(0, round(timeout_s * 1000)),
        )
        return self._track(started)

    def track_helper(
        self,
        helper: placements.Helper,
        demand: placement_cost.Demand,
        parts: int,
        timeout_s: float,
    ) -> contextlib.AbstractContextManager[int]:
        """Count a part of a prompt as being read by a helper."""
        started = fleet_news.WorkStarted(
            instance=helper.endpoint.instance,
            prompt_tokens=demand.prompt_tokens,
            parts=parts,
            memory_tokens=helper.tokens,
            lasts_ms=max(0, round(timeout_s * 1000)),
        )
        return self._track(started)

    @contextlib.contextmanager
    def _track(self, started: fleet_news.WorkStarted) -> Iterator[int]:
        number = next(self._numbers)
        started.number = number
        self._book.add(to_in_flight(self._node_name, started))
        self._channel.draft.started.append(started)
        try:
            yield number
        finally:
            self._book.remove(_key(self._node_name, number))
            self._channel.draft.ended.append(number)

    def mark_prefilled(
        self, number: int, demand: placement_cost.Demand
    ) -> None:
        """Note that the prompt of a work has been read."""
        self._book.mark_prefilled(_key(self._node_name, number))
        if demand.prompt_tokens >= _MIN_REPORTED_TOKENS:
            self._channel.draft.read.append(number)

    def apply_update(
        self, update: fleet_news.FleetNews, is_restarted: bool
    ) -> None:
        """Enter what another node tells."""
        if is_restarted:
            self._book.remove_all(_key(update.node, ""))
        for started in update.started:
            self._book.add(to_in_flight(update.node, started))
        for number in update.read:
            self._book.mark_prefilled(_key(update.node, number))
        for number in update.ended:
            self._book.remove(_key(update.node, number))


def to_in_flight(
    node: str, started: fleet_news.WorkStarted
) -> in_flight_table.InFlightRequest:
    """Return the entry for a work that a node has started."""
    parts = max(1, started.parts)
    full = latency_model.full_prefill(started.prompt_tokens)
    is_first = started.max_gap_ms > 0
    now = clock.now_s()
    return in_flight_table.InFlightRequest(
        key=_key(node, started.number),
        instance=started.instance,
        prefill=latency_model.prefill_part(full, parts),
        is_urgent=parts > 1 and not is_first,
        reports_prefill_end=started.prompt_tokens >= _MIN_REPORTED_TOKENS,
        memory_tokens=started.memory_tokens,
        target_s=started.target_ms / 1000 if is_first else None,
        max_gap_s=started.max_gap_ms / 1000 if is_first else None,
        weight=placement_cost.prompt_weight(started.prompt_tokens),
        started_at_s=now,
        expires_at_s=now + started.lasts_ms / 1000,
    )


def _key(node: str, number: int | str) -> str:
    return f"{node}/{number}"
