"""Registry of the gateway in the platform's store."""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses

from fireflyspur.gateway.common import address as addresses
from fireflyspur.gateway.common import clock
from fireflyspur.gateway.common import exceptions
from fireflyspur.gateway.common import registry
from fireflyspur.gateway.configuration import evacuations
from fireflyspur.gateway.endpoints import endpoint as endpoints
from fireflyspur.observability import logs
from fireflyspur.platform import config_codec
from fireflyspur.platform import endpoint_codec
from fireflyspur.platform import store_client

_OPERATOR_TOPIC = "keyed.op"
_CONFIG_KEY = "config"
# The rest of the key names a failure domain.
_EVACUATION_KEY_PREFIX = "evacuate/"
_ENDPOINTS_TOPIC = "keyed.servers"
_NODES_TOPIC = "keyed.status"
_NODE_KEY_PREFIX = "node-"
# Names of the topics in metrics.
_TOPIC_LABELS = {
    _OPERATOR_TOPIC: "config",
    _ENDPOINTS_TOPIC: "endpoints",
    _NODES_TOPIC: "nodes",
}

_log = logs.log_for("platform")


class StoreRegistry(registry.Registry):
    """Reads and writes the records of the gateway in the store.

    :param store: client of the store
    """

    def __init__(self, store: store_client.StoreClient) -> None:
        self._store = store
        # Position up to which operators' records were read, with what they
        # say of evacuations.
        self._seen = evacuations.EvacuationState(0, 0)
        self._invalid_keys: set[str] = set()

    def count_calls(self, count: Callable[[str, str], None]) -> None:
        """Set what counts each call."""
        self._store.on_call(
            lambda topic, outcome: count(_TOPIC_LABELS[topic], outcome)
        )

    async def read_config(self) -> registry.ConfigRead:
        """Read the current configuration."""
        read_at_s = clock.now_s()
        newest = await self._store.read_newest(_OPERATOR_TOPIC)
        records = [
            store_client.KeyedRecord(record.key, record.value)
            for record in newest.records
        ]
        self._seen = _apply_evacuations(
            evacuations.EvacuationState(newest.epoch, newest.end), records
        )
        offsets = [r.offset for r in newest.records if r.key == _CONFIG_KEY]
        position = offsets[-1] if offsets else 0
        return _to_read(records, read_at_s, position, newest.end, self._seen)

    async def wait_config(self, wait_s: float) -> registry.ConfigRead:
        """Wait for a configuration newer than the last one read."""
        started_s = clock.now_s()
        # Another call may end while this one waits.
        base = self._seen
        position = base.position
        read = await self._store.read_log(_OPERATOR_TOPIC, position, wait_s)
        is_other_log = read.epoch != base.epoch or read.end < position
        if read.is_expired or is_other_log:
            # After a restore, newer records may have lower offsets.
            return await self.read_config()
        if read.next < read.end:
            # The rest may hold a newer configuration.
            _log.info(
                "Newest configuration read, as the log came in part",
                position=position,
                next=read.next,
                end=read.end,
            )
            return await self.read_config()
        seen = _apply_evacuations(
            dataclasses.replace(base, position=read.next), read.records
        )
        if seen.version >= self._seen.version:
            self._seen = seen
        read_at_s = started_s
        if not read.records:
            # The store responds without a record only after the full wait.
            read_at_s = min(started_s + wait_s, clock.now_s())
        return _to_read(read.records, read_at_s, position, read.end, seen)

    async def read_endpoints(self) -> endpoints.EndpointList:
        """Read the registered endpoints."""
        read_at_s = clock.now_s()
        newest = await self._store.read_newest(_ENDPOINTS_TOPIC)
        valid = []
        invalid_keys = set()
        for record in newest.records:
            if not record.value:
                continue
            try:
                valid.append(endpoint_codec.decode(record.key, record.value))
            except exceptions.RecordInvalidError as error:
                invalid_keys.add(record.key)
                if record.key not in self._invalid_keys:
                    _log.warning("Entry not used", reason=str(error))
        self._invalid_keys = invalid_keys
        return endpoints.EndpointList(tuple(valid), read_at_s, newest.epoch)

    async def register_node(self, name: str, entry: registry.NodeEntry) -> int:
        """Register a node."""
        value = f"{entry.address} {entry.failure_domain}"
        record = store_client.KeyedRecord(
            _NODE_KEY_PREFIX + name, value.encode()
        )
        return await self._store.append(_NODES_TOPIC, record)

    async def read_nodes(self) -> dict[str, registry.NodeEntry]:
        """Return all nodes that have ever registered, by name."""
        newest = await self._store.read_newest(_NODES_TOPIC)
        nodes = {}
        for record in newest.records:
            if not record.key.startswith(_NODE_KEY_PREFIX):
                continue
            try:
                name = record.key[len(_NODE_KEY_PREFIX) :]
                nodes[name] = _decode_node(record.value.decode())
            except ValueError as error:
                _log.warning("Node not used", reason=str(error))
        return nodes


def _decode_node(value: str) -> registry.NodeEntry:
    address, _, failure_domain = value.partition(" ")
    return registry.NodeEntry(addresses.parse(address), failure_domain)


def _apply_evacuations(
    state: evacuations.EvacuationState,
    records: Sequence[store_client.KeyedRecord],
) -> evacuations.EvacuationState:
    """Return a state after the operators' records that follow it."""
    domains = set(state.domains)
    for record in records:
        domain = record.key.removeprefix(_EVACUATION_KEY_PREFIX)
        if domain == record.key:
            continue
        if record.value:
            domains.add(domain)
        else:
            domains.discard(domain)
    return dataclasses.replace(state, domains=frozenset(domains))


def _to_read(
    records: Sequence[store_client.KeyedRecord],
    read_at_s: float,
    position: int,
    end: int,
    seen: evacuations.EvacuationState,
) -> registry.ConfigRead:
    """Return what operators' records say.

    An invalid configuration must hide neither the evacuations nor a valid
    one before it.
    """
    config = error = None
    for record in reversed(records):
        if record.key != _CONFIG_KEY:
            continue
        try:
            config = config_codec.decode(record.value)
            break
        except exceptions.RecordInvalidError as invalid:
            error = error or invalid
    return registry.ConfigRead(config, read_at_s, position, end, seen, error)
