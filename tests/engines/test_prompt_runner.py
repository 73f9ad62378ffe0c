"""Attempts, retries and verdicts of the prompt runner."""

import asyncio
import time

import testtools

from fireflyspur.clients import engine_client
from fireflyspur.clients import exceptions
from fireflyspur.engines import engine_crash
from fireflyspur.engines import quarantine
from fireflyspur.engines import releaser
from fireflyspur.engines import retry_budget
from tests.support import fake_engines

FAILED = exceptions.EngineFailedError("internal")
BUSY = exceptions.EngineRefusedError("no_memory")


def run(client, requests, engines=4):
    parts = fake_engines.make_parts(client, engines)
    return asyncio.run(fake_engines.run_all(parts, requests))


class TestPromptRunner(testtools.TestCase):
    def test_budget_limits_attempts(self):
        """Guards against retries that amplify an overload."""
        client = fake_engines.FakeClient([FAILED])
        requests = [fake_engines.make_request(n) for n in range(40)]
        errors = run(client, requests)
        self.assertEqual(
            {"attempts_exhausted"}, {error.code for error in errors}
        )
        # 40 first attempts, 5 initial retries and a retry ratio of 0.1.
        self.assertEqual(49, len(client.starts))
        self.assertIsNotNone(errors[0].retry_after_s)

    def test_refusals_are_limited_and_use_no_budget(self):
        """Guards against refusals that use up the budget for failures."""
        client = fake_engines.FakeClient([BUSY])
        requests = [fake_engines.make_request(n) for n in range(10)]
        errors = run(client, requests)
        self.assertEqual(40, len(client.starts))
        self.assertEqual(
            {("engines_busy", "not_run")},
            {(error.code, str(error.verdict)) for error in errors},
        )
        self.assertEqual([], client.releases)

    def test_next_attempt_continues_after_delivered_tokens(self):
        """Guards against a response that starts again."""
        client = fake_engines.FakeClient([0, 1, FAILED], [2, 3, 4])
        self.assertEqual([None], run(client, [fake_engines.make_request()]))
        (first, _), (second, start) = client.starts
        self.assertNotEqual(first, second)
        self.assertEqual((2, 2), (start.attempt, start.start_index))
        self.assertEqual("t0t1", start.prefix)
        self.assertEqual([(first, "req-0")], client.releases)

    def test_verdict_after_acknowledged_cancellation(self):
        """Guards against a verdict that claims too much or too little."""
        for script, verdict in (
            ([FAILED], "not_run"),
            ([0, FAILED], "may_have_run"),
        ):
            client = fake_engines.FakeClient(script)
            [error] = run(client, [fake_engines.make_request()], engines=1)
            self.assertEqual(verdict, str(error.verdict))

    def test_verdict_without_response_to_cancellation(self):
        """Guards against "not run" while the engine may still run it."""
        client = fake_engines.FakeClient([FAILED])
        client.release_failures = 10**6
        request = fake_engines.make_request(timeout_s=3.0)
        [error] = run(client, [request], engines=1)
        self.assertEqual("may_have_run", str(error.verdict))

    def test_no_attempt_starts_after_deadline(self):
        """Guards against attempts whose result nobody waits for."""
        client = fake_engines.FakeClient([0])
        request = fake_engines.make_request(timeout_s=-1.0)
        [error] = run(client, [request])
        self.assertEqual("deadline_exceeded", error.code)
        self.assertEqual("not_run", str(error.verdict))
        self.assertEqual([], client.starts)


class TestSuspects(testtools.TestCase):
    def test_trial_is_acquired_again_if_its_engine_is_lost(self):
        """Guards against a suspect that ends with an engine it never ran on.

        The engine is lost while the trial on it is recorded in the log.
        """
        lost = []

        async def append(value):
            if not lost:
                lost.append(value["engine"])
                parts.runner._parts.router.view.mark_unreachable(lost[0])
            return False

        client = fake_engines.FakeClient([0, 1, 2])
        request = fake_engines.make_request()
        parts = fake_engines.make_parts(client, 3)
        parts.quarantine.trials._stream.append = append
        fingerprint = quarantine.fingerprint_of(request)
        parts.quarantine.receive(
            engine_crash.EngineCrash("crash-1", "e9", "1", (fingerprint,))
        )
        errors = asyncio.run(fake_engines.run_all(parts, [request]))
        self.assertEqual(([None], 1), (errors, len(lost)))
        [(engine, _)] = client.starts
        self.assertNotIn(engine, lost)


class TestReleaser(testtools.TestCase):
    def release(self, failures, deadline):
        client = fake_engines.FakeClient([])
        client.release_failures = failures

        async def run():
            engine = engine_client.EngineAddress("e1", "127.0.0.1", 1)
            holding = engine_client.Holding("stream", "r", "n:1", deadline)
            return await releaser.Releaser(client).release(engine, holding)

        return asyncio.run(run()), len(client.releases)

    def test_release_is_retried_until_acknowledged(self):
        """Guards against memory that stays reserved after a lost request."""
        self.assertEqual((True, 4), self.release(3, time.time() + 600))

    def test_release_ends_at_deadline_of_holding(self):
        """Guards against tasks that retry an unreachable engine forever."""
        self.assertEqual((False, 1), self.release(10**6, time.time() - 1))


class TestRetryBudget(testtools.TestCase):
    def test_ratio_is_read_at_each_attempt(self):
        """Guards against a policy that takes effect only after a restart."""
        ratio = 0.0
        budget = retry_budget.RetryBudget(lambda: ratio, initial=0.0)
        budget.record_first_attempt()
        self.assertFalse(budget.try_spend())
        ratio = 1.0
        budget.record_first_attempt()
        self.assertTrue(budget.try_spend())
