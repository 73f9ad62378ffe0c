"""Faults of a soak, in series and overlapping."""

import asyncio
import random
import signal

from tests.gateway_soak import endpoints
from tests.support import gateway_fleet

_STORE_FAULTS = ("busy", "many", "silent", "reset", "slow")
_SLOW_STORE_S = 0.3
_RATES_PER_S = (0.5, 2.0, 10.0)
# Topics that operators and endpoints write.
_OTHERS_TOPICS = ("keyed.op", "keyed.servers")


class Faults:
    """Strikes nodes, endpoints and the store until told to stop.

    Each kind of target has a series of faults of its own, so that faults of
    different targets overlap. Each fault is healed when its series ends.

    :param soak: the fleet
    :param generator: draws the faults
    """

    def __init__(self, soak, generator):
        self._soak = soak
        self._random = generator
        # The other faults of a seed stay what they were before this one came.
        self._restore_random = random.Random(f"restore-{soak.seed}")

    async def run(self, seconds):
        """Strike for some seconds, then wait until all is healed."""
        end_s = self._soak.now() + seconds
        series = (
            (self._strike_node, 0.4, 2),
            (self._strike_endpoint, 0.5, 2),
            (self._strike_store, 1.5, 1),
            (self._change_configuration, 1.0, 1),
        )
        async with asyncio.TaskGroup() as group:
            group.create_task(self._restore_stores(end_s))
            for strike, pause_s, count in series:
                for _ in range(count):
                    group.create_task(self._repeat(strike, pause_s, end_s))

    async def _repeat(self, strike, pause_s, end_s):
        await asyncio.sleep(self._random.uniform(0, 2 * pause_s))
        while self._soak.now() < end_s:
            await strike()
            await asyncio.sleep(self._random.uniform(0, 2 * pause_s))

    async def _strike_node(self):
        free = sorted(set(self._soak.nodes) - self._soak.struck)
        if not free:
            return
        name = self._random.choice(free)
        node = self._soak.nodes[name]
        self._soak.struck.add(name)
        match self._random.choice(("kill", "stop", "freeze", "reload")):
            case "kill":
                with self._soak.disruption(name, "kill"):
                    node.process.kill()
                    await node.process.wait()
                    await asyncio.sleep(self._random.uniform(0, 1.0))
                    await node.start()
                    await node.wait_until_ready()
            case "stop":
                await self._soak.restart_node(name)
            case "freeze":
                with self._soak.disruption(name, "freeze"):
                    node.send_signal(signal.SIGSTOP)
                    await asyncio.sleep(self._random.uniform(0.2, 4.0))
                    node.send_signal(signal.SIGCONT)
            case _:
                self._soak.log(f"{name}: reload")
                node.send_signal(signal.SIGHUP)
        self._soak.struck.discard(name)

    async def _strike_endpoint(self):
        soak = self._soak
        service = self._random.choice(("desk", "models"))
        endpoint = self._random.choice(soak.endpoints[service])
        if endpoint.instance in soak.struck:
            return
        soak.struck.add(endpoint.instance)
        match self._random.choice(("fault", "crash", "leave", "rate")):
            case "fault":
                kind = self._random.choice(endpoints.FAULTS)
                with self._soak.disruption(endpoint.instance, kind):
                    endpoint.fault = kind
                    await asyncio.sleep(self._random.uniform(0.5, 3.0))
                    endpoint.fault = None
            case "crash":
                with self._soak.disruption(endpoint.instance, "crash"):
                    endpoint.close()
                    await asyncio.sleep(self._random.uniform(0, 1.0))
                    soak.replace(service, endpoint)
            case "leave":
                with self._soak.disruption(endpoint.instance, "leave"):
                    soak.list_leaving(service, endpoint)
                    await asyncio.sleep(4.0)
                    soak.replace(service, endpoint)
                    endpoint.close()
            case _:
                rate = self._random.choice(_RATES_PER_S)
                with self._soak.disruption(endpoint.instance, f"rate {rate}"):
                    soak.record.limits[endpoint.instance] = rate, soak.now()
                    endpoint.rate = rate
                    await asyncio.sleep(self._random.uniform(6.0, 9.0))
                    # A replaced endpoint ends the limit, and its count.
                    soak.replace(service, endpoint)
                    endpoint.close()
        soak.struck.discard(endpoint.instance)

    async def _strike_store(self):
        store = self._soak.store
        kind = self._random.choice(_STORE_FAULTS)
        with self._soak.disruption("store", kind):
            if kind == "slow":
                store.delay_s = _SLOW_STORE_S
            else:
                store.fault = kind
            await asyncio.sleep(self._random.uniform(0.3, 3.0))
            store.fault, store.delay_s = None, 0.0

    async def _restore_stores(self, end_s):
        """Let the store come back from older copies.

        Operators write again at once, endpoints a little later. What nodes
        wrote is lost.
        """
        store = self._soak.store
        while True:
            copies = store.copy_records()
            copy_s = self._soak.now()
            await asyncio.sleep(self._restore_random.uniform(1.0, 8.0))
            if self._soak.now() >= end_s:
                return
            with self._soak.disruption("store", "restore"):
                age_s = round(self._soak.now() - copy_s, 1)
                self._soak.log(f"store: restore, copy {age_s} s old")
                written = {
                    topic: store.newest(topic) for topic in _OTHERS_TOPICS
                }
                store.restore(copies)
                for topic, values in written.items():
                    older = store.newest(topic)
                    if topic == "keyed.servers":
                        await asyncio.sleep(
                            self._restore_random.uniform(0.0, 0.5)
                        )
                    _write_again(store, topic, values, older)

    async def _change_configuration(self):
        soak = self._soak
        if self._random.random() < 0.5:
            soak.withdraw_key()
        else:
            routes = [
                gateway_fleet.route(f"extra{n}", "safe", "desk")
                for n in range(self._random.randrange(20))
            ]
            soak.publish(routes)
        await asyncio.sleep(0)


def _write_again(store, topic, written, older):
    """Write what a restore has lost, unless it was written since.

    :param older: values right after the restore
    """
    current = store.newest(topic)
    for key in written.keys() | older.keys():
        value = written.get(key, b"")
        is_lost = value != older.get(key, b"")
        if is_lost and current.get(key) == older.get(key):
            store.put(topic, key, value)
