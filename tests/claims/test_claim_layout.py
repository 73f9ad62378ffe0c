"""Changes of the number of claim partitions.

A change while keys are valid would map a key to a second partition, where the
same call could be claimed and run again.
"""

import testtools

from fireflyspur.records import catalog as catalogs
from fireflyspur.records import claim_layout
from tests.support import records


class TestFindErrors(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.catalog = catalogs.Catalog()
        self.apply(1, 0.0, records.make("fleet", "default"))

    def apply(self, offset, time, value):
        return self.catalog.apply(offset, time, value)

    def test_changing_the_number_of_partitions_is_rejected(self):
        wanted = records.make("fleet", "default", claim_partitions=16)
        result = self.apply(2, 1.0, wanted)
        self.assertIsInstance(result, catalogs.Rejected)
        self.assertEqual(8, self.catalog.fleet().claim_partitions)

    def test_other_changes_are_accepted(self):
        wanted = records.make("fleet", "default", quarantine_s=60.0)
        self.assertIsInstance(self.apply(2, 1.0, wanted), catalogs.Accepted)

    def test_change_after_a_deletion_waits_until_all_keys_expired(self):
        deletion = {**records.make("fleet", "default"), "deleted": True}
        self.apply(2, 10.0, deletion)
        wanted = records.make("fleet", "default", claim_partitions=16)
        for wait_s, result_type in (
            (claim_layout.RECREATION_DELAY_S - 1, catalogs.Rejected),
            (claim_layout.RECREATION_DELAY_S, catalogs.Accepted),
        ):
            result = self.apply(3, 10.0 + wait_s, wanted)
            self.assertIsInstance(result, result_type)
