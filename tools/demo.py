"""Runs a small fleet, breaks parts of it, and reports what happened.

With ``--keep`` the fleet stays up until it is interrupted.
"""

import argparse
import asyncio
import collections
import dataclasses
import json
import random
import signal
import sys
import time
from typing import Any
import urllib.request

import openai
import yaml

from fireflyspur.claims import idempotency_key
from fireflyspur.console import application
from tools import fleet as fleets

_KEY = "demo-key"
_FAILURE_DOMAINS = ("sapporo-a", "sapporo-b", "asahikawa")
_ENGINES = tuple(f"engine-{number}" for number in range(1, 5))
_NODES = tuple(f"node-{number}" for number in range(1, 4))
_ENGINE_OPTIONS = (
    "--prefill-tokens-per-s=20000",
    "--decode-tokens-per-s=30",
    "--time-factor=10",
)
# Started when the program has this stand-in.
_WEIGHT_STORE = "weight-store"
_SERVICE = "desk"
_WORDS_PER_PROMPT = (200, 800, 3_000, 20_000, 60_000)
_BYTES_PER_WORD = 5
_BYTES_PER_TOKEN = 4
_REQUESTS = 40
_REQUESTS_PER_S = 8.0
_MAX_TOKENS = 40
_TIMEOUT_S = 15.0
# The parts that fail, after this many requests have been sent.
_NODE_KILLED_AFTER = 12
_ENGINE_KILLED_AFTER = 24
# The engine that names a rate then, in prompts a second.
_LIMITED_ENGINE = _ENGINES[1]
_ENGINE_LIMITED_AFTER = 28
_LIMIT_PER_S = 1.0
_SETTLE_S = 30.0
_POLL_S = 0.05


@dataclasses.dataclass(frozen=True)
class Result:
    """What a caller got.

    :param tries: nodes that the caller asked
    :param first_token_s: seconds to the first token of the last try
    :param failure: code of the failure, empty for a whole answer
    """

    number: int
    prompt_tokens: int
    tries: int
    first_token_s: float
    failure: str


