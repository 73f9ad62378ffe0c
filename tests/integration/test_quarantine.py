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
            self.ask_later(f"innocent {n}", 150, f"node-{n % 2 + 1}")
            for n in range(10)
        ]
        self.wait_running(10)
        guilty = self.ask("POISON", 5)
        self.assertEqual("request_quarantined", guilty.error["code"])
        self.assertEqual("may_have_run", guilty.error["verdict"])
        again = self.ask("POISON", 5, "node-2")
        self.assertEqual(422, again.status)
        self.assertEqual("not_run", again.error["verdict"])
        for number, answer in enumerate(innocent):
            self.assert_whole(f"innocent {number}", 150, answer.result())
        self.assertEqual(2, self.dead())
        self.assertIn("quarantined", self.audit("node-2"))
        self.assert_nothing_held()

    def test_the_guilty_through_two_nodes_at_once_takes_two_engines(self):
        """Guards against a third engine when both nodes retry."""
        self.start([ENGINE] * 5, nodes=2)
        self.publish_engines(*self.engines)
        answers = [
            self.ask_later("POISON", 5, f"node-{n}") for n in (1, 2, 1, 2)
        ]
        codes = {answer.result().error["code"] for answer in answers}
        self.assertEqual({"request_quarantined"}, codes)
        self.assertEqual(2, self.dead())

    def test_the_quarantine_works_without_the_log(self):
        """Guards against crash after crash during an outage of the log."""
        self.start([ENGINE] * 4)
        self.publish_engines(*self.engines)
        self.fleet.process("log").kill()
        guilty = self.ask("POISON", 5)
        self.assertEqual("request_quarantined", guilty.error["code"])
        self.assertEqual(2, self.dead())

    def test_the_quarantine_expires(self):
        """Guards against a refusal that lasts for ever."""
        self.start([ENGINE, ENGINE, ("--time-factor", "2")], quarantine_s=6)
        self.publish_engines("engine-1", "engine-2")
        self.assertEqual(422, self.ask("POISON", 5).status)
        self.publish_engines("engine-3")
        polling.wait_until(
            lambda: "quarantine_expired" in self.audit(),
            "the quarantine expires",
        )
        self.assert_whole("POISON", 5, self.ask("POISON", 5))
        self.assertEqual(
            {}, self.view()["prompts"]["quarantine"]["quarantined"]
        )
