"""Nodes as processes under faults and load, checked against promises."""

import asyncio
import collections
import contextlib
import random
import signal
import tempfile

from tests.gateway_soak import build_replacement
from tests.gateway_soak import callers
from tests.gateway_soak import checks
from tests.gateway_soak import endpoints
from tests.gateway_soak import faults
from tests.gateway_soak import record as records
from tests.support import gateway_fleet
from tests.support import platform_process

_DESKS = 3
_KEYS = 3
_CALLERS_PER_NODE = 3
# After the last fault, all must be served again.
_RECOVERY_S = 4.0
_FINAL_REQUESTS = 4
_START_BATCH = 8
# A caller that is late by more than this can't time responses.
_STALL_S = 0.1
_WATCH_S = 0.02


class GatewaySoak:
    """One run with equal faults and requests for equal seeds.

    What meets what still depends on how fast the processes run.

    :param seed: seed of all that is drawn
    :param nodes: number of nodes, each a process
    :param engines: number of engines
    :param older_source: sources of an older build from which all nodes start;
        they are replaced one by one by the current build, and back
    """

    def __init__(self, seed, nodes=4, engines=4, older_source=None):
        self.seed = seed
        self.record = records.Record()
        self.events = []
        # What each node has logged.
        self.logs = {}
        self.nodes = {}
        self.endpoints = {"desk": [], "models": []}
        self.struck = set()
        self._random = random.Random(seed)
        self._node_count = nodes
        self._engine_count = engines
        self._older_source = older_source
        self._numbers = collections.Counter()
        self._version = 0
        self._keys = [f"key-{n}" for n in range(_KEYS)]
        self._withdrawn = []
        self._extra_routes = []
        self._fleet = gateway_fleet.GatewayFleet(desks=0, engines=0)

    @property
    def store(self):
        return self._fleet.store

    def now(self):
        return asyncio.get_running_loop().time()

    def log(self, text):
        self.events.append(f"{self.now() - self._start_s:8.3f} {text}")

    async def run(self, seconds):
        """Run, and return the promises that were broken.

        :param seconds: time for which faults are started
        """
        self._start_s = self.now()
        async with contextlib.AsyncExitStack() as stack:
            await stack.enter_async_context(self._fleet)
            stack.callback(self._close_endpoints)
            self.publish([])
            for service, count in (
                ("desk", _DESKS),
                ("models", self._engine_count),
            ):
                for _ in range(count):
                    self._add_endpoint(service)
            folder = stack.enter_context(tempfile.TemporaryDirectory())
            await self._start_nodes(stack, folder)
            tasks = [
                asyncio.ensure_future(self._make_caller(number).run())
                for number in range(_CALLERS_PER_NODE * self._node_count)
            ]
            tasks.append(asyncio.ensure_future(self._watch_stalls()))
            drawn = faults.Faults(self, random.Random(self._random.random()))
            try:
                async with asyncio.TaskGroup() as group:
                    group.create_task(drawn.run(seconds))
                    if self._older_source is not None:
                        group.create_task(self._replace_builds())
                await asyncio.sleep(_RECOVERY_S)
                unserved = await self._find_unserved()
            finally:
                for task in tasks:
                    task.cancel()
                ended = await asyncio.gather(*tasks, return_exceptions=True)
            failures = [
                f"caller ended: {error!r}"
                for error in ended
                if not isinstance(error, asyncio.CancelledError)
            ]
            self.logs = {name: node.log() for name, node in self.nodes.items()}
            crashes = [
                f"{name}: {line[:500]}"
                for name, text in self.logs.items()
                for line in text.splitlines()
                if "Traceback" in line or '"level": "ERROR"' in line
            ]
        return [
            *failures,
            *crashes,
            *unserved,
            *checks.find_violations(self.record),
        ]

    def publish(self, extra_routes):
        """Publish a new version of the configuration."""
        self._version += 1 + self._random.randrange(3)
        self._extra_routes = extra_routes
        account = {"name": gateway_fleet.ACCOUNT, "api_keys": self._keys}
        config = gateway_fleet.config(version=self._version)
        config["routes"] = [*config["routes"], *extra_routes]
        config["tenants"] = [account]
        self._fleet.publish(config)
        self.log(f"configuration {self._version}")

    def withdraw_key(self):
        """Withdraw a key that callers go on using, and add another."""
        withdrawn = self._keys.pop(0)
        number = _KEYS + len(self.record.withdrawn)
        self._keys.append(f"key-{number}")
        self._withdrawn = [withdrawn]
        self.publish(self._extra_routes)
        self.record.withdrawn[withdrawn] = self.now()

    def list_leaving(self, service, endpoint):
        """List an endpoint as leaving."""
        self._fleet.register(endpoint, service, state="draining")
        self.record.drained[endpoint.instance] = self.now()

    def replace(self, service, endpoint):
        """Start another endpoint in the place of one."""
        self.store.put("keyed.servers", endpoint.instance, b"")
        self.endpoints[service].remove(endpoint)
        self.record.drained.setdefault(endpoint.instance, self.now())
        self._add_endpoint(service)

    @contextlib.contextmanager
    def disruption(self, target, kind):
        """Record a fault, which excuses what it strikes while it lasts."""
        begin_s = self.now()
        self.log(f"{target}: {kind}")
        try:
            yield
        finally:
            self.record.disruptions.append(
                records.Disruption(target, kind, begin_s, self.now())
            )

    async def restart_node(self, name):
        """Stop a node as planned, and start it again."""
        node = self.nodes[name]
        with self.disruption(name, "stop"):
            node.send_signal(signal.SIGTERM)
            code = await node.wait_until_ended()
            self.record.exits.append((name, code))
            await node.start()
            await node.wait_until_ready()

    def _add_endpoint(self, service):
        self._numbers[service] += 1
        endpoint = endpoints.SoakEndpoint(
            f"{service}-{self._numbers[service]}",
            service == "models",
            self.record,
            self.now,
        )
        endpoint.start_listening()
        self.endpoints[service].append(endpoint)
        self._fleet.register(endpoint, service)

    async def _start_nodes(self, stack, folder):
        waiting = []
        for number in range(self._node_count):
            name = f"node-{number}"
            node = platform_process.PlatformProcess(
                self._fleet, folder, name, source=self._older_source
            )
            self.nodes[name] = await stack.enter_async_context(node)
            waiting.append(node)
            if len(waiting) == _START_BATCH:
                await self._wait_until_ready(waiting)
        await self._wait_until_ready(waiting)

    async def _wait_until_ready(self, waiting):
        while waiting:
            await waiting.pop().wait_until_ready()

    async def _replace_builds(self):
        replacement = build_replacement.BuildReplacement(
            self, random.Random(f"builds-{self.seed}")
        )
        await replacement.run([None, self._older_source])

    async def _watch_stalls(self):
        """Record when this process was held up, until cancelled."""
        while True:
            begin_s = self.now()
            await asyncio.sleep(_WATCH_S)
            end_s = self.now()
            if end_s - begin_s > _STALL_S:
                self.record.stalls.append((begin_s, end_s))
                self.log(f"soak: held up for {end_s - begin_s:.2f} s")

    def _make_caller(self, number):
        generator = random.Random(self._random.random())
        return callers.Caller(
            number,
            self.nodes,
            lambda: (self._keys, self._withdrawn),
            self.record,
            generator,
            self.now,
        )

    async def _find_unserved(self):
        """Return the nodes that do not serve after the last fault."""
        found = []
        for name, node in self.nodes.items():
            served = 0
            for number in range(_FINAL_REQUESTS):
                response = await node.request(
                    "/safe/",
                    attempt_id=f"safe-final-{name}-{number}",
                    key=self._keys[-1],
                )
                served += response.status == 200
            # The users' bound: a quarter.
            if served < _FINAL_REQUESTS / 4:
                found.append(f"{name} serves {served} after the last fault")
        return found

    def _close_endpoints(self):
        for listed in self.endpoints.values():
            for endpoint in listed:
                endpoint.close()