class Demo:
    """A fleet with its callers.

    :param fleet: starts the processes
    """

    def __init__(self, fleet: fleets.Fleet) -> None:
        self._fleet = fleet
        self._random = random.Random(1)
        self._live_nodes = list(_NODES)
        self._clients: dict[str, openai.AsyncOpenAI] = {}
        self._prompts_before_limit = 0

    def start(self) -> None:
        """Start the processes, publish the records and wait for nodes."""
        fleet = self._fleet
        fleet.start_standin("log", "log")
        fleet.start_standin("vm-list", "vm-list")
        fleet.start_standin(_WEIGHT_STORE, _WEIGHT_STORE)
        fleet.start_standin(_SERVICE, "service")
        for name in _ENGINES:
            fleet.start_standin(name, "engine", *_ENGINE_OPTIONS)
        for name, domain in zip(_NODES, _FAILURE_DOMAINS, strict=True):
            fleet.start_node(name, domain)
            fleet.list_vm(name, "node", domain)
        self._publish(self._records())
        _wait(self._is_ready, "the nodes are ready")

    async def run(self) -> list[Result]:
        """Send the prompts, with failures on the way."""
        for name in _NODES:
            self._clients[name] = openai.AsyncOpenAI(
                base_url=self._fleet.url(name, "http") + "/v1",
                api_key=_KEY,
                max_retries=0,
                default_headers={"Request-Timeout": str(_TIMEOUT_S)},
            )
        try:
            return await self._send_all()
        finally:
            for client in self._clients.values():
                await client.close()

    def order_twice(self) -> str:
        """Send one order through two nodes, as a caller that resends.

        :returns: what happened, for a person
        """
        headers = {
            "Authorization": f"Bearer {_KEY}",
            "Idempotency-Key": idempotency_key.generate(),
        }
        answers = []
        for name in self._live_nodes[:2]:
            url = self._fleet.url(name, "http") + f"/services/{_SERVICE}/"
            request = urllib.request.Request(
                url + "orders", b"{}", headers, method="POST"
            )
            with urllib.request.urlopen(request, timeout=_TIMEOUT_S) as answer:
                replayed = answer.headers.get("Idempotent-Replayed")
                kind = "first answer again" if replayed else "answer"
                answers.append(f"{name}: {answer.status}, {kind}")
        url = self._fleet.url(_SERVICE) + "/effects"
        effects = len(fleets.call(url)["effects"])
        return (
            f"one booking sent twice: {'; '.join(answers)}; the service ran"
            f" it {effects} time(s)"
        )

    def describe_limited_engine(self) -> str:
        """Return what the engine got that named a rate, for a person."""
        count = self._count_prompts(_LIMITED_ENGINE)
        return (
            f"{_LIMITED_ENGINE} got {count - self._prompts_before_limit} of"
            f" {_REQUESTS - _ENGINE_LIMITED_AFTER} prompts after it had named"
            " its rate"
        )

    def stop(self) -> dict[str, int]:
        """Stop the nodes gracefully.

        :returns: the exit codes of the nodes that were running
        """
        processes = {n: self._fleet.process(n) for n in self._live_nodes}
        for process in processes.values():
            process.terminate()
        return {name: process.wait() for name, process in processes.items()}

    def engine_streams(self) -> int:
        """Return the number of streams that the live engines hold."""
        return sum(
            len(
                fleets.call(f"{self._fleet.url(name)}/engine/v1/holdings")[
                    "holdings"
                ]
            )
            for name in _ENGINES
            if self._fleet.process(name).is_running
        )

    def describe(self) -> str:
        """Return base URLs and key for a person."""
        lines = [f"key: {_KEY}", f"log: {self._fleet.url('log')}"]
        for name in _NODES:
            lines.append(
                f"{name}: {self._fleet.url(name, 'http')}/v1"
                f"  admin {self._fleet.url(name, 'admin')}"
            )
        return "\n".join(lines)

    def _records(self) -> list[dict[str, Any]]:
        values = [
            _record("model", "quill", version="1"),
            _record(
                "account", "counter", key_sha256=[fleets.key_digest(_KEY)]
            ),
        ]
        for index, name in enumerate(_ENGINES):
            port = self._fleet.process(name).ports["port"]
            domain = _FAILURE_DOMAINS[index % len(_FAILURE_DOMAINS)]
            values.append(
                _record(
                    "engine",
                    name,
                    address="127.0.0.1",
                    port=port,
                    failure_domain=domain,
                    models=["quill"],
                    memory_tokens=1_000_000,
                )
            )
        port = self._fleet.process(_SERVICE).ports["port"]
        endpoint = {"address": "127.0.0.1", "port": port}
        values.append(_record("service", _SERVICE, endpoints=[endpoint]))
        values.append(_record("fleet", "default"))
        return values

    def _publish(self, values: list[dict[str, Any]]) -> None:
        path = self._fleet.folder / "records.yaml"
        path.write_text(yaml.safe_dump_all(values), encoding="utf-8")
        arguments = ["record", "publish", str(path)]
        code = application.main([*arguments, "--log", self._fleet.url("log")])
        if code:
            raise RuntimeError(f"publication ended with exit code {code}")

    def _is_ready(self) -> bool:
        wanted = len(self._records())
        return all(
            fleets.call(self._fleet.url(name, "admin") + "/admin/view")[
                "config_offset"
            ]
            >= wanted
            for name in _NODES
        )

    async def _send_all(self) -> list[Result]:
        tasks = []
        for number in range(_REQUESTS):
            if number == _NODE_KILLED_AFTER:
                self._kill_node(_NODES[-1])
            if number == _ENGINE_KILLED_AFTER:
                print(f"request {number}: engine {_ENGINES[0]} is killed")
                self._fleet.process(_ENGINES[0]).kill()
            if number == _ENGINE_LIMITED_AFTER:
                self._limit_engine()
            words = _WORDS_PER_PROMPT[number % len(_WORDS_PER_PROMPT)]
            tasks.append(asyncio.ensure_future(self._call(number, words)))
            await asyncio.sleep(1 / _REQUESTS_PER_S)
        return await asyncio.gather(*tasks)

    def _kill_node(self, name: str) -> None:
        print(f"request {_NODE_KILLED_AFTER}: node {name} is killed")
        self._fleet.process(name).kill()

    def _limit_engine(self) -> None:
        print(
            f"request {_ENGINE_LIMITED_AFTER}: {_LIMITED_ENGINE} names a rate"
            f" of {_LIMIT_PER_S:g} a second"
        )
        self._prompts_before_limit = self._count_prompts(_LIMITED_ENGINE)
        url = f"{self._fleet.url(_LIMITED_ENGINE)}/faults"
        fleets.call(url, "POST", {"max_requests_per_s": _LIMIT_PER_S})

    def _count_prompts(self, engine: str) -> int:
        stats = fleets.call(f"{self._fleet.url(engine)}/stats")
        return len(stats["streams"])

    async def _call(self, number: int, words: int) -> Result:
        """Send a prompt, again through another node when one is gone."""
        prompt = f"{number} " + "word " * words
        tokens = words * _BYTES_PER_WORD // _BYTES_PER_TOKEN
        failure = ""
        for tries in range(1, len(_NODES) + 1):
            node = self._random.choice(self._live_nodes)
            started = time.monotonic()
            try:
                first_token_s = await self._stream(node, prompt)
                return Result(number, tokens, tries, first_token_s, "")
            except openai.APIStatusError as error:
                failure = str(error.code)
            except (openai.APIError, ConnectionError) as error:
                failure = type(error).__name__
                # A balancer stops sending to a node that is gone.
                if not self._fleet.process(node).is_running:
                    self._forget(node)
        waited_s = time.monotonic() - started
        return Result(number, tokens, tries, waited_s, failure)

    async def _stream(self, node: str, prompt: str) -> float:
        started, first_token_s, count = time.monotonic(), 0.0, 0
        events = await self._clients[node].completions.create(
            model="quill", prompt=prompt, max_tokens=_MAX_TOKENS, stream=True
        )
        async for event in events:
            if event.choices and event.choices[0].text:
                first_token_s = first_token_s or time.monotonic() - started
                count += 1
        if count != _MAX_TOKENS:
            raise ConnectionError(f"the stream ended after {count} tokens")
        return first_token_s

    def _forget(self, node: str) -> None:
        if node in self._live_nodes:
            self._live_nodes.remove(node)


