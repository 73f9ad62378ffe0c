"""Splitting of a stream into complete events."""

import hypothesis
from hypothesis import strategies
import testtools

from fireflyspur.gateway.requests import event_splitter

_STREAM = b"".join(
    f"id: {n}\ndata: token-{n}\nnote: a\n\n".encode() for n in range(1, 8)
)


class EventSplitterTest(testtools.TestCase):
    """Guards against events that are forwarded incomplete, twice or never."""

    @hypothesis.given(strategies.lists(strategies.integers(0, len(_STREAM))))
    def test_chunks_of_any_size_lose_nothing(self, cuts):
        splitter = event_splitter.EventSplitter()
        bounds = [0, *sorted(cuts), len(_STREAM)]
        forwarded = b""
        for start, end in zip(bounds, bounds[1:], strict=False):
            events = splitter.feed(_STREAM[start:end])
            self.assertTrue(not events or events.endswith(b"\n\n"))
            forwarded += events
            count = forwarded.count(b"\n\n")
            self.assertEqual(
                str(count) if count else None, splitter.last_event_id
            )
        self.assertEqual(_STREAM, forwarded)
        self.assertEqual(b"", splitter.tail)

    def test_other_line_endings(self):
        for end in (b"\r\n\r\n", b"\r\r"):
            splitter = event_splitter.EventSplitter()
            events = splitter.feed(b"id: 4" + end + b"id: 5")
            self.assertEqual(b"id: 4" + end, events)
            self.assertEqual("4", splitter.last_event_id)
            splitter.drop_tail()
            self.assertEqual(b"", splitter.tail)
