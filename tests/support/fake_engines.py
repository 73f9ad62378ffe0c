"""An engine client and a log without a network."""

import asyncio
import time

from fireflyspur.audit import audit_trail
from fireflyspur.clients import engine_client
from fireflyspur.clients import exceptions
from fireflyspur.engines import engine_parts
from fireflyspur.engines import prompt_request
from fireflyspur.records import catalog as catalogs
from fireflyspur.routing import engine_view
from fireflyspur.routing import router


class DownLog:
    """A log that never answers."""

    async def append(self, stream, values):
        raise exceptions.LogUnavailableError("down")

    async def read(self, stream, start, **options):
        raise exceptions.LogUnavailableError("down")


class FakeClient:
    """Engines whose streams end as a script says.

    :param script: what each start raises; the last one goes on
    """

    def __init__(self, *script):
        self.script = list(script)
        self.starts, self.releases, self.held = [], [], {}
        self.release_failures = 0

    async def start_stream(
        self, engine, start, timeout_s, on_load=None, interrupt=None
    ):
        self.starts.append((engine.name, start))
        for step in (
            self.script.pop(0) if len(self.script) > 1 else (self.script[0])
        ):
            if isinstance(step, Exception):
                raise step
            yield engine_client.StreamLine(
                "token", start.request_id, start.attempt, step, f"t{step}"
            )
        yield engine_client.StreamLine("done", start.request_id, start.attempt)

    async def resume_stream(self, *arguments):
        raise exceptions.EngineRefusedError("unknown_stream")
        yield

    async def incarnation(self, engine):
        return "1"

    async def holdings(self, engine):
        return list(self.held.get(engine.name, ()))

    async def release(self, engine, holding):
        self.releases.append((engine.name, holding.id))
        if self.release_failures:
            self.release_failures -= 1
            raise exceptions.EngineUnavailableError("no answer")


def make_catalog(engines):
    """Return a catalog with one model on a number of engines."""
    catalog = catalogs.Catalog()
    for number in range(1, engines + 1):
        value = {
            "schema_version": 1,
            "kind": "engine",
            "name": f"e{number}",
            "spec": {
                "address": "127.0.0.1",
                "port": number,
                "failure_domain": "sapporo-a",
                "memory_tokens": 1000,
                "models": ["quill"],
            },
        }
        catalog.apply(number, 0.0, value)
    return catalog


def make_parts(client, engines, log=None):
    """Return the parts of a node over a fake client."""
    catalog = make_catalog(engines)
    return engine_parts.EngineParts(
        client=client,
        log=log or DownLog(),
        catalog=catalog,
        router=router.Router(catalog, engine_view.EngineView(catalog)),
        trail=audit_trail.AuditTrail(),
        owner="node-1:7",
        poll_wait_s=0.01,
        publish=lambda news: None,
        live_names=lambda: ["node-1", "node-2"],
        is_dead=lambda name, incarnation: (name, incarnation) == ("node-3", 5),
    )


def make_request(number=0, timeout_s=30.0, prompt="hello"):
    return prompt_request.PromptRequest(
        request_id=f"req-{number}",
        account="counter",
        model="quill",
        adapter="",
        prompt=prompt,
        prompt_tokens=10,
        max_tokens=5,
        priority=5,
        deadline=time.monotonic() + timeout_s,
    )


async def run_all(parts, requests):
    """Run prompts; return the errors, None for a whole answer."""
    follower = asyncio.create_task(parts.quarantine.run())
    errors = []
    for request in requests:
        try:
            async for _ in parts.runner.run(request):
                pass
            errors.append(None)
        except Exception as error:
            errors.append(error)
    await parts.runner.close()
    follower.cancel()
    await asyncio.gather(follower, return_exceptions=True)
    return errors
