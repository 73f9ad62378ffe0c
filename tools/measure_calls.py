"""Measures processor time and bytes of a node's control calls over HTTP.

For each call it prints the cost at three sizes of what is asked for. Bytes are
counted by a relay in both directions, without TCP and IP headers; processor
time is this process's, without the relay.
"""

import argparse
import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import dataclasses
import json
import time
from typing import Any

from tornado import httpclient

from fireflyspur.clients import engine_client
from fireflyspur.clients import http_client
from fireflyspur.clients import log_client
from fireflyspur.clients import vm_list_client
from tools import byte_relay
from tools import fleet as fleets

_CALLS = 200
_MICRO = 1e6
_STREAM_S = 600.0


@dataclasses.dataclass(frozen=True)
class Cost:
    """Cost of one call.

    :param call: what is called
    :param size: how much it asks for
    :param cpu_us: processor time in microseconds
    :param bytes: bytes in both directions
    """

    call: str
    size: int
    cpu_us: float
    bytes: float


Call = Callable[[httpclient.AsyncHTTPClient, int], Awaitable[Any]]


async def _measure(name: str, size: int, port: int, call: Call) -> Cost:
    """Measure a call.

    :param port: port of the stand-in
    :param call: makes the call with a client to a port
    """
    http = http_client.create()
    relay = byte_relay.ByteRelay(port)
    relay_port = await relay.start()
    try:
        await call(http, relay_port)
        passed = relay.count
        start = time.process_time()
        for _ in range(_CALLS):
            await call(http, port)
        cpu_us = (time.process_time() - start) / _CALLS * _MICRO
    finally:
        http.close()
        await relay.close()
    return Cost(name, size, cpu_us, passed)


async def _read_log(http: httpclient.AsyncHTTPClient, port: int) -> None:
    log = log_client.LogClient(http, f"http://127.0.0.1:{port}", "node-1")
    await log.read("config", 10**6)


async def _read_vm_list(http: httpclient.AsyncHTTPClient, port: int) -> None:
    client = vm_list_client.VmListClient(http, f"http://127.0.0.1:{port}")
    await client.read()


def _get(path: str) -> Call:
    async def call(http: httpclient.AsyncHTTPClient, port: int) -> None:
        engine = engine_client.EngineAddress("engine-1", "127.0.0.1", port)
        await engine_client.EngineClient(http, "node-1").fetch(engine, path)

    return call


async def _open_streams(
    port: int, first: int, count: int
) -> list[asyncio.Task[None]]:
    """Start streams on the engine that stay open."""
    http = http_client.create()
    client = engine_client.EngineClient(http, "node-1")
    engine = engine_client.EngineAddress("engine-1", "127.0.0.1", port)

    async def run(number: int) -> None:
        start = engine_client.StreamRequest(
            request_id=f"req-00000000-0000-0000-0000-{number:012}",
            attempt=1,
            owner="node-1:1700000000000",
            deadline=time.time() + _STREAM_S,
            model="quill",
            adapter="",
            prompt=f"{number} " * 200,
            max_tokens=2000,
            priority=5,
        )
        async for _ in client.start_stream(engine, start, _STREAM_S):
            pass

    tasks = [
        asyncio.ensure_future(run(number))
        for number in range(first, first + count)
    ]
    await asyncio.sleep(2.0)
    return tasks


async def measure(fleet: fleets.Fleet) -> list[Cost]:
    """Return the cost of all calls."""
    log = fleet.process("log").ports["port"]
    vms = fleet.process("vm-list").ports["port"]
    engine = fleet.process("engine-1").ports["port"]
    costs = [await _measure("idle read of the log", 0, log, _read_log)]
    listed = 0
    for size in (31, 350, 1150):
        for number in range(listed, size):
            vm = {
                "role": "engine",
                "address": "10.0.0.1",
                "port": 9000,
                "failure_domain": "domain-1",
                "state": "live",
            }
            url = f"{fleet.url('vm-list')}/vms/engine-{number:04}"
            fleets.call(url, "PUT", vm)
        listed = size
        costs.append(await _measure("VM list", size, vms, _read_vm_list))
    costs.append(await _measure("GET /load", 0, engine, _get("/load")))
    costs.append(await _measure("GET /state", 0, engine, _get("/state")))
    streams: list[asyncio.Task[None]] = []
    for size in (0, 20, 60):
        streams += await _open_streams(
            engine, len(streams), size - len(streams)
        )
        costs.append(
            await _measure("GET /holdings", size, engine, _get("/holdings"))
        )
    for task in streams:
        task.cancel()
    await asyncio.gather(*streams, return_exceptions=True)
    return costs


def main() -> None:
    """Measure and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--json", action="store_true")
    arguments = parser.parse_args()
    with fleets.Fleet() as fleet:
        fleet.start_standin("log", "log")
        fleet.start_standin("vm-list", "vm-list", "--lag-s", "0")
        fleet.start_standin("engine-1", "engine")
        costs = asyncio.run(measure(fleet))
    for cost in costs:
        if arguments.json:
            print(json.dumps(dataclasses.asdict(cost)))
            continue
        print(
            f"{cost.call:22} {cost.size:>5} {cost.cpu_us:>8.0f} us"
            f" {cost.bytes:>8.0f} bytes"
        )


if __name__ == "__main__":
    main()
