"""Writing of logs to a slow or closed reader."""

import os

import testtools

from fireflyspur.observability import bounded_writer


class BoundedWriterTest(testtools.TestCase):
    """Guards against blocked nodes and lines dropped without a report."""

    def setUp(self):
        super().setUp()
        self.reader, self.fd = os.pipe()
        self.addCleanup(os.close, self.fd)
        self.writer = bounded_writer.BoundedWriter(
            self.fd, lambda count: f"dropped {count}", max_pending=10
        )

    def read_all(self):
        os.set_blocking(self.reader, False)
        text = b""
        while True:
            try:
                data = os.read(self.reader, 65_536)
            except BlockingIOError:
                return text
            if not data:
                return text
            text += data

    def test_lines_are_written(self):
        self.writer.write("one")
        self.writer.write("two")
        self.assertEqual(b"one\ntwo\n", self.read_all())
        os.close(self.reader)

    def test_lines_beyond_the_limit_are_dropped_and_reported(self):
        line = "x" * 10_000
        for _ in range(100):
            self.writer.write(line)
        dropped = self.writer.dropped
        self.assertGreater(dropped, 0)
        text = b""
        for _ in range(30):
            text += self.read_all()
            self.writer.flush()
        lines = text.split(b"\n")[:-1]
        self.assertIn(f"dropped {dropped}".encode(), lines)
        complete = [found for found in lines if found == line.encode()]
        self.assertEqual(100 - dropped, len(complete))
        os.close(self.reader)

    def test_closed_reader_does_not_raise(self):
        os.close(self.reader)
        self.writer.write("one")
        self.assertGreater(self.writer.dropped, 0)
