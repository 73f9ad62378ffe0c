"""Guards against catalogs that differ between nodes.

Nodes must agree on conflicting records, also after the prefix has expired.
"""

import hypothesis
from hypothesis import strategies
import testtools

from fireflyspur.records import catalog as catalogs
from fireflyspur.records import snapshot_writer
from tests.support import records


def spec(name, version, **envelope):
    return {**records.make("model", name, version=version), **envelope}


def snapshot(catalog, covers=None, round_name="r", part=0, parts=1):
    entries = [e.to_dict() for e in catalog.entries]
    size = -(-len(entries) // parts)
    return {
        "kind": "snapshot",
        "round": round_name,
        "part": part,
        "parts": parts,
        "covers": catalog.offset if covers is None else covers,
        "entries": entries[part * size : (part + 1) * size],
    }


def catalog_state(catalog):
    return {e.key: (e.offset, e.value) for e in catalog.entries}


class TestConflicts(testtools.TestCase):
    def test_second_record_based_on_one_version_is_superseded(self):
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

    def test_malformed_snapshot_is_rejected_and_does_not_raise(self):
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
    """Guards against a reader that evaluates records without the prefix."""

    def test_fresh_reader_agrees_on_a_record_whose_base_has_expired(self):
        # The record at 3 is based on 1, which has expired. A reader that
        # evaluates it before the snapshot rejects what others accepted.
        old, fresh = catalogs.Catalog(), catalogs.Catalog()
        log = [(1, spec("m", "1")), (2, spec("n", "1"))]
        for offset, value in log:
            old.apply(offset, 0, value)
        snapshot_record = snapshot(old)
        retained = [(3, spec("m", "2", based_on=1)), (4, snapshot_record)]
        retained.append((5, spec("m", "3", based_on=1)))
        for offset, value in retained:
            old.apply(offset, 0, value)
        fresh.mark_gap(3)
        for offset, value in retained:
            fresh.apply(offset, 0, value)
        self.assertEqual("2", old.get("model", "m").spec.version)
        self.assertEqual(catalog_state(old), catalog_state(fresh))
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
        self.assertEqual(catalog_state(old), catalog_state(fresh))

    @hypothesis.seed(20260)
    @hypothesis.settings(max_examples=300, deadline=None, database=None)
    @hypothesis.given(_CHANGES, strategies.data())
    def test_any_history_gives_the_same_catalog(self, changes, data):
        """Guards against a snapshot that revives a superseded record."""
        old, log = catalogs.Catalog(), []
        written_at = data.draw(strategies.integers(1, len(changes)))
        appended_at = data.draw(strategies.integers(written_at, len(changes)))
        first = data.draw(strategies.integers(1, written_at + 1))
        snapshot_record = None
        for number, (name, based_on, deleted) in enumerate(changes, 1):
            value = spec(name, str(number), deleted=deleted)
            if based_on is not None:
                value["based_on"] = based_on
            log.append(value)
            old.apply(len(log), 0, value)
            if number == written_at:
                snapshot_record = snapshot(old)
            if number == appended_at:
                log.append(snapshot_record)
                old.apply(len(log), 0, snapshot_record)
        fresh = catalogs.Catalog()
        fresh.mark_gap(first)
        for offset in range(first, len(log) + 1):
            fresh.apply(offset, 0, log[offset - 1])
        self.assertFalse(fresh.has_gap)
        self.assertEqual(catalog_state(old), catalog_state(fresh))

    def test_deferred_records_are_applied_when_no_snapshot_comes(self):
        catalog = catalogs.Catalog()
        catalog.mark_gap(5)
        catalog.apply(5, 0, spec("m", "1"))
        deferred_results = catalog.close_gap().deferred_results
        self.assertIsInstance(deferred_results[5], catalogs.Accepted)
        self.assertFalse(catalog.has_gap)

    def test_partial_snapshot_does_not_override_a_complete_catalog(self):
        """Guards against entries computed by a reader without the prefix."""
        complete, partial = catalogs.Catalog(), catalogs.Catalog()
        complete.apply(1, 0, spec("m", "1"))
        update = spec("m", "2", based_on=0)
        complete.apply(2, 0, update)
        partial.mark_gap(2)
        partial.apply(2, 0, update)
        partial.close_gap()
        self.assertEqual("2", partial.get("model", "m").spec.version)
        complete.apply(3, 0, {**snapshot(partial), "partial": True})
        self.assertEqual("1", complete.get("model", "m").spec.version)
        partial.apply(4, 0, snapshot(complete))
        self.assertEqual(catalog_state(complete), catalog_state(partial))
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
