"""Checks of endpoints that may have failed."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from collections.abc import Sequence

from fireflyspur.gateway.common import clock
from fireflyspur.gateway.common import exceptions
from fireflyspur.gateway.configuration import routing_config
from fireflyspur.gateway.endpoints import endpoint as endpoints
from fireflyspur.gateway.endpoints import endpoint_directory
from fireflyspur.gateway.endpoints import reachability
from fireflyspur.gateway.fleet import update_channel
from fireflyspur.gateway.scheduling import in_flight_table
from fireflyspur.gateway.scheduling import latency_model
from fireflyspur.generated import peer_updates_pb2 as peer_updates
from fireflyspur.observability import logs

# Silence that is tolerated beyond the model's prediction: a factor for errors
# of the model, and a margin for the network and the node itself.
_MODEL_FACTOR = 2.0
_MARGIN_S = 0.35
# The silence of a plain service says little about its state, as no model
# predicts how long its requests take.
_PLAIN_SILENCE_S = 0.5

_log = logs.log_for("endpoints")


class EndpointMonitor:
    """Checks endpoints that are silent, or whose connections were lost.

    :param directory: gets the endpoints that failed or left
    :param table: in-flight requests on endpoints
    :param channel: broadcasts to the other nodes
    :param reachable: tells whether this node reaches endpoints
    :param report_left: marks an endpoint as leaving on all nodes
    """

    def __init__(
        self,
        directory: endpoint_directory.EndpointDirectory,
        table: in_flight_table.InFlightTable,
        channel: update_channel.UpdateChannel,
        reachable: reachability.Reachability,
        report_left: Callable[[str, str], None],
    ) -> None:
        self._directory = directory
        self._table = table
        self._channel = channel
        self._reachable = reachable
        self._report_left = report_left
        self._checks: set[asyncio.Future[None]] = set()

    def check_crash(
        self, endpoint: endpoints.Endpoint, on_crash: Callable[[], None]
    ) -> None:
        """Check whether the endpoint accepts no more connections.

        The check runs in the background.

        :param on_crash: called if it accepts none
        """
        self._start(self._check_for_crash(endpoint, on_crash))

    def mark_unreachable(self, instance: str) -> None:
        """Pause an endpoint that accepts no connection.

        The other nodes are told if it is at fault, and not the paths of this
        node.
        """
        was_paused = self._directory.is_paused(instance)
        self._directory.record_fault(instance, "no connection")
        if not was_paused:
            self._start(self._report_unreachable(instance))

    def mark_failed(self, instance: str, reason: str) -> None:
        """Mark an endpoint as failed, and broadcast it to the other nodes."""
        if not self._directory.is_paused(instance):
            self._broadcast(instance, peer_updates.FAILED)
        self._directory.record_fault(instance, reason)

    def report_error(self, endpoint: endpoints.Endpoint) -> None:
        """Count a failed request, and tell the nodes that use the endpoint.

        A node without good paths doesn't tell them, as it may be at fault.
        """
        errors = self._directory.errors
        if not errors.add_error(endpoint.instance):
            return
        _log.info(
            "Request on endpoint failed",
            instance=endpoint.instance,
            error_rate=round(errors.rate(endpoint.instance), 3),
        )
        if not self._reachable.has_good_paths:
            return
        report = peer_updates.EndpointReport(
            instance=endpoint.instance, event=peer_updates.REQUEST_FAILED
        )
        for draft in self._channel.drafts_for(endpoint):
            draft.reports.append(report)

    def mark_left(self, instance: str, reason: str) -> None:
        """Mark an endpoint as gone, on all nodes."""
        self._report_left(instance, reason)

    def expected_silence_s(
        self,
        members: Sequence[endpoints.Endpoint],
        engine: routing_config.EngineSpec | None,
    ) -> float:
        """Return the time within which the next event is expected."""
        if engine is None:
            return _PLAIN_SILENCE_S
        now = clock.now_s()
        longest_ms = 0.0
        for endpoint in members:
            state = self._table.predict_load(
                endpoint.instance, engine, now
            ).state
            ms = state.pending_prefill_ms + latency_model.pass_ms(
                engine, state
            )
            longest_ms = max(longest_ms, ms)
        return _MARGIN_S + _MODEL_FACTOR * longest_ms / 1000

    async def probe(
        self, endpoint: endpoints.Endpoint, silent_s: float
    ) -> bool:
        """Open a connection to a silent endpoint to check that it is alive.

        :returns: whether it accepts one
        """
        is_reachable = await self._reachable.accepts(endpoint)
        _log.info(
            "Endpoint silent",
            instance=endpoint.instance,
            silent_s=round(silent_s, 3),
            is_reachable=is_reachable,
        )
        if not is_reachable:
            self.mark_unreachable(endpoint.instance)
        return is_reachable

    async def check_helpers(
        self, helpers: Sequence[endpoints.Endpoint]
    ) -> None:
        """Abandon the response of a group if a helper is lost.

        Only helpers that the directory doesn't list as serving are probed.

        :raises BrokenResponseError: if one of them accepts no connection
        """
        suspected = [
            endpoint
            for endpoint in helpers
            if not self._directory.is_available(endpoint.instance)
        ]
        results = await asyncio.gather(
            *(self._reachable.accepts(endpoint) for endpoint in suspected)
        )
        for endpoint, is_reachable in zip(suspected, results, strict=True):
            if not is_reachable:
                self.mark_unreachable(endpoint.instance)
                raise exceptions.BrokenResponseError(
                    f"{endpoint.instance} of its group accepts no connection",
                    failed_member=endpoint.instance,
                )

    async def close(self) -> None:
        """Cancel the running checks."""
        for check in self._checks:
            check.cancel()
        await asyncio.gather(*self._checks, return_exceptions=True)

    async def _check_for_crash(
        self, endpoint: endpoints.Endpoint, on_crash: Callable[[], None]
    ) -> None:
        if await self._reachable.accepts(endpoint):
            return
        self.mark_unreachable(endpoint.instance)
        if await self._reachable.is_at_fault(endpoint.instance):
            on_crash()

    async def _report_unreachable(self, instance: str) -> None:
        if await self._reachable.is_at_fault(instance):
            self._broadcast(instance, peer_updates.FAILED)

    def _start(self, coroutine: Coroutine[None, None, None]) -> None:
        check = asyncio.ensure_future(coroutine)
        self._checks.add(check)
        check.add_done_callback(self._checks.discard)

    def _broadcast(self, instance: str, event: int) -> None:
        report = peer_updates.EndpointReport(instance=instance, event=event)
        self._channel.fleet_draft.reports.append(report)
