"""Prompts whose connection, engine or node fails."""

import http.client
import urllib.error

from tests.support import polling
from tests.support import prompts

FAST = ("--time-factor", "50")
# 30 tokens a second, so that a fault hits a stream in its middle.
SLOW = ("--time-factor", "1")


class TestPromptMoves(prompts.PromptTestCase):
    def test_a_cut_connection_resumes_on_the_same_engine(self):
        """Guards against repeated, missing and recomputed tokens."""
        self.start([FAST, FAST])
        self.publish_engines(*self.engines)
        for engine in self.engines:
            self.set_faults(engine, cut_after_tokens=7)
        answer = self.send_prompt("cut me", 40)
        self.assert_complete("cut me", 40, answer)
        runs = [self.stats(e)["streams"] for e in self.engines]
        self.assertEqual(1, sum(len(r) for r in runs))
        self.assert_no_holdings()

    def test_late_repeated_and_swapped_lines_fall_away(self):
        """Guards against tokens of another attempt in the answer."""
        self.start([FAST])
        self.publish_engines("engine-1")
        self.set_faults(
            "engine-1",
            late_lines=True,
            duplicate_lines=True,
            reorder_lines=True,
            cut_after_tokens=9,
        )
        answers = [self.submit_prompt(f"p {n}", 60) for n in range(4)]
        for number, answer in enumerate(answers):
            self.assert_complete(f"p {number}", 60, answer.result())
        self.assert_no_holdings()

    def test_a_killed_engine_does_not_cut_the_answer(self):
        """Guards against an answer that ends with its engine."""
        self.start([SLOW, SLOW])
        self.publish_engines(*self.engines)
        answer = self.submit_prompt("move me", 45)
        engine = self.wait_running(1)
        self.fleet.process(engine).kill()
        self.assert_complete("move me", 45, answer.result())
        self.assertIn("crash_recorded", self.audit())
        self.assert_no_holdings()

    def test_the_loss_of_several_engines_cuts_no_answer(self):
        """Guards against suspects that queue until they are given up."""
        self.start([SLOW] * 6)
        self.publish_engines(*self.engines)
        answers = [
            self.submit_prompt(f"n {n}", 150, timeout_s=120) for n in range(48)
        ]
        self.wait_running(48)
        for engine in self.engines[:3]:
            self.fleet.process(engine).kill()
        for number, answer in enumerate(answers):
            self.assert_complete(f"n {number}", 150, answer.result())
        self.assert_no_holdings()

    def test_an_error_in_a_stream_is_no_whole_answer(self):
        """Guards against a part that looks like the whole answer."""
        self.start([SLOW])
        self.publish_engines("engine-1")
        answer = self.submit_prompt("break me", 90)
        self.wait_running(1)
        self.fleet.process("engine-1").kill()
        answer = answer.result()
        self.assertFalse(answer.is_complete)
        self.assertEqual("may_have_run", answer.error["verdict"])

    def test_lost_cancel_answers_leave_nothing_held(self):
        """Guards against a cancellation that is tried only once."""
        self.start([SLOW])
        self.publish_engines("engine-1")
        self.set_faults("engine-1", lose_cancel_answers=2)
        response = self.open("leave me", 900)
        self.wait_running(1)
        response.close()
        self.assert_no_holdings()
        polling.wait_until(
            lambda: not self.view()["prompts"]["pending_releases"],
            "the engine acknowledged the cancellation",
        )

    def test_holdings_of_a_killed_node_are_freed(self):
        """Guards against memory that only its dead owner would free."""
        self.start([(*SLOW, "--keep-expired")], nodes=2)
        self.publish_engines("engine-1")
        answer = self.submit_prompt("orphan", 900, timeout_s=4)
        self.wait_running(1)
        self.fleet.process("node-1").kill()
        self.assertIsInstance(
            answer.exception(), OSError | http.client.HTTPException
        )
        self.assert_no_holdings()
        self.assertIn("holding_released", self.audit("node-2"))

    def test_a_frozen_owner_that_comes_back_gives_no_answer(self):
        """Guards against a late answer and memory held for it."""
        self.start([(*SLOW, "--keep-expired")], nodes=2)
        self.publish_engines("engine-1")
        answer = self.submit_prompt("frozen", 900, timeout_s=4)
        self.wait_running(1)
        with prompts.frozen(self.fleet.process("node-1")):
            self.assert_no_holdings()
        answer = answer.result()
        self.assertFalse(answer.is_complete)
        self.assertEqual("may_have_run", answer.error["verdict"])
        self.assert_no_holdings()

    def test_the_deadline_ends_a_stream_with_an_error(self):
        """Guards against a stream that is silent or held too long."""
        self.start([SLOW])
        self.publish_engines("engine-1")
        answer = self.send_prompt("slow", 900, timeout_s=2)
        self.assertEqual("deadline_exceeded", answer.error["code"])
        self.assertFalse(answer.is_complete)
        self.assert_no_holdings()

    def test_engines_that_refuse_leave_the_prompt_not_run(self):
        """Guards against a wrong verdict and retries without end."""
        self.start([FAST])
        self.publish_engines("engine-1")
        self.fleet.process("engine-1").kill()
        error = self.assertRaises(
            urllib.error.HTTPError, self.open, "nobody", 5
        )
        self.assertEqual(503, error.code)
        self.assertIn("Retry-After", error.headers)
        self.assertIn(b'"not_run"', error.read())


class TestGroups(prompts.PromptTestCase):
    def test_groups_from_two_nodes_all_finish(self):
        """Guards against deadlock and starvation of competing groups."""
        memory = ("--memory-tokens", "51200")
        self.start([(*FAST, *memory)] * 4, nodes=2)
        self.publish_engines(*self.engines, memory_tokens=51200)
        # More than twice the memory of one engine, so two of them do not fit.
        texts = [f"{n} " + "x" * 440_000 for n in range(6)]
        answers = [
            self.submit_prompt(text, 20, f"node-{n % 2 + 1}", timeout_s=120)
            for n, text in enumerate(texts)
        ]
        small = [self.submit_prompt(f"s{n}", 20) for n in range(8)]
        for text, answer in zip(texts, answers, strict=True):
            self.assert_complete(text, 20, answer.result())
        for number, answer in enumerate(small):
            self.assert_complete(f"s{number}", 20, answer.result())
        self.assert_no_holdings()

    def test_a_prompt_larger_than_all_engines_is_refused(self):
        """Guards against a request that waits for what cannot come."""
        self.start([FAST])
        self.publish_engines("engine-1", memory_tokens=1000)
        answer = self.send_prompt("y" * 8000, 5)
        self.assertEqual(413, answer.status)
        self.assertEqual("not_run", answer.error["verdict"])
