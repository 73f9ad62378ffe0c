"""Claims are decided by offset, and all readers decide alike."""

import hypothesis
from hypothesis import strategies
import testtools

from fireflyspur.claims import claim_partition

IDENTITY = ("counter", "till", "key")
RETENTION_S = 10_000.0


def claim(uid, **values):
    return {
        "type": "claim",
        "uid": uid,
        "account": "counter",
        "service": "till",
        "key": "key",
        "body_hash": "h",
        "deadline": 50.0,
        "valid_until": 3600.0,
        "takeover_allowed": False,
        **values,
    }


def release(uid):
    return {"type": "release", "uid": uid}


def outcome(uid, status=200):
    return {
        "type": "outcome",
        "uid": uid,
        "status": status,
        "headers": [],
        "body": "",
    }


def partition(*values, time=1.0):
    state = claim_partition.ClaimPartition(RETENTION_S)
    for offset, value in enumerate(values, 1):
        state.apply(offset, value.pop("at", time), value)
    return state


class TestClaimPartition(testtools.TestCase):
    def test_lower_offset_wins_and_the_other_claim_stays_void(self):
        # Guards against a void claim that becomes live after a release.
        state = partition(claim("a"), claim("b"), release("a"))
        self.assertIsNone(state.accepted_claim("b"))
        self.assertIsNone(state.live_claim(IDENTITY))

    def test_a_release_that_arrives_first_voids_the_claim(self):
        # Guards against a delayed append that claims a key permanently.
        state = partition(release("a"), claim("a"))
        self.assertTrue(state.is_decided("a"))
        self.assertIsNone(state.live_claim(IDENTITY))

    def test_claim_appended_twice_is_applied_once(self):
        # Guards against a retried append that reopens a released claim.
        state = partition(claim("a"), release("a"), claim("a"))
        self.assertIsNone(state.live_claim(IDENTITY))

    def test_a_release_does_not_undo_an_outcome(self):
        state = partition(claim("a"), outcome("a"), release("a"), claim("b"))
        self.assertEqual(200, state.live_claim(IDENTITY).outcome.status)

    def test_the_outcome_of_a_void_claim_is_ignored(self):
        state = partition(claim("a"), claim("b"), outcome("b"))
        self.assertIsNone(state.live_claim(IDENTITY).outcome)

    def test_a_claim_past_the_horizon_is_void(self):
        # Guards against a second run when a paused node's claim arrives after
        # the first claim on the key was deleted from the log.
        state = partition(claim("a", at=3601.0))
        self.assertIsNone(state.accepted_claim("a"))

    def test_takeover_requires_both_claims_to_allow_it_and_the_deadline(self):
        for first, second, at, taken in (
            (True, True, 51.0, True),
            (True, True, 49.0, False),
            (False, True, 51.0, False),
            (True, False, 51.0, False),
        ):
            state = partition(
                claim("a", takeover_allowed=first),
                claim("b", takeover_allowed=second, takes_over="a", at=at),
            )
            self.assertEqual(
                "b" if taken else "a", state.live_claim(IDENTITY).uid
            )

    def test_only_one_of_two_takeovers_wins(self):
        later = {"takeover_allowed": True, "takes_over": "a", "at": 51.0}
        state = partition(
            claim("a", takeover_allowed=True),
            claim("b", **later),
            claim("c", **later),
        )
        self.assertEqual("b", state.live_claim(IDENTITY).uid)

    def test_a_known_outcome_is_not_taken_over(self):
        later = {"takeover_allowed": True, "takes_over": "a", "at": 51.0}
        first = claim("a", takeover_allowed=True)
        for status, uid in ((200, "a"), (0, "b")):
            state = partition(
                dict(first), outcome("a", status), claim("b", **later)
            )
            self.assertEqual(uid, state.live_claim(IDENTITY).uid)


uids = strategies.sampled_from("abcd")
keys = strategies.sampled_from(["k1", "k2"])
histories = strategies.lists(
    strategies.one_of(
        strategies.builds(
            claim, uids, key=keys, takeover_allowed=strategies.booleans()
        ),
        strategies.builds(
            claim,
            uids,
            key=keys,
            takeover_allowed=strategies.just(True),
            takes_over=uids,
        ),
        strategies.builds(release, uids),
        strategies.builds(outcome, uids, strategies.sampled_from([0, 200])),
    ),
    max_size=24,
)


class TestHistories(testtools.TestCase):
    @hypothesis.settings(derandomize=True, deadline=None, max_examples=400)
    @hypothesis.given(histories, strategies.integers(1, 12))
    def test_every_reader_of_a_prefix_agrees(self, history, step):
        """At most one claim on a key is live, and void claims stay void."""
        reader = claim_partition.ClaimPartition(RETENTION_S)
        void, finished = set(), {}
        for count, value in enumerate(history, 1):
            reader.apply(count, float(count * step), value)
            second_reader = claim_partition.ClaimPartition(RETENTION_S)
            for offset, earlier in enumerate(history[:count], 1):
                second_reader.apply(offset, float(offset * step), earlier)
            live = {}
            for uid in "abcd":
                found = reader.accepted_claim(uid)
                self.assertEqual(found, second_reader.accepted_claim(uid))
                if found is None and reader.is_decided(uid):
                    void.add(uid)
                if found is None:
                    continue
                self.assertNotIn(uid, void)
                self.assertNotIn(found.identity, live)
                live[found.identity] = found
                if found.outcome and found.outcome.is_known:
                    finished[found.identity] = uid
            for key in ("k1", "k2"):
                identity = ("counter", "till", key)
                self.assertEqual(
                    live.get(identity), reader.live_claim(identity)
                )
                if identity in finished:
                    # A call with a known outcome never runs again.
                    self.assertEqual(finished[identity], live[identity].uid)
