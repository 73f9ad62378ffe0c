"""Hop-by-hop headers, which apply to a single connection."""

from fireflyspur.gateway.common import messages

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
    """Return the headers without the hop-by-hop ones.

    Content-Length is removed too, as each connection frames the body itself.
    """
    listed = {
        option.strip().lower()
        for name, value in headers
        if name.lower() == b"connection"
        for option in value.split(b",")
    }
    removed = _HOP_BY_HOP | listed
    return [header for header in headers if header[0].lower() not in removed]
