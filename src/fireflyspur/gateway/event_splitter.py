"""Boundaries of the events in a stream."""

import re

_END_OF_EVENT = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_EVENT_ID = re.compile(rb"(?:^|[\r\n])id: ?([^\r\n]*)")


class EventSplitter:
    """Cuts a stream at the ends of its events.

    Only whole events are passed on, so that another endpoint can continue
    the stream after the last one.
    """

    def __init__(self) -> None:
        self._tail = b""
        self._last_event_id: str | None = None

    @property
    def last_event_id(self) -> str | None:
        """Id of the last whole event that had one."""
        return self._last_event_id

    @property
    def tail(self) -> bytes:
        """Bytes after the last whole event."""
        return self._tail

    def feed(self, data: bytes) -> bytes:
        """Add bytes and return those up to the end of the last event."""
        text = self._tail + data
        # Bytes from before the tail hold no end of an event.
        start = max(0, len(self._tail) - 3)
        end = 0
        for match in _END_OF_EVENT.finditer(text, start):
            end = match.end()
        self._tail = text[end:]
        events = text[:end]
        ids = _EVENT_ID.findall(events)
        if ids:
            self._last_event_id = ids[-1].decode("latin-1")
        return events

    def drop_tail(self) -> None:
        """Forget the beginning of an event that does not go on."""
        self._tail = b""
