"""Headers that concern one connection only."""

from fireflyspur.gateway import messages

_HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)


def remove(headers: messages.Headers) -> messages.Headers:
    """Return the headers that are meant for the other end.

    The framing of the body is left out too: each connection has its own.
    """
    named = {
        option.strip().lower()
        for name, value in headers
        if name.lower() == b"connection"
        for option in value.split(b",")
    }
    dropped = _HOP_BY_HOP | named
    return [item for item in headers if item[0].lower() not in dropped]
