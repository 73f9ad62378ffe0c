"""Decisions of the catalog, and agreement after the prefix has expired."""

import hypothesis
from hypothesis import strategies
import testtools

from fireflyspur.records import catalog as catalogs
from fireflyspur.records import snapshot_writer
from tests.support import records


def spec(name, version, **envelope):
    return {**records.make("model", name, version=version), **envelope}


def snapshot(catalog, covers=None, round_name="r", part=0, parts=1):
    entries = [e.to_item() for e in catalog.entries]
    size = -(-len(entries) // parts)
    return {
        "kind": "snapshot",
        "round": round_name,
        "part": part,
        "parts": parts,
        "covers": catalog.offset if covers is None else covers,
        "entries": entries[part * size : (part + 1) * size],
    }


def state(catalog):
    return {e.key: (e.offset, e.value) for e in catalog.entries}


class TestRaces(testtools.TestCase):
    def test_second_record_based_on_the_same_version_loses(self):
        catalog = catalogs.Catalog()
        catalog.apply(1, 0, spec("m", "1"))
        first = catalog.apply(2, 0, spec("m", "2", based_on=1))
        second = catalog.apply(3, 0, spec("m", "3", based_on=1))
        self.assertIsInstance(first, catalogs.Accepted)
        self.assertEqual(first.entry, second.by)
        self.assertEqual("2", catalog.get("model", "m").spec.version)

    def test_record_without_a_base_replaces_any_version(self):
        catalog = catalogs.Catalog()
        catalog.apply(1, 0, spec("m", "1"))
        catalog.apply(2, 0, spec("m", "2"))
        self.assertEqual("2", catalog.get("model", "m").spec.version)

    def test_malformed_snapshot_is_refused_and_does_not_raise(self):
        catalog = catalogs.Catalog()
        for value in (
            {"kind": "snapshot"},
            {"kind": "snapshot", "covers": 9, "entries": []},
            {"kind": "snapshot", "covers": 0, "entries": [1]},
        ):
            result = catalog.apply(1, 0, value)
            self.assertIsInstance(result, catalogs.Rejected)


_CHANGES = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["a", "b", "c"]),
        strategies.one_of(strategies.none(), strategies.integers(0, 12)),
        strategies.booleans(),
    ),
    min_size=2,
    max_size=12,
)


class TestExpiredPrefix(testtools.TestCase):
    """A reader that lost the prefix must not judge records by itself."""

    def test_fresh_reader_agrees_on_a_record_that_won_after_the_base(self):
        # The record at 3 is based on 1, which has expired. A reader that
        # judges it before the snapshot refuses what others accepted.
        old, fresh = catalogs.Catalog(), catalogs.Catalog()
        log = [(1, spec("m", "1")), (2, spec("n", "1"))]
        for offset, value in log:
            old.apply(offset, 0, value)
        shot = snapshot(old)
        later = [(3, spec("m", "2", based_on=1)), (4, shot)]
        later.append((5, spec("m", "3", based_on=1)))
        for offset, value in later:
            old.apply(offset, 0, value)
        fresh.mark_gap(3)
        for offset, value in later:
            fresh.apply(offset, 0, value)
        self.assertEqual("2", old.get("model", "m").spec.version)
        self.assertEqual(state(old), state(fresh))
        self.assertEqual(old.offset, fresh.offset)

    def test_incomplete_round_restores_nothing(self):
        old, fresh = catalogs.Catalog(), catalogs.Catalog()
        for offset in (1, 2, 3):
            old.apply(offset, 0, spec(f"m{offset}", "1"))
        fresh.mark_gap(4)
        fresh.apply(4, 0, snapshot(old, part=0, parts=3))
        fresh.apply(5, 0, snapshot(old, part=1, parts=3))
        self.assertTrue(fresh.has_gap)
        fresh.apply(6, 0, snapshot(old, part=2, parts=3))
        self.assertFalse(fresh.has_gap)
        self.assertEqual(state(old), state(fresh))

    @hypothesis.seed(20260)
    @hypothesis.settings(max_examples=300, deadline=None, database=None)
    @hypothesis.given(_CHANGES, strategies.data())
    def test_any_history_is_decided_alike(self, changes, data):
        """Guards against a snapshot that turns a loser into a winner."""
        old, log = catalogs.Catalog(), []
        written_at = data.draw(strategies.integers(1, len(changes)))
        appended_at = data.draw(strategies.integers(written_at, len(changes)))
        first = data.draw(strategies.integers(1, written_at + 1))
        shot = None
        for number, (name, based_on, deleted) in enumerate(changes, 1):
            value = spec(name, str(number), deleted=deleted)
            if based_on is not None:
                value["based_on"] = based_on
            log.append(value)
            old.apply(len(log), 0, value)
            if number == written_at:
                shot = snapshot(old)
            if number == appended_at:
                log.append(shot)
                old.apply(len(log), 0, shot)
        fresh = catalogs.Catalog()
        fresh.mark_gap(first)
        for offset in range(first, len(log) + 1):
            fresh.apply(offset, 0, log[offset - 1])
        self.assertFalse(fresh.has_gap)
        self.assertEqual(state(old), state(fresh))

    def test_records_without_any_snapshot_are_judged_in_the_end(self):
        catalog = catalogs.Catalog()
        catalog.mark_gap(5)
        catalog.apply(5, 0, spec("m", "1"))
        judged = catalog.close_gap().judged
        self.assertIsInstance(judged[5], catalogs.Accepted)
        self.assertFalse(catalog.has_gap)

    def test_snapshot_of_a_partial_reader_does_not_overrule_a_whole_one(self):
        """Guards against a return to what a reader without prefix judged."""
        whole, partial = catalogs.Catalog(), catalogs.Catalog()
        whole.apply(1, 0, spec("m", "1"))
        late = spec("m", "2", based_on=0)
        whole.apply(2, 0, late)
        partial.mark_gap(2)
        partial.apply(2, 0, late)
        partial.close_gap()
        self.assertEqual("2", partial.get("model", "m").spec.version)
        whole.apply(3, 0, {**snapshot(partial), "partial": True})
        self.assertEqual("1", whole.get("model", "m").spec.version)
        partial.apply(4, 0, snapshot(whole))
        self.assertEqual(state(whole), state(partial))
        self.assertFalse(partial.is_partial)


class TestSplitEntries(testtools.TestCase):
    def test_parts_stay_within_64_kb(self):
        entries = [
            {"offset": n, "time": 0, "value": {"text": "x" * 20_000}}
            for n in range(10)
        ]
        parts = snapshot_writer.split_entries(entries)
        self.assertEqual(entries, [e for part in parts for e in part])
        self.assertEqual([3, 3, 3, 1], [len(p) for p in parts])
