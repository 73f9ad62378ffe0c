"""Splitting of a stream of server-sent events."""

import re

from fireflyspur.gateway.common import part_buffer

_ENDS_OF_EVENT = (b"\r\n\r\n", b"\n\n", b"\r\r")
_MAX_PART_OF_SEPARATOR = 3
_EVENT_ID = re.compile(rb"[\r\n]?id: ?([^\r\n]*)")
# A line that is neither empty nor a comment.
_FIELD = re.compile(rb"(?:^|[\r\n])[^:\r\n]")


class EventSplitter:
    """Splits a stream into complete events and an incomplete remainder.

    Only complete events are forwarded, so that another endpoint can resume
    the stream after the last one.
    """

    def __init__(self) -> None:
        self._tail = part_buffer.PartBuffer()
        self._last_event_id: str | None = None
        self._is_resumable = True

    @property
    def is_resumable(self) -> bool:
        """Whether the last complete event, if any, can be told by its id."""
        return self._is_resumable

    @property
    def last_event_id(self) -> str | None:
        """Id of the last complete event that had one."""
        return self._last_event_id

    @property
    def tail(self) -> bytes:
        """Bytes after the last complete event."""
        return self._tail.join()

    @property
    def tail_size(self) -> int:
        """Number of bytes after the last complete event."""
        return len(self._tail)

    def feed(self, data: bytes) -> bytes:
        """Add bytes and return all complete events.

        Bytes of an incomplete event are kept for the next call.
        """
        # The tail has no complete separator, but may end with a part of one.
        edge = self._tail.end(_MAX_PART_OF_SEPARATOR)
        end = _end_of_last_event(edge + data) - len(edge)
        if end <= 0:
            self._tail.append(data)
            return b""
        events = self._tail.pop_all() + data[:end]
        self._tail.append(data[end:])
        event_id, rest = _last_id(events)
        if event_id is not None:
            self._last_event_id = event_id
        if has_content(events):
            self._is_resumable = bool(event_id) and not has_content(rest)
        return events

    def drop_tail(self) -> None:
        """Discard the incomplete event at the end of a broken stream."""
        self._tail.clear()


def _end_of_last_event(data: bytes) -> int:
    """Return the end of the last complete event; 0 if there is none.

    The search runs backwards, as a flood has thousands of events in a part.
    """
    ends = (
        position + len(separator)
        for separator in _ENDS_OF_EVENT
        if (position := data.rfind(separator)) >= 0
    )
    return max(ends, default=0)


def _last_id(events: bytes) -> tuple[str | None, bytes]:
    """Return the last id, and the events after the one that has it."""
    position = max(events.rfind(b"\nid:"), events.rfind(b"\rid:"), 0)
    match = _EVENT_ID.match(events, position)
    if match is None:
        return None, events
    ends = (
        found + len(separator)
        for separator in _ENDS_OF_EVENT
        if (found := events.find(separator, match.end())) >= 0
    )
    rest = events[min(ends, default=len(events)) :]
    return match.group(1).decode("latin-1"), rest


def has_content(events: bytes) -> bool:
    """Return whether complete events hold more than comments."""
    return _FIELD.search(events) is not None
