"""Decoding of the entries that endpoints register in the store."""

from typing import Annotated

import msgspec

from fireflyspur.gateway.common import address as addresses
from fireflyspur.gateway.common import exceptions
from fireflyspur.gateway.endpoints import endpoint as endpoints

_STATES = {
    "ready": endpoints.EndpointState.READY,
    "draining": endpoints.EndpointState.LEAVING,
}


# Names have some dozen characters; nodes pass them on in datagrams.
_MAX_NAME_LENGTH = 200
# Requests that an endpoint runs at a time; beyond any real one.
_MAX_SLOTS = 65_536
_MAX_COUNT = 2**63 - 1
# Nodes pass it on in 32 bits.
_MAX_COLD_MS = 2**32 - 1

_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=_MAX_NAME_LENGTH)]
_Count = Annotated[int, msgspec.Meta(ge=0, le=_MAX_COUNT)]


class _Entry(msgspec.Struct):
    service: _Name
    address: str
    zone: _Name
    state: str
    slots: Annotated[int, msgspec.Meta(ge=1, le=_MAX_SLOTS)]
    # Number of reports since the start of the process; orders do not count.
    sequence: _Count = 0
    # Unix time in ms at which the process started.
    born: _Count | None = None
    # Time for which it is still slow and takes few requests.
    cold_remaining_ms: float | None = None


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
            cold_ms=round(
                min(max(0.0, wire.cold_remaining_ms or 0.0), _MAX_COLD_MS)
            ),
        )
    except (
        msgspec.DecodeError,
        ValueError,
        KeyError,
        RecursionError,
    ) as error:
        raise exceptions.RecordInvalidError(
            f"entry {instance!r:.60}: {error!r:.200}"
        ) from error
