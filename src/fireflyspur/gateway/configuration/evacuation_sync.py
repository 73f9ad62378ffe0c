"""Synchronization of evacuations between nodes."""

from fireflyspur.gateway.configuration import evacuations
from fireflyspur.generated import peer_updates_pb2 as peer_updates


class EvacuationSync:
    """Tells the other nodes of evacuations, and learns of them.

    Times are sent by the clock of the sender: an age would be wrong if the
    sender was suspended between writing and sending it.

    :param known: the evacuations that this node knows
    """

    def __init__(self, known: evacuations.Evacuations) -> None:
        self._known = known

    def describe(self) -> peer_updates.EvacuationsSeen | None:
        """Return what this node knows, or None if that is nothing."""
        state, hold = self._known.state, self._known.hold
        if state is None or not self._known.is_enabled:
            return None
        seen = peer_updates.EvacuationsSeen(
            position=state.position,
            epoch=state.epoch,
            read_ms=_to_ms(self._known.read.at_s),
            read_number=self._known.read.number,
            failure_domains=sorted(state.domains),
        )
        if hold is not None:
            seen.held_failure_domains.extend(sorted(hold.domains))
            seen.restored_ms = _to_ms(hold.restored_at_s)
        return seen

    def update_from_peer(
        self,
        seen: peer_updates.EvacuationsSeen,
        clock_offset_s: float | None,
    ) -> None:
        """Handle what another node knows.

        :param clock_offset_s: difference between the clock of this node and
            that of the other one; None if it is not known, in which case the
            ages are not known either
        """
        read = None
        if seen.read_ms and clock_offset_s is not None:
            read = evacuations.StoreRead(
                seen.read_ms / 1000 + clock_offset_s, seen.read_number
            )
        self._known.update_from_peer(
            evacuations.EvacuationState(
                seen.epoch, seen.position, frozenset(seen.failure_domains)
            ),
            read,
        )
        if seen.restored_ms and clock_offset_s is not None:
            hold = evacuations.Hold(
                frozenset(seen.held_failure_domains),
                seen.restored_ms / 1000 + clock_offset_s,
            )
            self._known.update_hold(seen.epoch, hold)


def _to_ms(clock_s: float) -> int:
    """Return a time in ms, or 0 for one that is not known."""
    return round(clock_s * 1000) if clock_s > 0 else 0
