"""Errors inside a streamed answer."""

import asyncio
import json
import types
from unittest import mock

import testtools
from tornado import httpclient

from fireflyspur.admission import body_budget
from fireflyspur.clients import engine_client
from fireflyspur.generated import records
from fireflyspur.generated import settings
from fireflyspur.node import drain_controller
from fireflyspur.node import http_server
from fireflyspur.records import catalog as catalogs
from tests.support import prompts


class Runner:
    """Yields one token and then ends as it is told.

    :param error: what is raised, or None for an end without closing line
    """

    def __init__(self, error):
        self.error = error

    async def run(self, request):
        yield engine_client.StreamLine("token", "r", 1, 0, "part ")
        if self.error:
            raise self.error


async def fetch(runner):
    catalog = catalogs.Catalog()
    value = {"schema_version": 1, "kind": "model", "name": "quill"}
    catalog.apply(1, 0.0, {**value, "spec": {"version": "1"}})
    account = types.SimpleNamespace(
        name="counter", spec=records.AccountSpec(key_sha256=[])
    )
    limits = settings.LimitsSection()
    node = types.SimpleNamespace(
        settings=types.SimpleNamespace(limits=limits),
        follower=types.SimpleNamespace(is_loaded=True, catalog=catalog),
        authenticator=types.SimpleNamespace(authenticate=lambda _: account),
        bodies=body_budget.BodyBudget(10_000, 10_000),
        drain=drain_controller.DrainController(0.0),
        runner=runner,
        admission=mock.Mock(),
        limits=mock.Mock(),
        membership=mock.Mock(),
        metrics=mock.Mock(),
    )
    server, port = http_server.listen(
        http_server.caller_application(node), "127.0.0.1", 0
    )
    body = {"model": "quill", "prompt": "p", "stream": True}
    response = await httpclient.AsyncHTTPClient().fetch(
        f"http://127.0.0.1:{port}/v1/completions",
        method="POST",
        body=json.dumps(body),
    )
    server.stop()
    return prompts.read_events(response.body.decode())


class TestStreamedErrors(testtools.TestCase):
    def test_a_stream_that_breaks_off_ends_with_an_error(self):
        """Guards against a part that a caller takes for the whole."""
        for error, code in (
            (ValueError("a fault of the node"), "internal_error"),
            (None, "attempts_exhausted"),
        ):
            answer = asyncio.run(fetch(Runner(error)))
            self.assertEqual("part ", answer.text)
            self.assertFalse(answer.is_whole)
            self.assertEqual(code, answer.error["code"])
            self.assertEqual("may_have_run", answer.error["verdict"])
