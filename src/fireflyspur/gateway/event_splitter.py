"""Splitting of a stream of server-sent events."""

import re

_END_OF_EVENT = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_EVENT_ID = re.compile(rb"(?:^|[\r\n])id: ?([^\r\n]*)")
# A line that is neither empty nor a comment.
_FIELD = re.compile(rb"(?:^|[\r\n])[^:\r\n]")


class EventSplitter:
    """Splits a stream into complete events and an incomplete remainder.

    Only complete events are forwarded, so that another endpoint can resume
    the stream after the last one.
    """

    def __init__(self) -> None:
        self._tail = bytearray()
        self._last_event_id: str | None = None

    @property
    def last_event_id(self) -> str | None:
        """Id of the last complete event that had one."""
        return self._last_event_id

    @property
    def tail(self) -> bytes:
        """Bytes after the last complete event."""
        return bytes(self._tail)

    @property
    def tail_size(self) -> int:
        """Number of bytes after the last complete event."""
        return len(self._tail)

    def feed(self, data: bytes) -> bytes:
        """Add bytes and return all complete events.

        Bytes of an incomplete event are kept for the next call.
        """
        # The tail has no complete separator, but may end with up to 3 bytes
        # of one.
        start = max(0, len(self._tail) - 3)
        self._tail += data
        end = 0
        for match in _END_OF_EVENT.finditer(self._tail, start):
            end = match.end()
        if not end:
            return b""
        events = bytes(self._tail[:end])
        del self._tail[:end]
        ids = _EVENT_ID.findall(events)
        if ids:
            self._last_event_id = ids[-1].decode("latin-1")
        return events

    def drop_tail(self) -> None:
        """Discard the incomplete event at the end of a broken stream."""
        self._tail.clear()


def has_content(events: bytes) -> bool:
    """Return whether complete events hold more than comments."""
    return _FIELD.search(events) is not None
