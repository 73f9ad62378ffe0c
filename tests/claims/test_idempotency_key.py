"""Keys that cannot be decided safely are rejected before any claim."""

import uuid

import testtools

from fireflyspur.claims import exceptions
from fireflyspur.claims import idempotency_key

NOW = 1_800_000_000.0


class TestCheck(testtools.TestCase):
    def test_key_is_accepted_within_the_age_limits(self):
        # Guards against a key whose first claim was deleted from the log,
        # so that its call could run a second time.
        for offset_s, accepted in (
            (0, True),
            (-3599, True),
            (-3600, False),
            (300, True),
            (301, False),
        ):
            key = idempotency_key.generate(NOW + offset_s)
            if accepted:
                _, until = idempotency_key.check(key.upper(), 3600.0, NOW)
                self.assertEqual(NOW + offset_s + 3600.0, until)
            else:
                self.assertRaises(
                    exceptions.KeyTimeError,
                    idempotency_key.check,
                    key,
                    3600.0,
                    NOW,
                )

    def test_key_without_a_time_of_issue_is_rejected(self):
        for key in ("", "order-7", str(uuid.uuid4())):
            self.assertRaises(
                exceptions.InvalidKeyError,
                idempotency_key.check,
                key,
                3600.0,
                NOW,
            )
