"""Splitting of a stream of server-sent events."""

import re

_END_OF_EVENT = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_EVENT_ID = re.compile(rb"(?:^|[\r\n])id: ?([^\r\n]*)")


class EventSplitter:
    """Splits a stream into complete events and an incomplete remainder.

    Only complete events are forwarded, so that another endpoint can resume
    the stream after the last one.
    """

    def __init__(self) -> None:
        self._tail = b""
        self._last_event_id: str | None = None

    @property
    def last_event_id(self) -> str | None:
        """Id of the last complete event that had one."""
        return self._last_event_id

    @property
    def tail(self) -> bytes:
        """Bytes after the last complete event."""
        return self._tail

    def feed(self, data: bytes) -> bytes:
        """Add bytes and return all complete events.

        Bytes of an incomplete event are kept for the next call.
        """
        buffer = self._tail + data
        # The tail has no complete separator, but may end with up to 3 bytes
        # of one.
        start = max(0, len(self._tail) - 3)
        end = 0
        for match in _END_OF_EVENT.finditer(buffer, start):
            end = match.end()
        self._tail = buffer[end:]
        events = buffer[:end]
        ids = _EVENT_ID.findall(events)
        if ids:
            self._last_event_id = ids[-1].decode("latin-1")
        return events

    def drop_tail(self) -> None:
        """Discard the incomplete event at the end of a broken stream."""
        self._tail = b""
