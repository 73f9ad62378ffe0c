"""Endpoints that are leaving and the sources that reported it."""

import dataclasses
import enum
import time

# A load report that arrives within this time of a refusal may have been
# sampled before it.
_REPORT_LAG_S = 5.0
# A peer's update may stem from the VM list, which the engine does not know.
# This is enough time for this node to read the list itself.
_PEER_LAG_S = 15.0
# An endpoint gets requests again if nothing reports it as leaving for this
# long. If it still refuses, its first refusal marks it again; a refused
# request does not run.
_EXPIRY_S = 60.0

# Host and port.
Address = tuple[str, int]


class Source(enum.Enum):
    """Where a node learned that an endpoint is leaving."""

    ENDPOINT = "own"
    PEER = "news"
    VM_LIST = "vm_list"


@dataclasses.dataclass(frozen=True)
class _Signal:
    """The latest signal from one source.

    :param received_at: monotonic time in seconds
    :param incarnation: incarnation of the engine, or empty if not known
    :param sampled_at: time of the engine's report by the engine's clock, or
        None if the signal is not a report
    """

    received_at: float
    incarnation: str
    sampled_at: float | None


class LeavingEndpoints:
    """Tracks leaving endpoints by the source of the signal.

    A signal from the endpoint itself, received directly or through a peer,
    is superseded by a later report of the endpoint. A signal from the VM list
    is withdrawn only by the list: a VM is stopped whether or not its engine
    knows.
    """

    def __init__(self) -> None:
        self._signals: dict[Address, dict[Source, _Signal]] = {}

    def is_leaving(self, address: Address) -> bool:
        """Return whether an endpoint is leaving."""
        return address in self._signals

    def mark(
        self,
        address: Address,
        source: Source,
        incarnation: str = "",
        sampled_at: float | None = None,
    ) -> bool:
        """Mark an endpoint as leaving.

        :returns: whether it was not marked before
        """
        is_first = address not in self._signals
        signals = self._signals.setdefault(address, {})
        now = time.monotonic()
        direct = signals.get(Source.ENDPOINT)
        if source is Source.PEER and direct is not None:
            # The update repeats the endpoint's own signal, which has more
            # information.
            signals[Source.ENDPOINT] = dataclasses.replace(
                direct, received_at=now
            )
            return False
        signals[source] = _Signal(now, incarnation, sampled_at)
        if source is Source.ENDPOINT:
            signals.pop(Source.PEER, None)
        return is_first

    def clear(self, address: Address) -> None:
        """Remove all signals for an endpoint."""
        self._signals.pop(address, None)

    def clear_by_report(
        self, address: Address, incarnation: str, sampled_at: float | None
    ) -> bool:
        """Clear an endpoint if its report supersedes all signals.

        :param incarnation: incarnation of the engine that accepts requests
        :param sampled_at: time of the report by the engine's clock, or None
        :returns: whether the endpoint was cleared
        """
        signals = self._signals.get(address)
        if not signals or Source.VM_LIST in signals:
            return False
        now = time.monotonic()
        if not all(
            _is_superseded(source, signal, incarnation, sampled_at, now)
            for source, signal in signals.items()
        ):
            return False
        self.clear(address)
        return True

    def expire(self) -> list[Address]:
        """Clear endpoints whose signals are old; the VM list's never expire.

        :returns: the endpoints that were cleared
        """
        limit = time.monotonic() - _EXPIRY_S
        expired = [
            address
            for address, signals in self._signals.items()
            if Source.VM_LIST not in signals
            and all(s.received_at <= limit for s in signals.values())
        ]
        for address in expired:
            self.clear(address)
        return expired


def _is_superseded(
    source: Source,
    signal: _Signal,
    incarnation: str,
    sampled_at: float | None,
    now: float,
) -> bool:
    if (
        signal.incarnation
        and incarnation
        and signal.incarnation != incarnation
    ):
        # Reports of the previous process may still arrive.
        return _is_newer(incarnation, signal.incarnation)
    if signal.sampled_at is not None and sampled_at is not None:
        return sampled_at > signal.sampled_at
    # The clocks of the engine and of this node cannot be compared. A report
    # counts when it arrives so late that it was made after the signal.
    lag_s = _PEER_LAG_S if source is Source.PEER else _REPORT_LAG_S
    return now - signal.received_at > lag_s


def _is_newer(incarnation: str, previous: str) -> bool:
    """Return whether an incarnation is newer than a previous one.

    Start times are compared; any other identifier counts as newer.
    """
    if incarnation.isdecimal() and previous.isdecimal():
        return int(incarnation) > int(previous)
    return True
