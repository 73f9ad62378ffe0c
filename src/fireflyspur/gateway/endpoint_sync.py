"""Exchange of the list of endpoints between nodes."""

import hashlib

from fireflyspur.gateway import address as addresses
from fireflyspur.gateway import clock
from fireflyspur.gateway import endpoint as endpoints
from fireflyspur.gateway import endpoint_directory
from fireflyspur.generated import fleet_news_pb2 as fleet_news


class EndpointSync:
    """Takes lists from the store or from other nodes.

    One node reads the store and tells the others what has changed. A node
    whose own list is not the one that the changes start from reads itself.

    :param directory: gets each newer list
    """

    # Changes that are told in one datagram; after more, each node reads.
    _MAX_CHANGES = 8

    def __init__(
        self, directory: endpoint_directory.EndpointDirectory
    ) -> None:
        self._directory = directory
        self._entries: dict[str, endpoints.Endpoint] = {}
        self._digest = 0
        self._is_behind = False

    @property
    def is_behind(self) -> bool:
        """Whether another node has seen a list that this one lacks."""
        return self._is_behind

    def update_from_store(
        self, read: endpoints.EndpointList
    ) -> fleet_news.EndpointsSeen:
        """Take a list from the store.

        :returns: what to tell the other nodes
        """
        before, base = self._entries, self._digest
        self._replace(read.endpoints, read.read_at_s)
        seen = self._seen()
        changed = [
            item
            for instance, item in self._entries.items()
            if _identity(before.get(instance)) != _identity(item)
        ]
        gone = sorted(before.keys() - self._entries.keys())
        if changed or gone:
            seen.base_digest = base
        if len(changed) + len(gone) <= self._MAX_CHANGES:
            seen.changed.extend(_to_entry(item) for item in changed)
            seen.gone.extend(gone)
        return seen

    def describe(self) -> fleet_news.EndpointsSeen | None:
        """Return what this node has; None before the first list."""
        return self._seen() if self._directory.is_read else None

    def update_from_peer(self, seen: fleet_news.EndpointsSeen) -> None:
        """Take what another node has seen."""
        read_at_s = clock.now_s() - seen.age_ms / 1000
        newest = self._directory.read_at_s
        if newest is not None and read_at_s <= newest:
            return
        if seen.digest == self._digest:
            # Most words confirm the list that is there; taking it over each
            # time would cost the more, the more nodes and endpoints there are.
            self._is_behind = False
            if not self._directory.confirm(read_at_s):
                self._replace(tuple(self._entries.values()), read_at_s)
        elif seen.base_digest == self._digest and newest is not None:
            entries = dict(self._entries)
            for instance in seen.gone:
                entries.pop(instance, None)
            for entry in seen.changed:
                entries[entry.instance] = _from_entry(entry)
            if _digest(entries) == seen.digest:
                self._replace(tuple(entries.values()), read_at_s)
            else:
                self._is_behind = True
        else:
            self._is_behind = True

    def _replace(
        self, listed: tuple[endpoints.Endpoint, ...], read_at_s: float
    ) -> None:
        self._entries = {item.instance: item for item in listed}
        self._digest = _digest(self._entries)
        self._is_behind = False
        self._directory.replace(endpoints.EndpointList(listed, read_at_s))

    def _seen(self) -> fleet_news.EndpointsSeen:
        return fleet_news.EndpointsSeen(
            digest=self._digest,
            age_ms=min(round(self._directory.age_s() * 1000), 2**32 - 1),
        )


def _identity(item: endpoints.Endpoint | None) -> str:
    """Return what matters of an entry; reports are counted up all the time."""
    if item is None:
        return ""
    return (
        f"{item.instance}|{item.service}|{item.address}|"
        f"{item.failure_domain}|{item.state}|{item.slots}|{item.born_ms}"
    )


def _digest(entries: dict[str, endpoints.Endpoint]) -> int:
    digest = hashlib.blake2b(digest_size=8)
    for instance in sorted(entries):
        digest.update(_identity(entries[instance]).encode())
        digest.update(b"\n")
    return int.from_bytes(digest.digest())


def _to_entry(item: endpoints.Endpoint) -> fleet_news.EndpointEntry:
    return fleet_news.EndpointEntry(
        instance=item.instance,
        service=item.service,
        host=item.address.host,
        port=item.address.port,
        failure_domain=item.failure_domain,
        is_leaving=item.state is endpoints.EndpointState.LEAVING,
        slots=item.slots,
        born_ms=item.born_ms or 0,
    )


def _from_entry(entry: fleet_news.EndpointEntry) -> endpoints.Endpoint:
    state = endpoints.EndpointState.READY
    if entry.is_leaving:
        state = endpoints.EndpointState.LEAVING
    return endpoints.Endpoint(
        instance=entry.instance,
        service=entry.service,
        address=addresses.Address(entry.host, entry.port),
        failure_domain=entry.failure_domain,
        state=state,
        slots=entry.slots,
        sequence=0,
        born_ms=entry.born_ms or None,
    )
