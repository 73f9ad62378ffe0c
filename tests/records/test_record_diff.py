"""Guards against missed and false differences."""

import testtools

from fireflyspur.records import record_diff
from tests.support import records


class TestDiff(testtools.TestCase):
    def diff(self, old, new):
        return [str(c) for c in record_diff.diff(old, new)]

    def test_fields(self):
        old = {**records.make("model", "m", version="1"), "uid": "a"}
        new = {**records.make("model", "m", version="2", x={"y": [1]})}
        self.assertEqual(
            ["spec.version: '1' -> '2'", "spec.x.y: (absent) -> [1]"],
            self.diff(old, new),
        )

    def test_absent_and_false_deletion_are_equal(self):
        old = records.model()
        self.assertEqual([], self.diff(old, {**old, "deleted": False}))
        self.assertEqual(
            ["deleted: (absent) -> True"],
            self.diff(old, {**old, "deleted": True}),
        )
