"""News of the requests that run on endpoints."""

from collections.abc import Iterator
import contextlib
import itertools
from typing import Protocol

from fireflyspur.gateway import clock
from fireflyspur.gateway import endpoint as endpoints
from fireflyspur.gateway import pass_model
from fireflyspur.gateway import placement as placements
from fireflyspur.gateway import placement_cost
from fireflyspur.gateway import work_book
from fireflyspur.generated import fleet_news_pb2 as fleet_news

# The end of reading is told for prompts from this length on; for shorter
# ones it is predicted well enough.
_MIN_TOLD_TOKENS = 16_000


class NewsDraft(Protocol):
    """Takes news for the other nodes."""

    @property
    def draft(self) -> fleet_news.FleetNews:
        """News that leave shortly; for adding to."""


class WorkReporter:
    """Enters this node's requests in the book and tells the other nodes.

    :param node_name: name of this node
    :param book: what runs where
    :param channel: takes the news that leave shortly
    """

    def __init__(
        self,
        node_name: str,
        book: work_book.WorkBook,
        channel: NewsDraft,
    ) -> None:
        self._node_name = node_name
        self._book = book
        self._channel = channel
        self._numbers = itertools.count(1)

    def track_first(
        self,
        item: endpoints.Endpoint,
        demand: placement_cost.Demand,
        parts: int,
        lasts_s: float,
    ) -> contextlib.AbstractContextManager[int]:
        """Count a request as running on the endpoint that answers it.

        :param parts: endpoints that read the prompt together
        :param lasts_s: time in which it ends at the latest
        :returns: gives the number of the work
        """
        started = fleet_news.WorkStarted(
            instance=item.instance,
            prompt_tokens=demand.prompt_tokens,
            parts=parts,
            memory_tokens=demand.prompt_tokens + demand.output_tokens,
            max_gap_ms=max(1, round(demand.max_gap_s * 1000)),
            target_ms=max(1, round(demand.target_s * 1000)),
            lasts_ms=max(0, round(lasts_s * 1000)),
        )
        return self._track(started)

    def track_helper(
        self,
        helper: placements.Helper,
        demand: placement_cost.Demand,
        parts: int,
        lasts_s: float,
    ) -> contextlib.AbstractContextManager[int]:
        """Count a part of a prompt as being read by a helper."""
        started = fleet_news.WorkStarted(
            instance=helper.endpoint.instance,
            prompt_tokens=demand.prompt_tokens,
            parts=parts,
            memory_tokens=helper.tokens,
            lasts_ms=max(0, round(lasts_s * 1000)),
        )
        return self._track(started)

    @contextlib.contextmanager
    def _track(self, started: fleet_news.WorkStarted) -> Iterator[int]:
        number = next(self._numbers)
        started.number = number
        self._book.add(to_work(self._node_name, started))
        self._channel.draft.started.append(started)
        try:
            yield number
        finally:
            self._book.remove(_key(self._node_name, number))
            self._channel.draft.ended.append(number)

    def note_read(self, number: int, demand: placement_cost.Demand) -> None:
        """Note that the prompt of a work has been read."""
        self._book.note_read(_key(self._node_name, number))
        if demand.prompt_tokens >= _MIN_TOLD_TOKENS:
            self._channel.draft.read.append(number)

    def take_news(
        self, news: fleet_news.FleetNews, is_restarted: bool
    ) -> None:
        """Enter what another node tells."""
        if is_restarted:
            self._book.remove_all(_key(news.node, ""))
        for started in news.started:
            self._book.add(to_work(news.node, started))
        for number in news.read:
            self._book.note_read(_key(news.node, number))
        for number in news.ended:
            self._book.remove(_key(news.node, number))


def to_work(node: str, started: fleet_news.WorkStarted) -> work_book.Work:
    """Return the entry for a work that a node has started."""
    parts = max(1, started.parts)
    whole = pass_model.whole_prompt(started.prompt_tokens)
    is_first = started.max_gap_ms > 0
    now = clock.now_s()
    return work_book.Work(
        key=_key(node, started.number),
        instance=started.instance,
        reading=pass_model.part_of(whole, parts),
        is_urgent=parts > 1 and not is_first,
        is_end_told=started.prompt_tokens >= _MIN_TOLD_TOKENS,
        memory_tokens=started.memory_tokens,
        target_s=started.target_ms / 1000 if is_first else None,
        max_gap_s=started.max_gap_ms / 1000 if is_first else None,
        weight=placement_cost.weight_of(started.prompt_tokens),
        started_at_s=now,
        until_s=now + started.lasts_ms / 1000,
    )


def _key(node: str, number: int | str) -> str:
    return f"{node}/{number}"
