"""Frame of a case: starts the fleet, ends all processes, and exits."""

import asyncio
import os
import pathlib
import signal
import sys
import tempfile

import standins

ZONES = ("aqaba-a", "aqaba-b", "maan-c")
LIMIT_S = 110
_SIGNALS = (signal.SIGINT, signal.SIGTERM, signal.SIGHUP)


class Fleet:
    """Nodes and stand-ins of one run."""

    def __init__(self, folder, work):
        self.record = standins.Record(folder)
        self.work = work
        self.store = standins.Store(self.record)
        self.nodes = []
        self.workers = []

    async def start(self, nodes, workers, configuration=None):
        """Start all parts, and wait until the nodes are ready.

        :param nodes: number of nodes
        :param workers: (service, behaviour) of each worker
        """
        await self.store.start()
        await self.store.put(
            "keyed.op", "config", configuration or standins.config()
        )
        for index, (service, behave) in enumerate(workers):
            worker = standins.Worker(
                self.store, service, ZONES[index % 3], behave, self.record
            )
            await worker.start()
            self.workers.append(worker)
        await asyncio.sleep(0.2)
        ips = [standins.node_ip(number) for number in range(1, nodes + 1)]
        ports = standins.free_ports(ips, 3)
        for number, ip in enumerate(ips, 1):
            node = standins.Node(
                number,
                ip,
                ports,
                ZONES[number % 3],
                self.store,
                self.work,
                self.record,
            )
            self.nodes.append(node)
            node.start()
        for node in self.nodes:
            await node.wait_ready()

    def close(self):
        for node in self.nodes:
            node.kill()
        for worker in self.workers:
            worker.close()
        self.store.close()


def run(folder, main):
    """Run a case and exit with 1 if the rule was broken, 0 if it held.

    :param main: coroutine function of the fleet and of whether there is
        trouble; returns whether the rule was broken
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def play(work):
        fleet = Fleet(folder, work)
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        for number in _SIGNALS:
            loop.add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(LIMIT_S):
                return await main(fleet, trouble)
        finally:
            # Nothing may interrupt the end of what was started.
            for number in _SIGNALS:
                loop.remove_signal_handler(number)
                signal.signal(number, signal.SIG_IGN)
            fleet.close()
            for task in asyncio.all_tasks() - {asyncio.current_task()}:
                task.cancel()
            # Lets what the connections still do end.
            await asyncio.sleep(0.2)

    if not (standins.ROOT / "target" / "deps" / "fireflyspur").is_dir():
        print("cannot run: the build of the deploy file is missing")
        sys.exit(2)
    for number in _SIGNALS:
        signal.signal(number, lambda *_: sys.exit(2))
    keep = os.environ.get("KEEP_LOGS")
    with tempfile.TemporaryDirectory() as work:
        try:
            is_broken = asyncio.run(play(pathlib.Path(keep or work)))
        except (standins.CannotRun, TimeoutError, OSError) as error:
            print(f"cannot run: {error!r}")
            sys.exit(2)
        except asyncio.CancelledError:
            print("cannot run: interrupted")
            sys.exit(2)
    print("broken" if is_broken else "held")
    sys.exit(1 if is_broken else 0)
