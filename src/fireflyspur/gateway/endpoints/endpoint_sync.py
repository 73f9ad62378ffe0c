"""Synchronization of the list of endpoints between nodes."""

from collections.abc import Callable
import hashlib
import random

from fireflyspur.gateway.common import address as addresses
from fireflyspur.gateway.common import clock
from fireflyspur.gateway.endpoints import endpoint as endpoints
from fireflyspur.gateway.endpoints import endpoint_directory
from fireflyspur.generated import peer_updates_pb2 as peer_updates


class EndpointSync:
    """Updates the list of endpoints from the store and from other nodes.

    One node reads the store and sends the changes to the others. A node
    whose list is not the base of these changes reads the store itself.

    :param directory: is updated with each newer list
    :param on_cold: called with an endpoint that is cold, and the clock time
        by which it said so
    """

    # Changes that are announced, in several datagrams if needed: some 100
    # changed entries. After more of them each node reads the store.
    _MAX_UPDATE_BYTES = 8 * 900
    # Fewer changes than these leave room for entries that turned cold.
    _MAX_COLD = 8

    def __init__(
        self,
        directory: endpoint_directory.EndpointDirectory,
        on_cold: Callable[[endpoints.Endpoint, float], None] = (
            lambda endpoint, reported_at_s: None
        ),
    ) -> None:
        self._directory = directory
        self._on_cold = on_cold
        self._entries: dict[str, endpoints.Endpoint] = {}
        self._digest = 0
        self._epoch = 0
        self._is_behind = False
        # Parts of an update that have arrived, and what they lead from and to.
        self._collected: dict[str, endpoints.Endpoint] = {}
        self._collected_versions = (0, 0)

    @property
    def is_behind(self) -> bool:
        """Whether another node has a newer list than this one."""
        return self._is_behind

    def update_from_store(
        self, read: endpoints.EndpointList
    ) -> peer_updates.EndpointsSeen:
        """Replace the list by one that was read from the store.

        :returns: the update for the other nodes
        """
        previous, base = self._entries, self._digest
        self._replace(read)
        seen = self._version()
        changed = [
            endpoint
            for instance, endpoint in self._entries.items()
            if _identity(previous.get(instance)) != _identity(endpoint)
        ]
        removed = sorted(previous.keys() - self._entries.keys())
        if changed or removed:
            seen.base_digest = base
        cold = self._find_cold(previous)
        for endpoint in cold:
            self._on_cold(endpoint, clock.now_s())
        full = peer_updates.EndpointsSeen()
        full.CopyFrom(seen)
        full.changed.extend(map(_to_entry, changed))
        full.gone.extend(removed)
        if full.ByteSize() > self._MAX_UPDATE_BYTES:
            return seen
        room = max(0, self._MAX_COLD - len(changed) - len(removed))
        others = [e for e in cold if e not in changed]
        if len(others) > room:
            others = random.sample(others, room)
        full.changed.extend(map(_to_entry, others))
        return full

    def _find_cold(
        self, previous: dict[str, endpoints.Endpoint]
    ) -> list[endpoints.Endpoint]:
        """Return the endpoints that have reported anew that they are cold.

        Old entries would make the time seem longer at each read.
        """
        return [
            endpoint
            for instance, endpoint in self._entries.items()
            if endpoint.cold_ms and endpoint != previous.get(instance)
        ]

    def _apply_cold(self, seen: peer_updates.EndpointsSeen) -> None:
        """Apply what changed entries say, whatever the age of the list.

        The digest leaves it out, so that it only tells of identities.
        """
        for entry in seen.changed:
            if entry.cold_remaining_ms:
                self._on_cold(_from_entry(entry), clock.now_s())

    def describe(self) -> peer_updates.EndpointsSeen | None:
        """Return the version of the list, or None before the first list."""
        return self._version() if self._directory.is_read else None

    def update_from_peer(self, seen: peer_updates.EndpointsSeen) -> None:
        """Handle the update of another node."""
        self._apply_cold(seen)
        read_at_s = clock.now_s() - seen.age_ms / 1000
        latest = self._directory.read_at_s
        if latest is not None and read_at_s <= latest:
            return
        if seen.digest == self._digest and seen.epoch == self._epoch:
            # Most updates confirm the current list. The cost of replacing it
            # each time would grow with the numbers of nodes and endpoints.
            self._is_behind = False
            if not self._directory.confirm(read_at_s):
                self._update(self._entries, read_at_s, seen.epoch)
        elif seen.digest == self._digest:
            self._update(self._entries, read_at_s, seen.epoch)
        elif seen.base_digest == self._digest and latest is not None:
            entries = self._collect(seen)
            if _digest(entries) == seen.digest:
                self._update(entries, read_at_s, seen.epoch)
            else:
                # Parts of the update are missing, which may still arrive.
                self._is_behind = True
        else:
            self._is_behind = True

    def _collect(
        self, seen: peer_updates.EndpointsSeen
    ) -> dict[str, endpoints.Endpoint]:
        """Return the list with all parts of an update that have arrived."""
        versions = (seen.base_digest, seen.digest)
        if versions != self._collected_versions:
            self._collected_versions = versions
            self._collected = dict(self._entries)
        for instance in seen.gone:
            self._collected.pop(instance, None)
        for entry in seen.changed:
            self._collected[entry.instance] = _from_entry(entry)
        return self._collected

    def _update(
        self,
        entries: dict[str, endpoints.Endpoint],
        read_at_s: float,
        epoch: int,
    ) -> None:
        self._replace(
            endpoints.EndpointList(tuple(entries.values()), read_at_s, epoch)
        )

    def _replace(self, read: endpoints.EndpointList) -> None:
        self._entries = {
            endpoint.instance: endpoint for endpoint in read.endpoints
        }
        self._digest = _digest(self._entries)
        self._epoch = read.epoch
        self._is_behind = False
        self._collected_versions = (0, 0)
        self._directory.replace(read)

    def _version(self) -> peer_updates.EndpointsSeen:
        return peer_updates.EndpointsSeen(
            digest=self._digest,
            epoch=self._epoch,
            age_ms=min(round(self._directory.age_s() * 1000), 2**32 - 1),
        )


def _identity(endpoint: endpoints.Endpoint | None) -> str:
    """Return the fields that make two entries differ.

    The sequence is left out, since it increases with each report.
    """
    if endpoint is None:
        return ""
    return (
        f"{endpoint.instance}|{endpoint.service}|{endpoint.address}|"
        f"{endpoint.failure_domain}|{endpoint.state}|{endpoint.slots}|"
        f"{endpoint.born_ms}"
    )


def _digest(entries: dict[str, endpoints.Endpoint]) -> int:
    digest = hashlib.blake2b(digest_size=8)
    for instance in sorted(entries):
        digest.update(_identity(entries[instance]).encode())
        digest.update(b"\n")
    return int.from_bytes(digest.digest())


def _to_entry(endpoint: endpoints.Endpoint) -> peer_updates.EndpointEntry:
    return peer_updates.EndpointEntry(
        instance=endpoint.instance,
        service=endpoint.service,
        host=endpoint.address.host,
        port=endpoint.address.port,
        failure_domain=endpoint.failure_domain,
        is_leaving=endpoint.state is endpoints.EndpointState.LEAVING,
        slots=endpoint.slots,
        born_ms=endpoint.born_ms or 0,
        cold_remaining_ms=endpoint.cold_ms,
    )


def _from_entry(entry: peer_updates.EndpointEntry) -> endpoints.Endpoint:
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
        cold_ms=entry.cold_remaining_ms,
    )
