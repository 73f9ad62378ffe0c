"""Where a stream may be continued."""

import hypothesis
from hypothesis import strategies
import testtools

from fireflyspur.gateway import event_splitter

_STREAM = b"".join(
    f"id: {n}\ndata: token-{n}\nnote: a\n\n".encode() for n in range(1, 8)
)


class EventSplitterTest(testtools.TestCase):
    """Guards against events that are cut or counted twice."""

    @hypothesis.given(strategies.lists(strategies.integers(0, len(_STREAM))))
    def test_cuts_anywhere_lose_nothing(self, cuts):
        splitter = event_splitter.EventSplitter()
        places = [0, *sorted(cuts), len(_STREAM)]
        passed = b""
        for begin, end in zip(places, places[1:], strict=False):
            events = splitter.feed(_STREAM[begin:end])
            self.assertTrue(not events or events.endswith(b"\n\n"))
            passed += events
            whole = passed.count(b"\n\n")
            self.assertEqual(
                str(whole) if whole else None, splitter.last_event_id
            )
        self.assertEqual(_STREAM, passed)
        self.assertEqual(b"", splitter.tail)

    def test_other_line_ends(self):
        for end in (b"\r\n\r\n", b"\r\r"):
            splitter = event_splitter.EventSplitter()
            events = splitter.feed(b"id: 4" + end + b"id: 5")
            self.assertEqual(b"id: 4" + end, events)
            self.assertEqual("4", splitter.last_event_id)
            splitter.drop_tail()
            self.assertEqual(b"", splitter.tail)
