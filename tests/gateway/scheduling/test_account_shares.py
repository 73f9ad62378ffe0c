"""Tests of the shares of client accounts."""

from fireflyspur.gateway.scheduling import account_shares
from tests.support import fake_clock


class AccountSharesTest(fake_clock.FakeClockTest):
    """Guards against an account whose flood takes the slots of all others."""

    def setUp(self):
        super().setUp()
        self.shares = account_shares.AccountShares()

    def send(self, seconds, **per_s):
        """Send requests of accounts at their rates."""
        for _ in range(seconds):
            self.now += 1
            for account, rate in per_s.items():
                for _ in range(rate):
                    self.shares.record(account, 0.1)

    def must_wait(self, account, free_share=0.05):
        return self.shares.must_wait(account, free_share)

    def test_flooding_account_waits_while_engines_are_nearly_full(self):
        self.send(10, flood=20, clinic=1, school=1)
        self.assertTrue(self.must_wait("flood"))
        self.assertFalse(self.must_wait("clinic"))
        self.assertFalse(self.must_wait("school"))
        self.assertFalse(self.must_wait("new"))

    def test_flood_uses_what_is_free(self):
        self.send(10, flood=20, clinic=1)
        self.assertFalse(self.must_wait("flood", free_share=0.5))

    def test_no_more_is_kept_than_others_use(self):
        # One request among hundreds must not leave an eighth of all idle.
        self.send(10, flood=50)
        self.shares.record("clinic", 0.1)
        self.assertFalse(self.must_wait("flood", free_share=0.05))

    def test_only_account_never_waits(self):
        self.send(10, flood=50)
        self.assertFalse(self.must_wait("flood", free_share=0.0))

    def test_accounts_of_different_size_do_not_wait(self):
        self.send(10, large=3, small=1)
        self.assertFalse(self.must_wait("large", free_share=0.0))

    def test_few_requests_show_nothing(self):
        self.send(1, clinic=1, school=6)
        self.assertFalse(self.must_wait("school", free_share=0.0))

    def test_account_is_free_again_after_its_flood(self):
        self.send(10, flood=20, clinic=1)
        self.send(60, flood=1, clinic=1)
        self.assertFalse(self.must_wait("flood", free_share=0.0))

    def test_use_is_engine_time_and_not_requests(self):
        # Ten short prompts take less of an engine than one long prompt.
        for _ in range(10):
            self.shares.record("short", 0.13)
            self.shares.record("long", 2.6)
        self.assertTrue(self.must_wait("long"))
        self.assertFalse(self.must_wait("short"))
