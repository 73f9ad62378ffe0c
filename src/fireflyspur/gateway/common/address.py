"""Network addresses of processes."""

import dataclasses
import ipaddress

_MAX_PORT_DIGITS = 5


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """An IPv4 address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


def parse(text: str) -> Address:
    """Parse ``HOST:PORT``.

    :raises ValueError: if the text has another form
    """
    host, separator, port = text.rpartition(":")
    if not separator or not host or not port.isdecimal():
        raise ValueError(f"expected HOST:PORT, found {text!r:.80}")
    if len(port) > _MAX_PORT_DIGITS or not 0 < int(port) < 65536:
        raise ValueError(f"expected a port from 1 to 65535, found {port:.80}")
    # Also refuses names, as nothing here looks them up.
    return Address(str(ipaddress.IPv4Address(host)), int(port))
