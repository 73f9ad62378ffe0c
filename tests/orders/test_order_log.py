"""Leases and slots depend only on the prefix of the log."""

import testtools

from fireflyspur.clients import log_client
from fireflyspur.orders import order_log


class Reader:
    """Applies records with the times that a test gives."""

    def __init__(self):
        self.log = order_log.OrderLog()
        self.offset = 0

    def add(self, *values, time=0.0):
        for value in values:
            self.offset += 1
            value = {"uid": f"uid-{self.offset}", **value}
            self.log.apply(log_client.LogRecord(self.offset, time, value))
        return self

    @property
    def granted(self):
        return [intent.uid for intent in self.log.granted()]


def read(*values):
    return Reader().add(*values)


def intent(uid, slots=2, **asks):
    return {
        "type": "load_intent",
        "uid": uid,
        "engine": f"engine-{uid}",
        "slots": slots,
        "asks": asks,
    }


def renewal(intent_uid, slots=2, **asks):
    return {
        "type": "load_renewal",
        "intent": intent_uid,
        "engine": f"engine-{intent_uid}",
        "rank": 1,
        "slots": slots,
        "asks": asks,
    }


def end(intent_uid, **fields):
    return {"type": "load_end", "intent": intent_uid, **fields}


def lease(uid, node, config_offset=1):
    return {
        "type": "lease",
        "uid": uid,
        "engine": "e",
        "node": node,
        "config_offset": config_offset,
    }


class TestLeases(testtools.TestCase):
    def test_the_latest_lease_wins_and_its_offset_grows(self):
        log = read(lease("a", "n1"), lease("b", "n2")).log
        self.assertEqual(
            ("n2", 2), (log.lease("e").node, log.lease("e").offset)
        )

    def test_a_repeated_append_is_no_new_lease(self):
        """Guards against a lost response that displaces the next holder."""
        log = read(lease("a", "n1"), lease("b", "n2"), lease("a", "n1")).log
        self.assertEqual("n2", log.lease("e").node)

    def test_a_lease_with_an_older_configuration_is_void(self):
        """Guards against two owners that keep undoing each other's orders."""
        log = read(lease("a", "n1", 5), lease("b", "n2", 4)).log
        self.assertEqual("n1", log.lease("e").node)
        self.assertTrue(log.has_read("b"))

    def test_unknown_records_are_ignored(self):
        log = read({"type": "later"}, {}, {"type": "lease", "uid": 3}).log
        self.assertIsNone(log.lease("e"))


class TestSlots(testtools.TestCase):
    def test_only_the_first_intents_hold_a_slot(self):
        """Guards against loads that exceed the weight store's rate."""
        reader = read(intent("a"), intent("b"), intent("c"))
        self.assertEqual(["a", "b"], reader.granted)

    def test_an_end_frees_the_slot_also_when_it_comes_first(self):
        self.assertEqual(
            ["b"], read(intent("a", 1), end("a"), intent("b", 1)).granted
        )
        self.assertEqual([], read(end("a"), intent("a")).granted)

    def test_an_end_for_waiting_intents_frees_no_slot(self):
        """Guards against a previous holder that ends its successor's load."""
        withdrawn = end("a", if_waiting=True)
        reader = read(intent("a", 1), intent("b", 1), withdrawn)
        self.assertEqual(["a"], reader.granted)
        reader.add(end("b", if_waiting=True), end("a"))
        self.assertEqual([], reader.granted)

    def test_the_slot_of_a_dead_holder_expires(self):
        reader = read(intent("a", 1), intent("b", 1))
        for time in range(0, int(order_log.SLOT_LIFETIME_S), 20):
            reader.add({"type": "tick"}, time=time)
        self.assertEqual(["a"], reader.granted)
        reader.add({"type": "tick"}, time=order_log.SLOT_LIFETIME_S + 1)
        self.assertEqual(["b"], reader.granted)

    def test_a_renewed_slot_does_not_expire(self):
        reader = read(intent("a", 1), intent("b", 1))
        for time in range(0, 10 * int(order_log.SLOT_LIFETIME_S), 20):
            reader.add(renewal("a", 1), time=time)
        self.assertEqual(["a"], reader.granted)

    def test_an_outage_of_the_log_expires_no_slot(self):
        """Holders cannot renew during an outage, but their loads continue."""
        reader = read(intent("a", 1), intent("b", 1))
        reader.add({"type": "tick"}, time=10_000.0)
        self.assertEqual(["a"], reader.granted)

    def test_a_model_keeps_engines_during_a_rollout(self):
        """Guards against all engines of a model dropping it at once."""
        reader = read(intent("a", m=1), intent("b", m=1), intent("c", n=1))
        self.assertEqual(["a", "c"], reader.granted)
        reader.add(end("a"))
        self.assertEqual(["b", "c"], reader.granted)

    def test_an_engine_that_lost_its_weights_counts_but_need_not_wait(self):
        reader = read(intent("a", 3, m=1), intent("b", 3, m=0))
        self.assertEqual(["a", "b"], reader.granted)
        reader.add(end("a"), intent("c", 3, m=1))
        self.assertEqual(["b"], reader.granted)

    def test_a_holder_that_asks_for_more_waits_for_it(self):
        """Guards against a changed order that drops a second model."""
        reader = read(intent("a", m=1), intent("b", n=1))
        reader.add(renewal("a", m=1, n=1))
        first = reader.log.intents("engine-a")[0]
        self.assertTrue(first.covers({"m": 1}))
        self.assertFalse(first.covers({"m": 1, "n": 1}))
        reader.add(end("b"))
        first = reader.log.intents("engine-a")[0]
        self.assertTrue(first.covers({"m": 1, "n": 1}))

    def test_a_renewal_restores_an_intent_deleted_from_the_log(self):
        """Guards against a new reader that grants a slot twice."""
        reader = read({**renewal("a", 1), "is_granted": True}, intent("b", 1))
        self.assertEqual(["a"], reader.granted)