def report(results: list[Result], streams: int) -> str:
    """Return a short report for a person."""
    whole = [r for r in results if not r.failure]
    again = sum(r.tries > 1 for r in results)
    lines = [
        "",
        f"{len(results)} prompts, {len(whole)} whole answers,"
        f" {again} sent again through another node",
        f"streams left on the engines: {streams}",
        "",
        "prompt tokens  answers  median first token",
    ]
    by_length = collections.defaultdict(list)
    for result in whole:
        by_length[result.prompt_tokens].append(result.first_token_s)
    for tokens, times in sorted(by_length.items()):
        median_s = sorted(times)[len(times) // 2]
        lines.append(f"{tokens:13,}  {len(times):7}  {median_s:.2f} s")
    for result in results:
        if result.failure:
            lines.append(f"request {result.number} failed: {result.failure}")
    return "\n".join(lines)


def main() -> int:
    """Run the demo.

    :returns: the exit code
    """
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--keep", action="store_true")
    arguments = parser.parse_args()
    with fleets.Fleet() as fleet:
        demo = Demo(fleet)
        demo.start()
        print(demo.describe(), flush=True)
        if arguments.keep:
            print("the fleet runs until it is interrupted", flush=True)
            # The processes have been started and do not inherit the mask.
            signals = {signal.SIGINT, signal.SIGTERM}
            signal.pthread_sigmask(signal.SIG_BLOCK, signals)
            signal.sigwait(signals)
            return 0
        results = asyncio.run(demo.run())
        _wait(lambda: demo.engine_streams() == 0, "the engines hold nothing")
        print(report(results, demo.engine_streams()))
        print(demo.describe_limited_engine())
        print(demo.order_twice())
        codes = demo.stop()
        print(f"exit codes of the nodes: {json.dumps(codes)}")
        failed = any(r.failure for r in results) or any(codes.values())
        return 1 if failed else 0


def _record(kind: str, name: str, **spec: Any) -> dict[str, Any]:
    return {"schema_version": 1, "kind": kind, "name": name, "spec": spec}


def _wait(condition: Any, what: str) -> None:
    deadline = time.monotonic() + _SETTLE_S
    while not condition():
        if time.monotonic() > deadline:
            raise RuntimeError(f"gave up waiting until {what}")
        time.sleep(_POLL_S)


if __name__ == "__main__":
    sys.exit(main())
