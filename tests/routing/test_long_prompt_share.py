"""Share of the engines for long prompts."""

import testtools

from fireflyspur.routing import long_prompt_share


class TestLongPromptShare(testtools.TestCase):
    """Guards against a share that lags behind the mix or oscillates."""

    def feed(self, share, long_tokens, short_tokens, start, seconds):
        changes, previous = 0, share.share
        for i in range(seconds):
            share.observe(short_tokens, False, start + i)
            if long_tokens:
                share.observe(long_tokens, True, start + i)
            changes += share.share != previous
            previous = share.share
        return changes

    def test_follows_lasting_change_of_mix(self):
        share = long_prompt_share.LongPromptShare(0.3)
        self.feed(share, 0, 1000, 0, 120)
        self.assertEqual(0.1, share.share)
        self.feed(share, 1000, 1000, 120, 120)
        # Half of the tokens are of long prompts; hysteresis allows 0.1 less.
        self.assertGreaterEqual(share.share, 0.4)

    def test_does_not_oscillate_with_rare_long_prompts(self):
        """Guards against changes that make cached prefixes useless.

        If each long prompt changed the share, prompts would move to engines
        that do not have their prefixes.
        """
        share = long_prompt_share.LongPromptShare(0.3)
        changes = 0
        for round_number in range(60):
            start = round_number * 10
            changes += self.feed(share, 0, 20_000, start, 9)
            share.observe(100_000, True, start + 9)
        self.assertLessEqual(changes, 2)

    def test_each_kind_has_at_least_one_engine(self):
        share = long_prompt_share.LongPromptShare(0.01)
        self.assertEqual(1, share.engine_count(20))
        share = long_prompt_share.LongPromptShare(1.0)
        self.assertEqual(19, share.engine_count(20))
        self.assertEqual(1, share.engine_count(1))
