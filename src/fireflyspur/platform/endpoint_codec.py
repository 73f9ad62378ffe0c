"""Decoding of the entries that endpoints register in the store."""

import msgspec

from fireflyspur.gateway.common import address as addresses
from fireflyspur.gateway.common import exceptions
from fireflyspur.gateway.endpoints import endpoint as endpoints

_STATES = {
    "ready": endpoints.EndpointState.READY,
    "draining": endpoints.EndpointState.LEAVING,
}


class _Entry(msgspec.Struct):
    service: str
    address: str
    zone: str
    state: str
    slots: int
    # Number of reports since the start of the process; orders do not count.
    sequence: int = 0
    # Unix time in ms at which the process started.
    born: int | None = None


_decoder = msgspec.json.Decoder(_Entry)


def decode(instance: str, value: bytes) -> endpoints.Endpoint:
    """Decode the entry of an endpoint.

    :param instance: key of the entry
    :param value: the entry's JSON value
    :raises RecordInvalidError: if the entry is invalid
    """
    try:
        wire = _decoder.decode(value)
        return endpoints.Endpoint(
            instance=instance,
            service=wire.service,
            address=addresses.parse(wire.address),
            failure_domain=wire.zone,
            state=_STATES[wire.state],
            slots=wire.slots,
            sequence=wire.sequence,
            born_ms=wire.born,
        )
    except (msgspec.DecodeError, ValueError, KeyError) as error:
        raise exceptions.RecordInvalidError(
            f"entry {instance!r:.60}: {error!r:.200}"
        ) from error
