"""The checker finds each broken promise from a single event."""

import testtools

from tests.support import history as histories
from tests.support import history_checker

GOOD = (
    histories.ConfigAccepted(0.0, 1),
    histories.ConfigApplied(1.0, "node-1", 1),
    histories.RequestSent(
        1.0, "p1", "prompt", "node-1", expected="a b c", timeout_s=10
    ),
    histories.RequestSent(1.0, "b1", "call", "node-1", key="k1", timeout_s=10),
    histories.RequestSent(1.0, "b2", "call", "node-2", key="k2", timeout_s=10),
    histories.Effect(1.5, "desk", "k1", "b1"),
    histories.ResponseReceived(2.0, "p1", 200, text="a b c", complete=True),
    histories.ResponseReceived(2.0, "b1", 200, complete=True),
    histories.ResponseReceived(2.0, "b2", 503, "not_run", retry_after="1"),
    histories.LeavingSeen(3.0, "engine-1"),
    histories.WorkStarted(4.0, "engine-1"),
    histories.GracefulStop(5.0, "node-1"),
    histories.ConfigAccepted(6.0, 2),
    histories.ConfigApplied(7.0, "node-1", 2),
)

# Each event breaks the rule alone when it is added to the good history.
BREAKING = {
    "ends_in_time": histories.RequestSent(1.0, "p2", "prompt", timeout_s=1),
    "refuses_at_once": histories.ResponseReceived(2.0, "b1", 503, "not_run"),
    "frees_memory": histories.HoldingLeft("engine-1", "stream p1"),
    "answers_are_true": histories.ResponseReceived(
        2.0, "p1", 200, text="a b x", complete=True
    ),
    "not_run_is_true": histories.Effect(1.5, "desk", "k2", "b2"),
    "runs_at_most_once": histories.Effect(2.5, "desk", "k1"),
    "success_means_effect": histories.ResponseReceived(2.5, "b2", 201),
    "leaving_gets_no_work": histories.WorkStarted(6.5, "engine-1"),
    "stops_cut_nothing": histories.ResponseReceived(2.5, "p1", 0, text="a "),
    "config_never_reverts": histories.ConfigApplied(8.0, "node-1", 1),
    "config_arrives_in_time": histories.ConfigApplied(12.0, "node-2", 1),
}


class TestHistoryChecker(testtools.TestCase):
    def test_a_run_that_kept_all_promises_has_no_violation(self):
        self.assertEqual([], history_checker.check(histories.History(GOOD)))

    def test_one_event_is_enough_to_break_each_rule(self):
        for rule in history_checker.RULES:
            name = rule.__name__
            broken = histories.History((*GOOD, BREAKING[name]))
            found = history_checker.check(broken)
            self.assertTrue(any(line.startswith(name) for line in found), name)

    def test_an_answer_that_is_late_breaks_its_time_limit(self):
        late = histories.ResponseReceived(30.0, "b1", 200)
        found = history_checker.check(histories.History((*GOOD, late)))
        self.assertEqual(["ends_in_time: b1 was 19.0 s late"], found)

    def test_a_whole_answer_that_misses_its_end_is_not_true(self):
        cut = histories.ResponseReceived(
            2.0, "p1", 200, text="a b", complete=True
        )
        found = history_checker.check(histories.History((*GOOD, cut)))
        self.assertEqual(["answers_are_true: p1 got another answer"], found)

    def test_a_refusal_shortly_before_the_time_limit_is_found(self):
        # Guards against a node that holds what it has given up on.
        held = (
            histories.RequestSent(1.0, "p3", "prompt", timeout_s=60),
            histories.ResponseReceived(
                55.0, "p3", 503, "not_run", retry_after="1"
            ),
        )
        found = history_checker.check(histories.History((*GOOD, *held)))
        self.assertEqual(
            ["refuses_at_once: p3 was refused after 54 of 60 s"], found
        )

    def test_a_caller_that_hung_up_was_not_cut_by_a_stop(self):
        # Guards against a schedule that is reported for its caller's doing.
        cut = histories.ResponseReceived(2.5, "p1", 0, text="a ")
        gone = histories.CallerDisconnected(2.4, "p1")
        found = history_checker.check(histories.History((*GOOD, gone, cut)))
        self.assertEqual([], found)

    def test_only_a_kill_during_the_request_explains_a_cut(self):
        # Guards against a kill that hides a cut of a later or earlier request.
        cut = histories.ResponseReceived(2.5, "p1", 0, text="a ")
        for down, up, count in (
            (0.1, 0.5, 1),
            (0.5, 1.5, 0),
            (2.0, 2.2, 0),
            (3.0, 4.0, 1),
        ):
            kill = histories.Killed(down, "node-1")
            start = histories.Started(up, "node-1")
            history = histories.History((*GOOD, kill, start, cut))
            found = history_checker.check(history)
            self.assertEqual(count, len(found), (down, up))
