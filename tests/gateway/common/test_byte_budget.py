"""The limit on the bytes that a node holds for all connections."""

import contextlib

import hypothesis
from hypothesis import strategies
import testtools

from fireflyspur.gateway.common import byte_budget
from fireflyspur.gateway.common import part_buffer
from tests.support import captured_logs
from tests.support import fake_clock


class ByteBudgetTest(fake_clock.FakeClockTest):
    """Guards against memory that is used up, and sound answers ended."""

    def setUp(self):
        super().setUp()
        self.budget = byte_budget.ByteBudget(lambda: 100)
        self.stack = contextlib.ExitStack()
        self.addCleanup(self.stack.close)
        self.ended = []

    def hold(self, name, size):
        holding = self.stack.enter_context(self.budget.open())
        holding.set(size, lambda reason: self.ended.append(name))
        return holding

    def test_what_held_most_for_longest_is_ended_first(self):
        self.hold("short", 5)
        self.now += 5.0
        self.hold("stalled", 40)
        moving = self.hold("moving", 45)
        self.now += 2.0
        moving.record_progress()
        with captured_logs.capture() as records:
            self.hold("new", 20)
        self.assertEqual(["stalled"], self.ended)
        self.assertEqual(70, self.budget.held_bytes)
        self.assertEqual(1, self.budget.ended)
        (line,) = [r for r in records if r["message"] == "Too many bytes held"]
        self.assertEqual(40, line["extra"]["given_up"])

    def test_what_cannot_be_given_up_stays(self):
        owed = self.stack.enter_context(self.budget.open())
        owed.set(95, None)
        self.now += 9.0
        self.hold("late", 10)
        self.assertEqual(["late"], self.ended)
        self.assertEqual(95, self.budget.held_bytes)

    # What a request holds at its second endpoint was not counted.
    def test_what_is_held_after_that_counts_again(self):
        holding = self.hold("first", 101)
        self.assertEqual(["first"], self.ended)
        holding.set(60, self.ended.append)
        self.assertEqual(60, self.budget.held_bytes)
        self.stack.close()
        self.assertEqual(0, self.budget.held_bytes)


class PartBufferTest(testtools.TestCase):
    """Guards against bytes that are lost or swapped on the way."""

    @hypothesis.given(
        strategies.lists(strategies.binary(max_size=40_000), max_size=8)
    )
    def test_all_bytes_stay_in_order(self, parts):
        buffer = part_buffer.PartBuffer()
        for part in parts:
            buffer.append(part)
        whole = b"".join(parts)
        self.assertEqual(len(whole), len(buffer))
        self.assertEqual(whole, buffer.join())
        self.assertEqual(whole[-3:], buffer.end(3))
        blocks = []
        while block := buffer.pop_block():
            blocks.append(block)
        self.assertEqual(whole, b"".join(blocks))
        self.assertEqual(0, len(buffer))
