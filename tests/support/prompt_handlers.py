"""Prompt handlers with a fake runner."""

import json
import types
from unittest import mock

from tornado import httpclient

from fireflyspur.admission import body_budget
from fireflyspur.generated import records
from fireflyspur.generated import settings
from fireflyspur.node import drain_controller
from fireflyspur.node import http_server
from fireflyspur.records import catalog as catalogs
from tests.support import prompts


def make_node(runner):
    """Return a fake node that admits every prompt and passes it to runner."""
    catalog = catalogs.Catalog()
    value = {"schema_version": 1, "kind": "model", "name": "quill"}
    catalog.apply(1, 0.0, {**value, "spec": {"version": "1"}})
    account = types.SimpleNamespace(
        name="counter", spec=records.AccountSpec(key_sha256=[])
    )
    limits = settings.LimitsSection()
    return types.SimpleNamespace(
        settings=types.SimpleNamespace(limits=limits),
        follower=types.SimpleNamespace(is_loaded=True, catalog=catalog),
        authenticator=types.SimpleNamespace(authenticate=lambda _: account),
        body_budget=body_budget.BodyBudget(1_000_000, 1_000_000),
        drain=drain_controller.DrainController(0.0),
        runner=runner,
        admission=mock.Mock(),
        limits=mock.Mock(),
        membership=mock.Mock(),
        metrics=mock.Mock(),
    )


async def fetch(runner, prompt="p"):
    """Stream one prompt and return the events of the response."""
    node = make_node(runner)
    server, port = http_server.listen(
        http_server.caller_application(node), "127.0.0.1", 0
    )
    body = {"model": "quill", "prompt": prompt, "stream": True}
    response = await httpclient.AsyncHTTPClient().fetch(
        f"http://127.0.0.1:{port}/v1/completions",
        method="POST",
        body=json.dumps(body),
    )
    server.stop()
    return prompts.read_events(response.body.decode())
