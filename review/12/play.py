"""A heartbeat whose answer was lost is carried out after its worker drains.

Each round: for two seconds the store loses the answer of one worker's
heartbeat, which it carries out six seconds later (with TROUBLE=0, at once).
Three seconds after the end of the losses, when the store is stable again, the
worker reports that it drains, or its entry is removed. Both are acknowledged
at once. It goes on serving for some seconds.
"""

import asyncio
import random
import sys
import time

from standins3 import case as cases
from standins3 import clients
from standins3 import config
from standins3 import store as stores
from standins3 import workers

ZONES = ["sapporo-a", "sapporo-b", "asahikawa"]
SERVICE = "lehu44b"
WORKERS = 4
NODES = 4
ROUNDS = 7
REQUESTS_PER_S = 40.0
WORK_S = 0.045
DEADLINE_S = 1.5
# The disruption: answers to writes are lost for this time, and what was not
# answered is carried out this much later (the pages: 1 to 6 s).
LOSS_S = 1.3
LATE_S = 6.0
# A store without disruption for this time is stable, and the nodes in touch.
STABLE_S = 3.0
DRAIN_S = 2.0
# A worker serves for the drain time and a little longer ("at times many
# seconds"), and then exits.
SERVES_ON_S = (1.0, 4.0)
HOST = "ficu95.example"


