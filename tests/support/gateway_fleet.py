"""A node of the gateway with store and workers, in one event loop."""

import asyncio
import contextlib
import dataclasses

from fireflyspur.gateway.common import address as addresses
from fireflyspur.gateway.node import gateway
from fireflyspur.gateway.node import settings as gateway_settings
from fireflyspur.gateway.requests import retry_budget
from fireflyspur.gateway.scheduling import memory_reserver
from fireflyspur.platform import header_codec
from fireflyspur.platform import order_client
from fireflyspur.platform import store_client
from fireflyspur.platform import store_registry
from tests.support import fake_endpoint
from tests.support import loopback
from tests.support import partition
from tests.support import platform_store

KEY = "key-of-mender"
ACCOUNT = "mender"
HOST = "shop.example"
ENGINE = {
    "slots": 8,
    "kv_capacity_tokens": 450_000,
    "step_ms": 0.925,
    "per_seq_ms": 0.00966,
    "context_per_k": 0.00254,
    "read_per_s": 256_000.0,
    "pairs_per_m": 0.0917,
    "chunk": 2048,
    "stride": 46,
    "report_lag_ms": 200.0,
}


def route(name, kind, service, **changes):
    """Return a route as operators publish it."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "kind": kind,
        "timeout_ms": 2_000,
        "target_latency_ms": 300,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "public": False,
        **changes,
    }


def config(version=1, routes=None, **changes):
    """Return a configuration as operators publish it."""
    if routes is None:
        routes = [
            route("safe", "safe", "desk"),
            route("unsafe", "unsafe", "desk"),
            route(
                "chat",
                "streaming",
                "models",
                stream_resume=True,
                gap_aim_ms=200,
            ),
            route("once", "streaming", "models", gap_aim_ms=200),
            route("open", "safe", "desk", public=True),
        ]
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": "desk", "health_check": "/health"},
            {
                "name": "models",
                "health_check": "/health",
                "engine": ENGINE,
            },
        ],
        "limits": {
            "max_header_bytes": 4_096,
            "max_body_bytes": 100_000,
            "header_timeout_ms": 400,
            "idle_timeout_ms": 800,
        },
        "tenants": [{"name": ACCOUNT, "api_keys": [KEY], "priority": 1}],
        **changes,
    }


@dataclasses.dataclass(frozen=True)
class Response:
    """What a caller got.

    :param is_complete: whether the answer ended as its framing says
    """

    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool


class GatewayFleet:
    """Starts store, workers and one node."""

    def __init__(self, desks=2, engines=2):
        self.store = platform_store.PlatformStore()
        self.desks = [
            fake_endpoint.FakeEndpoint(
                f"desk-{n}", fake_endpoint.respond_plain
            )
            for n in range(desks)
        ]
        self.engines = [
            fake_endpoint.FakeEndpoint(
                f"engine-{n}", fake_endpoint.respond_events()
            )
            for n in range(engines)
        ]
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self):
        self.store.start()
        self._stack.callback(self.store.stop)
        for worker in (*self.desks, *self.engines):
            worker.start_listening()
            self._stack.callback(worker.close)
        self.register_all()
        return self

    async def __aexit__(self, *error):
        await self._stack.aclose()

    @property
    def arrivals(self):
        """What has reached any worker."""
        return [a for w in (*self.desks, *self.engines) for a in w.arrivals]

    def clear_arrivals(self):
        """Forget what has reached the workers."""
        for worker in (*self.desks, *self.engines):
            worker.arrivals.clear()

    def partition(self, kept=0):
        """Return what cuts nodes off from the endpoints.

        :param kept: number of workers of each service that it leaves alone
        """
        workers = (*self.desks[kept:], *self.engines[kept:])
        return partition.Partition([w.address for w in workers])

    def register_all(self):
        for worker in self.desks:
            self.register(worker, "desk")
        for worker in self.engines:
            self.register(worker, "models")

    def register(self, worker, service, **changes):
        self.store.put(
            "keyed.servers", worker.instance, worker.entry(service, **changes)
        )

    def settings(self, name="node-1", **changes):
        port = loopback.free_port
        local = addresses.Address
        return gateway_settings.GatewaySettings(
            **{
                "node_name": name,
                "failure_domain": "zone-a",
                "callers": local("127.0.0.1", port()),
                "health": local("127.0.0.1", port()),
                "peers": local("127.0.0.1", port()),
                "metrics": local("127.0.0.1", port()),
                "store": self.store.address,
                "grace_s": 8.0,
                "drain_s": 2.0,
                "config_apply_s": 2.0,
                "heartbeat_s": 1.2,
                "retries": retry_budget.RetryLimits(0.2, 100, 10.0),
                "memory": memory_reserver.MemoryLimits(4.0, 20.0),
                **changes,
            }
        )

    async def start_node(self, is_configured=True, **changes):
        """Start a node and wait until it is ready."""
        settings = self.settings(**changes)
        started = Node(settings)
        store = store_client.StoreClient(settings.store)
        node = gateway.Gateway(
            settings,
            store_registry.StoreRegistry(store),
            header_codec.HeaderCodec(),
            order_client.OrderClient(),
            started.load_settings,
        )
        with partition.owned_by(settings.node_name):
            task = asyncio.ensure_future(node.run())
        self._stack.push_async_callback(_end, task)
        if is_configured:
            if "config" not in self.store.partition("keyed.op").newest:
                self.publish(config())
            await wait_until(lambda: task.done() or node.is_ready)
            if task.done():
                # Shows why the node has not started.
                await task
        await asyncio.sleep(0)
        started.gateway = node
        started.task = task
        return started

    def publish(self, wanted):
        """Publish a configuration as the operators do."""
        self.store.put("keyed.op", "config", wanted)

    def evacuate(self, domain):
        """Evacuate a failure domain as the operators do."""
        self.store.put("keyed.op", f"evacuate/{domain}", {})

    def cancel_evacuation(self, domain):
        """Take the evacuation of a failure domain back."""
        self.store.put("keyed.op", f"evacuate/{domain}", b"")

    def open_store(self):
        """Return another front of the store, which fails on its own."""
        view = self.store.open_view()
        self._stack.callback(view.stop)
        return view


async def _end(task):
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


async def wait_until(condition, timeout_s=5.0):
    """Wait until a condition holds."""
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.01)


class Node:
    """A running node.

    ``load_result`` is what ``load_settings`` returns, or raises if it is an
    error.
    """

    def __init__(self, settings):
        self.settings = settings
        self.load_result = settings

    def load_settings(self):
        if isinstance(self.load_result, Exception):
            raise self.load_result
        return self.load_result

    async def connect(self, address=None):
        """Return reader and writer of a connection to the node."""
        address = address or self.settings.callers
        return await asyncio.open_connection(address.host, address.port)

    async def metrics(self):
        """Return the metrics as text."""
        reader, writer = await self.connect(self.settings.metrics)
        writer.write(b"GET /metrics HTTP/1.1\r\nHost: h\r\n\r\n")
        reply = await read_response(reader)
        writer.close()
        return reply.body.decode()

    async def health(self):
        """Return the status that the balancer gets."""
        reader, writer = await self.connect(self.settings.health)
        writer.write(b"GET /api/ready HTTP/1.1\r\nHost: h\r\n\r\n")
        reply = await read_response(reader)
        writer.close()
        return reply.status

    async def request(self, path, **options):
        """Send a request on a connection of its own."""
        reader, writer = await self.connect()
        writer.write(request_bytes(path, **options))
        try:
            return await read_response(reader)
        finally:
            writer.close()


def request_bytes(
    path,
    method="POST",
    body=b"prompt",
    attempt_id="a1",
    key=KEY,
    host=HOST,
    deadline_ms=2_000,
    extra=(),
):
    """Return a request as a caller sends it."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {host}",
        f"X-Fireflyspur-Attempt-Id: {attempt_id}",
        f"X-Fireflyspur-Deadline-Ms: {deadline_ms}",
        *extra,
    ]
    if key:
        lines.append(f"Authorization: Token {key}")
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def read_response(reader):
    """Read an answer, also one that ends early."""
    try:
        text = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return Response(0, {}, b"", False)
    first, *lines = text.decode().strip().split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    status = int(first.split()[1])
    try:
        body = await _read_body(reader, headers)
    except asyncio.IncompleteReadError as error:
        return Response(status, headers, error.partial, False)
    return Response(status, headers, body, True)


async def _read_body(reader, headers):
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    if headers.get("transfer-encoding") != "chunked":
        return await reader.read()
    body = bytearray()
    while True:
        try:
            size = int(await reader.readuntil(b"\r\n"), 16)
            data = await reader.readexactly(size + 2)
        except asyncio.IncompleteReadError as error:
            raise asyncio.IncompleteReadError(bytes(body), None) from error
        if not size:
            return bytes(body)
        body += data[:-2]
