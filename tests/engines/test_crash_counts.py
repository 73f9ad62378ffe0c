"""Crash counts and trials as a function of the stream so far."""

import testtools

from fireflyspur.engines import crash_counts
from fireflyspur.engines import engine_crash

PERIOD_S = 100.0


def crash(engine, *fingerprints, uid="c"):
    return engine_crash.EngineCrash(uid, engine, "1", fingerprints)


def trial(uid, fingerprint, engine, deadline=1000.0):
    return {
        "kind": "trial",
        "uid": uid,
        "fingerprint": fingerprint,
        "engine": engine,
        "deadline": deadline,
    }


class TestCrashCounts(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.counts = crash_counts.CrashCounts(lambda: PERIOD_S)
        self.offset = 0

    def apply(self, value, time=0.0):
        self.offset += 1
        if isinstance(value, engine_crash.EngineCrash):
            value = value.to_record("node-1:1")
        self.counts.apply(self.offset, time, value)

    def test_crash_reported_by_two_nodes_counts_once(self):
        """Guards against a quarantine after a single crash."""
        self.apply(crash("e1", "a", uid="c1"))
        self.apply(crash("e1", "a", uid="c2"))
        self.counts.add_unlogged(crash("e1", "a", uid="c3"), 1.0)
        self.assertEqual(1, self.counts.count("a", 2.0))
        self.assertIsNone(self.counts.quarantined_until("a", 2.0))

    def test_quarantine_starts_with_second_crash(self):
        """Guards against a quarantine that ends with the first crash."""
        self.apply(crash("e1", "a", "b"), 0.0)
        self.apply(crash("e2", "a"), 90.0)
        self.assertEqual(190.0, self.counts.quarantined_until("a", 150.0))
        self.assertEqual(0, self.counts.count("b", 100.0))
        self.assertEqual(["b"], self.counts.remove_expired(189.0))
        self.assertEqual(["a"], self.counts.remove_expired(190.0))

    def test_earlier_trial_excludes_later_one(self):
        """Guards against two suspects on the same engine."""
        self.apply(trial("t1", "a", "e1"))
        self.apply(trial("t2", "b", "e1"))
        self.apply(trial("t3", "a", "e2"))
        self.apply(trial("t4", "b", "e2"))
        accepted = [
            t for t in ("t1", "t2", "t3", "t4") if self.counts.has_trial(t)
        ]
        self.assertEqual(["t1", "t4"], accepted)

    def test_suspects_share_engines_after_many_crashes(self):
        """Guards against prompts that queue up after a rack failure."""
        for number in range(3):
            self.apply(crash(f"e{number}", f"f{number}"), 10.0 * number)
        self.apply(trial("t1", "a", "e9"), 25.0)
        self.apply(trial("t2", "b", "e9"), 25.0)
        self.assertTrue(self.counts.has_trial("t2"))
        self.assertEqual(1, self.counts.trials_per_engine(31.0))

    def test_trial_recorded_after_its_end_is_ignored(self):
        """Guards against an engine that is blocked by a delayed append."""
        self.apply({"kind": "trial_end", "uid": "x", "trial": "t1"})
        self.apply(trial("t1", "a", "e1"))
        self.assertTrue(self.counts.is_free("a", "e1", 0.0))

    def test_trial_of_dead_node_ends_at_deadline(self):
        """Guards against an engine that stays blocked forever."""
        self.apply(trial("t1", "a", "e1", deadline=50.0))
        self.assertFalse(self.counts.is_free("b", "e1", 49.0))
        self.assertTrue(self.counts.is_free("b", "e1", 50.0))

    def test_rank_follows_log_order(self):
        """Guards against nodes that distribute the suspects differently."""
        self.apply(crash("e1", "c", "a"))
        self.apply(crash("e2", "b"))
        ranks = {f: self.counts.rank(f, 1.0) for f in ("a", "b", "c")}
        self.assertEqual({"c": 0, "a": 1, "b": 2}, ranks)

    def test_invalid_records_are_ignored(self):
        """Guards against an invalid record that stops all followers."""
        for value in ({}, {"kind": "crash", "uid": 1}, {"kind": "trial"}):
            self.apply(value)
        self.assertEqual([], self.counts.suspects(1.0))
