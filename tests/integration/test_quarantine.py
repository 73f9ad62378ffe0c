"""Prompts that crash every engine that runs them."""

from tests.support import polling
from tests.support import prompts

ENGINE = ("--time-factor", "2", "--crash-on", "POISON")


class TestQuarantine(prompts.PromptTestCase):
    def dead(self):
        return len(self.engines) - len(self.running())

    def test_the_guilty_is_found_and_the_innocent_finish(self):
        """Guards against a batch that suffers for one of its requests."""
        self.start([ENGINE] * 5, nodes=2)
        self.publish_engines(*self.engines)
        innocent = [
            self.submit_prompt(f"innocent {n}", 150, f"node-{n % 2 + 1}")
            for n in range(10)
        ]
        self.wait_running(10)
        guilty = self.send_prompt("POISON", 5)
        self.assertEqual("request_quarantined", guilty.error["code"])
        self.assertEqual("may_have_run", guilty.error["verdict"])
        again = self.send_prompt("POISON", 5, "node-2")
        self.assertEqual(422, again.status)
        self.assertEqual("not_run", again.error["verdict"])
        for number, answer in enumerate(innocent):
            self.assert_complete(f"innocent {number}", 150, answer.result())
        self.assertEqual(2, self.dead())
        self.assertIn("quarantined", self.audit("node-2"))
        self.assert_no_holdings()

    def test_the_guilty_through_two_nodes_at_once_takes_two_engines(self):
        """Guards against a third engine when both nodes retry."""
        self.start([ENGINE] * 5, nodes=2)
        self.publish_engines(*self.engines)
        answers = [
            self.submit_prompt("POISON", 5, f"node-{n}") for n in (1, 2, 1, 2)
        ]
        codes = {answer.result().error["code"] for answer in answers}
        self.assertEqual({"request_quarantined"}, codes)
        self.assertEqual(2, self.dead())

    def test_the_quarantine_works_without_the_log(self):
        """Guards against crash after crash during an outage of the log."""
        self.start([ENGINE] * 4)
        self.publish_engines(*self.engines)
        self.fleet.process("log").kill()
        guilty = self.send_prompt("POISON", 5)
        self.assertEqual("request_quarantined", guilty.error["code"])
        self.assertEqual(2, self.dead())

    def test_the_quarantine_expires(self):
        """Guards against a refusal that lasts for ever."""
        self.start([ENGINE, ENGINE, ("--time-factor", "2")], quarantine_s=6)
        self.publish_engines("engine-1", "engine-2")
        self.assertEqual(422, self.send_prompt("POISON", 5).status)
        self.publish_engines("engine-3")
        polling.wait_until(
            lambda: "quarantine_expired" in self.audit(),
            "the quarantine expires",
        )
        self.assert_complete("POISON", 5, self.send_prompt("POISON", 5))
        self.assertEqual(
            {}, self.view()["prompts"]["quarantine"]["quarantined"]
        )

    def test_suspects_of_one_batch_do_not_meet_again(self):
        """Guards against innocent requests that are quarantined."""
        quick = ("--time-factor", "4")
        poisoned = (*quick, "--crash-on", "POISON")
        self.start([quick, poisoned, poisoned], nodes=2)
        self.publish_engines("engine-1")
        innocent = [
            self.submit_prompt(f"innocent {n}", 300, f"node-{n % 2 + 1}")
            for n in range(6)
        ]
        guilty = self.submit_prompt("POISON", 2000)
        self.wait_running(7)
        self.publish_engines("engine-2", "engine-3")
        self.set_faults("engine-1", crash_on="POISON")
        for number, answer in enumerate(innocent):
            self.assert_complete(f"innocent {number}", 300, answer.result())
        error = guilty.result().error
        self.assertEqual("request_quarantined", error["code"])
        self.assertEqual(2, self.dead())
        self.assert_no_holdings()

    def test_an_attempt_elsewhere_makes_no_third_crash(self):
        """Guards against a retry while another node still runs the same."""
        quick = ("--time-factor", "2")
        self.start([quick, ENGINE, ENGINE, ENGINE, quick], nodes=2)
        self.publish_engines("engine-1")
        answers = [self.submit_prompt("POISON", 2000)]
        self.wait_running(1)
        self.publish_engines("engine-1", role="standby")
        self.publish_engines("engine-5")
        answers.append(self.submit_prompt("POISON", 2000, "node-2"))
        self.wait_running(2)
        self.publish_engines("engine-2", "engine-3", "engine-4")
        self.set_faults("engine-1", crash_on="POISON")
        polling.wait_until(
            lambda: "crash_recorded" in self.audit("node-2"),
            "node-2 knows of the crash",
        )
        self.set_faults("engine-5", crash_on="POISON")
        codes = {answer.result().error["code"] for answer in answers}
        self.assertEqual({"request_quarantined"}, codes)
        self.assertEqual(2, self.dead())
        self.assert_no_holdings()
