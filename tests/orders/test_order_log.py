"""Leases and slots are decided by the log's prefix alone."""

import testtools

from fireflyspur.clients import log_client
from fireflyspur.orders import order_log


def read(*values, time=0.0):
    log = order_log.OrderLog()
    for offset, value in enumerate(values, 1):
        log.apply(log_client.LogRecord(offset, time, value))
    return log


def intent(uid, engine="engine-1"):
    return {"type": "load_intent", "uid": uid, "engine": engine}


class TestOrderLog(testtools.TestCase):
    def test_the_latest_lease_counts_and_its_offset_grows(self):
        log = read(
            {"type": "lease", "uid": "a", "engine": "e", "node": "n1"},
            {"type": "lease", "uid": "b", "engine": "e", "node": "n2"},
        )
        self.assertEqual(
            ("n2", 2), (log.lease("e").node, log.lease("e").offset)
        )

    def test_only_the_first_intents_hold_a_slot(self):
        """More loads than slots would exceed the weight store's rate."""
        log = read(intent("a"), intent("b"), intent("c"))
        held = [u for u in "abc" if log.holds_slot(u, 2, 1.0)]
        self.assertEqual(["a", "b"], held)

    def test_an_end_frees_the_slot_also_when_it_comes_first(self):
        end = {"type": "load_end", "uid": "x", "intent": "a"}
        self.assertTrue(
            read(intent("a"), end, intent("b")).holds_slot("b", 1, 1)
        )
        self.assertFalse(read(end, intent("a")).has_intent("a"))

    def test_the_slot_of_a_dead_holder_expires(self):
        log = read(intent("a"), intent("b"))
        self.assertFalse(log.holds_slot("b", 1, 1.0))
        self.assertFalse(log.holds_slot("a", 1, 10_000.0))

    def test_unknown_records_are_passed_over(self):
        self.assertIsNone(read({"type": "later"}, {}).lease("e"))
