"""Admission of prompts by their predicted duration and waiting time."""

import time

import testtools

from fireflyspur.admission import admission_controller
from fireflyspur.admission import exceptions
from fireflyspur.engines import prompt_request
from fireflyspur.errors import verdict
from fireflyspur.routing import engine_view
from fireflyspur.routing import load_report
from fireflyspur.routing import router
from tests.support import catalogs


def prompt(tokens=1000, timeout_s=60.0, priority=5, max_tokens=30):
    return prompt_request.PromptRequest(
        request_id="req-1",
        account="counter",
        model="quill",
        adapter="",
        prompt="x" * (4 * tokens),
        prompt_tokens=tokens,
        max_tokens=max_tokens,
        priority=priority,
        deadline=time.monotonic() + timeout_s,
    )


class TestAdmissionController(testtools.TestCase):
    def make(self, backlog_tokens=0, **policy):
        catalog = catalogs.make(
            catalogs.policy(**policy), catalogs.engine("engine-1")
        )
        view = engine_view.EngineView(catalog)
        view.update_load(
            "engine-1",
            load_report.parse({"waiting_prefill_tokens": backlog_tokens}),
        )
        return admission_controller.AdmissionController(
            catalog, router.Router(catalog, view)
        )

    def test_admits_a_prompt_that_an_idle_fleet_serves_in_time(self):
        self.assertIsNotNone(self.make().check(prompt()))

    def test_refuses_a_prompt_that_even_an_idle_engine_cannot_finish(self):
        self.assertRaises(
            exceptions.InfeasibleError,
            self.make().check,
            prompt(timeout_s=0.5),
        )

    def test_a_refusal_is_not_run_and_has_a_retry_time(self):
        error = self.assertRaises(
            exceptions.OverloadedError,
            self.make(backlog_tokens=200_000).check,
            prompt(),
        )
        self.assertEqual(verdict.Verdict.NOT_RUN, error.verdict)
        self.assertGreater(error.retry_after_s, 1.0)

    def test_the_deadline_bounds_the_wait(self):
        """Guards against admitted requests that expire on an engine."""
        controller = self.make(backlog_tokens=30_000)
        controller.check(prompt(timeout_s=60.0))
        self.assertRaises(
            exceptions.OverloadedError, controller.check, prompt(timeout_s=2.0)
        )

    def test_the_lowest_priority_is_refused_first(self):
        controller = self.make(backlog_tokens=50_000)
        controller.check(prompt(priority=0))
        self.assertRaises(
            exceptions.OverloadedError, controller.check, prompt(priority=8)
        )

    def test_admission_control_can_be_disabled(self):
        controller = self.make(backlog_tokens=10**7, admission=False)
        self.assertIsNone(controller.check(prompt()))
