"""Splitting of a stream of server-sent events."""

import re

_ENDS_OF_EVENT = (b"\r\n\r\n", b"\n\n", b"\r\r")
_EVENT_ID = re.compile(rb"[\r\n]?id: ?([^\r\n]*)")
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
        end = _end_of_last_event(self._tail, start)
        if not end:
            return b""
        events = bytes(self._tail[:end])
        del self._tail[:end]
        event_id = _last_id(events)
        if event_id is not None:
            self._last_event_id = event_id
        return events

    def drop_tail(self) -> None:
        """Discard the incomplete event at the end of a broken stream."""
        self._tail.clear()


def _end_of_last_event(data: bytearray, start: int) -> int:
    """Return the end of the last complete event; 0 if there is none.

    The search runs backwards, as a flood has thousands of events in a part.
    """
    ends = (
        position + len(separator)
        for separator in _ENDS_OF_EVENT
        if (position := data.rfind(separator, start)) >= 0
    )
    return max(ends, default=0)


def _last_id(events: bytes) -> str | None:
    position = max(events.rfind(b"\nid:"), events.rfind(b"\rid:"), 0)
    match = _EVENT_ID.match(events, position)
    return match.group(1).decode("latin-1") if match else None


def has_content(events: bytes) -> bool:
    """Return whether complete events hold more than comments."""
    return _FIELD.search(events) is not None
