"""Tests of the digests that are computed once per prompt."""

import asyncio
from unittest import mock

import testtools

from fireflyspur.clients import engine_client
from fireflyspur.engines import prompt_run
from fireflyspur.engines import quarantine
from fireflyspur.routing import engine_view
from fireflyspur.routing import prefix_index
from fireflyspur.routing import router
from tests.support import fake_engines
from tests.support import prompt_handlers


class RecordingRunner:
    """Records the request that it receives."""

    async def run(self, request):
        self.request = request
        yield engine_client.StreamLine("done", "r", 1)


class TestPromptDigests(testtools.TestCase):
    def test_a_prompt_of_any_length_carries_its_digests(self):
        """Guards against other digests when a thread computes them."""
        for prompt in ("é" * 2_000, "é" * 100_000):
            runner = RecordingRunner()
            asyncio.run(prompt_handlers.fetch(runner, prompt))
            request = runner.request
            self.assertEqual(
                quarantine.fingerprint_of(request), request.fingerprint
            )
            self.assertEqual(
                prefix_index.digests("quill", "", prompt),
                request.prefix_digests,
            )

    def test_digests_are_not_computed_again(self):
        """Guards against hashing several MB on the event loop."""
        prefix_digests = prefix_index.digests("quill", "", "p" * 2_000)
        route = router.RouteRequest("quill", "", "p", 1, 1, 5, prefix_digests)
        request = mock.Mock(fingerprint="f" * 32, request_id="r", deadline=1)
        catalog = fake_engines.make_catalog(1)
        choice = router.Router(catalog, engine_view.EngineView(catalog))
        with (
            mock.patch.object(prefix_index, "digests") as digests,
            mock.patch.object(quarantine, "fingerprint_of") as fingerprint_of,
        ):
            workload = choice.workload(route)
            prompt_run.PromptRun(mock.Mock(), request)
        self.assertEqual(prefix_digests, workload.prefix_digests)
        digests.assert_not_called()
        fingerprint_of.assert_not_called()
