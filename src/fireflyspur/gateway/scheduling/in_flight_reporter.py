"""Reports of in-flight requests to the other nodes."""

from collections.abc import Iterator
from collections.abc import Sequence
import contextlib
import itertools
from typing import Protocol

from fireflyspur.gateway.common import clock
from fireflyspur.gateway.endpoints import endpoint as endpoints
from fireflyspur.gateway.endpoints import endpoint_notices
from fireflyspur.gateway.scheduling import in_flight_table
from fireflyspur.gateway.scheduling import latency_model
from fireflyspur.gateway.scheduling import placement as placements
from fireflyspur.gateway.scheduling import placement_cost
from fireflyspur.generated import peer_updates_pb2 as peer_updates

# The end of a prefill is reported for prompts of at least this length; for
# shorter ones the prediction is accurate enough.
_MIN_REPORTED_TOKENS = 16_000


class UpdateOutbox(Protocol):
    """Collects updates for the other nodes."""

    def drafts_for(
        self, endpoint: endpoints.Endpoint
    ) -> Sequence[peer_updates.PeerUpdate]:
        """Return the next updates to the nodes that share an endpoint.

        Callers add entries to them.
        """


class InFlightReporter:
    """Tracks this node's in-flight requests and reports them to other nodes.

    :param node_name: name of this node
    :param table: in-flight requests of all nodes
    :param outbox: sends updates to the other nodes
    :param notices: counts the requests to endpoints that want few
    """

    def __init__(
        self,
        node_name: str,
        table: in_flight_table.InFlightTable,
        outbox: UpdateOutbox,
        notices: endpoint_notices.EndpointNotices,
    ) -> None:
        self._node_name = node_name
        self._table = table
        self._outbox = outbox
        self._notices = notices
        self._numbers = itertools.count(1)
        # Endpoints of the own entries, by number.
        self._endpoints: dict[int, endpoints.Endpoint] = {}

    def track_primary(
        self,
        endpoint: endpoints.Endpoint,
        demand: placement_cost.Demand,
        parts: int,
        timeout_s: float,
    ) -> contextlib.AbstractContextManager[int]:
        """Track a request on the endpoint that responds to it.

        :param parts: number of endpoints that prefill the prompt together
        :param timeout_s: time within which the request ends
        :returns: context manager that yields the number of the entry
        """
        started = peer_updates.RequestStarted(
            instance=endpoint.instance,
            prompt_tokens=demand.prompt_tokens,
            parts=parts,
            memory_tokens=demand.prompt_tokens + demand.output_tokens,
            max_gap_ms=max(1, round(demand.max_gap_s * 1000)),
            target_ms=max(1, round(demand.target_s * 1000)),
            lasts_ms=max(0, round(timeout_s * 1000)),
        )
        return self._track(endpoint, started)

    def track_helper(
        self,
        helper: placements.Helper,
        demand: placement_cost.Demand,
        parts: int,
        timeout_s: float,
    ) -> contextlib.AbstractContextManager[int]:
        """Track the part of a prompt that a helper prefills."""
        started = peer_updates.RequestStarted(
            instance=helper.endpoint.instance,
            prompt_tokens=demand.prompt_tokens,
            parts=parts,
            memory_tokens=helper.tokens,
            lasts_ms=max(0, round(timeout_s * 1000)),
        )
        return self._track(helper.endpoint, started)

    @contextlib.contextmanager
    def _track(
        self,
        endpoint: endpoints.Endpoint,
        started: peer_updates.RequestStarted,
    ) -> Iterator[int]:
        number = next(self._numbers)
        started.number = number
        self._endpoints[number] = endpoint
        self._table.add(to_in_flight(self._node_name, started))
        self._notices.add_start(
            endpoint.instance, is_part=not is_primary(started)
        )
        for draft in self._outbox.drafts_for(endpoint):
            draft.started.append(started)
        try:
            yield number
        finally:
            del self._endpoints[number]
            self._table.remove(_key(self._node_name, number))
            for draft in self._outbox.drafts_for(endpoint):
                draft.ended.append(number)

    def mark_prefilled(
        self, number: int, demand: placement_cost.Demand
    ) -> None:
        """Mark a prefill as finished, by the number of its entry."""
        self._table.mark_prefilled(_key(self._node_name, number))
        endpoint = self._endpoints.get(number)
        if endpoint is None or demand.prompt_tokens < _MIN_REPORTED_TOKENS:
            return
        for draft in self._outbox.drafts_for(endpoint):
            draft.read.append(number)

    def apply_update(
        self, update: peer_updates.PeerUpdate, is_restarted: bool
    ) -> None:
        """Apply an update that another node sent.

        :param is_restarted: whether that node restarted and thus lost its
            earlier requests
        """
        if is_restarted:
            self._table.remove_all(_key(update.node, ""))
        for started in update.started:
            self._table.add(to_in_flight(update.node, started))
            self._notices.add_peer_start(
                started.instance, is_part=not is_primary(started)
            )
        for number in update.read:
            self._table.mark_prefilled(_key(update.node, number))
        for number in update.ended:
            self._table.remove(_key(update.node, number))


def is_primary(started: peer_updates.RequestStarted) -> bool:
    """Return whether the endpoint responds, and not only prefills a part."""
    return started.max_gap_ms > 0


def to_in_flight(
    node: str, started: peer_updates.RequestStarted
) -> in_flight_table.InFlightRequest:
    """Return the table entry for a request that a node has started."""
    parts = max(1, started.parts)
    full_prefill = latency_model.full_prefill(started.prompt_tokens)
    responds = is_primary(started)
    now = clock.now_s()
    return in_flight_table.InFlightRequest(
        key=_key(node, started.number),
        instance=started.instance,
        prefill=latency_model.prefill_part(full_prefill, parts),
        is_urgent=parts > 1 and not responds,
        reports_prefill_end=started.prompt_tokens >= _MIN_REPORTED_TOKENS,
        memory_tokens=started.memory_tokens,
        target_s=started.target_ms / 1000 if responds else None,
        max_gap_s=started.max_gap_ms / 1000 if responds else None,
        weight=placement_cost.prompt_weight(started.prompt_tokens),
        started_at_s=now,
        expires_at_s=now + started.lasts_ms / 1000,
        output_tokens=max(0, started.memory_tokens - started.prompt_tokens),
    )


def _key(node: str, number: int | str) -> str:
    return f"{node}/{number}"