class Rounds:
    """State of the case."""

    def __init__(self, case):
        self.case = case
        self.store = stores.Store()
        self.arrivals = []
        self.sent = []
        self.workers = []
        # Instance and clock of each acknowledged leaving.
        self.left_at_s = {}
        # Begin and end of each disruption of the store.
        self.losses = []
        self.tasks = set()

    async def add_worker(self):
        """Start a worker."""
        number = len(self.workers)
        worker = workers.Worker(
            self.store,
            SERVICE,
            self.case.host(),
            8027,
            ZONES[number % 3],
            self.arrivals,
            work_s=WORK_S,
        )
        self.workers.append(worker)
        await worker.start()
        return worker

    def spawn(self, coroutine):
        """Run a task in the background."""
        task = asyncio.ensure_future(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def send_requests(self, balancer):
        """Send unsafe and safe requests until cancelled."""
        number = 0
        while True:
            await asyncio.sleep(random.expovariate(REQUESTS_PER_S))
            number += 1
            is_unsafe = number % 3 != 0
            self.spawn(
                clients.send(
                    balancer.choose(),
                    "unsafe" if is_unsafe else "safe",
                    "POST" if is_unsafe else "GET",
                    HOST,
                    f"/puxa403/{number}"
                    if is_unsafe
                    else f"/cufi504/{number}",
                    DEADLINE_S,
                    self.sent,
                    body=b"x" * 100 if is_unsafe else b"",
                    headers={"Authorization": f"Token {config.KEY}"},
                )
            )

    async def play_round(self, number):
        """Lose the answer to a heartbeat, and let its worker leave."""
        case = self.case
        active = [w for w in self.workers if w.instance not in self.left_at_s]
        worker = active[0]
        held = []
        began_at_s = time.monotonic()

        def write_late(entry):
            held.append(entry)
            delay_s = LATE_S if case.has_trouble else 0.0
            self.spawn(self.write_after(worker, entry, delay_s))

        normal, worker.write = worker.write, write_late
        while not held:
            await asyncio.sleep(0.01)
        worker.write = normal
        await asyncio.sleep(began_at_s + LOSS_S - time.monotonic())
        ended_at_s = time.monotonic()
        if case.has_trouble:
            self.losses.append((began_at_s, ended_at_s))
            case.note(
                f"round {number}: the answer to heartbeat"
                f" {held[0]['sequence']} of {worker.instance} was lost;"
                " the losses end"
            )
        await self.add_worker()
        await asyncio.sleep(STABLE_S + 0.05)
        if number % 2:
            worker.deregister()
            how = "entry removed"
        else:
            worker.drain()
            how = f"draining, sequence {worker.sequence}"
        acked_at_s = time.monotonic()
        self.left_at_s[worker.instance] = acked_at_s
        case.note(f"round {number}: {worker.instance} {how}, acknowledged")
        serves_on_s = DRAIN_S + random.uniform(*SERVES_ON_S)
        self.spawn(self.end(worker, acked_at_s + serves_on_s))
        await asyncio.sleep(DRAIN_S + 6.0)

    async def write_after(self, worker, entry, delay_s):
        """Carry a heartbeat out that was not answered."""
        await asyncio.sleep(delay_s)
        if not delay_s and worker.instance in self.left_at_s:
            return
        self.store.write(stores.WORKERS_TOPIC, worker.instance, entry)
        if delay_s:
            self.case.note(
                f"heartbeat {entry['sequence']} of {worker.instance} is"
                f" carried out: {entry['state']}"
            )

    async def end(self, worker, at_s):
        """End a worker that has left."""
        await asyncio.sleep(at_s - time.monotonic())
        worker.exit()
        self.case.note(f"{worker.instance} exits")

    def is_stable(self, at_s):
        """Return whether the store was without disruption long enough."""
        return not any(
            begin < at_s and end > at_s - STABLE_S
            for begin, end in self.losses
        )


async def play(case):
    """Play the case; returns whether the rule was broken."""
    rounds = Rounds(case)
    host = case.host()
    await rounds.store.start(host, 8223)
    routes = [
        config.route("r-1", "/puxa403/", "unsafe", SERVICE),
        config.route("r-2", "/cufi504/", "safe", SERVICE),
    ]
    services = [config.plain_service(SERVICE)]
    rounds.store.write(
        "keyed.op", "config", config.config(1, routes, services)
    )
    for _ in range(WORKERS):
        await rounds.add_worker()
    await case.start_nodes(f"{host}:8223", NODES, ZONES)
    balancer = clients.Balancer(case.nodes)
    rounds.spawn(balancer.run())
    await asyncio.sleep(1.5)
    sending = asyncio.ensure_future(rounds.send_requests(balancer))
    await asyncio.sleep(2.0)
    for number in range(ROUNDS):
        await rounds.play_round(number)
    sending.cancel()
    await asyncio.sleep(2.0)
    return judge(case, rounds)


def judge(case, rounds):
    """Count the requests that reached a worker too late."""
    late = []
    for arrival in rounds.arrivals:
        left_at_s = rounds.left_at_s.get(arrival.instance)
        if left_at_s is None or arrival.outcome == "421":
            continue
        if not rounds.is_stable(left_at_s):
            continue
        if not rounds.is_stable(arrival.at_s):
            continue
        if arrival.at_s > left_at_s + DRAIN_S:
            late.append((arrival, arrival.at_s - left_at_s))
    by_id = {sent.attempt_id: sent for sent in rounds.sent}
    for arrival, delay_s in late:
        sent = by_id[arrival.attempt_id]
        case.note_at(
            arrival.at_s,
            f"request {arrival.attempt_id} ({sent.kind}, sent to {sent.node})"
            f" reaches {arrival.instance} {delay_s:.3f} s after its leaving"
            f" was acknowledged; outcome {arrival.outcome}",
        )
    statuses = {}
    for sent in rounds.sent:
        key = str(sent.status or sent.note)
        statuses[key] = statuses.get(key, 0) + 1
    cut = sum(1 for a in rounds.arrivals if a.outcome == "cut")
    case.note(
        f"{len(rounds.sent)} requests sent, answers {statuses},"
        f" {len(rounds.arrivals)} reached workers, {cut} cut there"
    )
    case.note(
        f"{len(late)} requests reached workers later than"
        f" {DRAIN_S} s after their leaving was acknowledged"
    )
    return bool(late)


cases.run(sys.argv[1], play, limit_s=115)
