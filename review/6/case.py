"""A request that crashes its workers, and a rolling restart."""

import asyncio
import pathlib
import random
import signal
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "support-2"))

import case  # noqa: E402
import standins  # noqa: E402

POISON = b"the prompt that crashes workers"
NODES = 8
WORKERS = 12
# The worker is back after some seconds.
DOWN_S = 2.0
# The same request comes again at any machine.
COMES_AGAIN_S = 4.0
TOUCH_S = 3.0
ALLOWED = 3


class Poison:
    """What is known of the runs of the request."""

    def __init__(self, fleet):
        self.fleet = fleet
        # Node that each attempt was sent to.
        self.sent_to = {}
        # (time, whether the node was in touch, attempt of the client)
        self.arrivals = []
        self.crashes = []
        # Requests of others that the crashes cut off.
        self.cut_others = 0

    def note_arrival(self, worker, request):
        node, started_at = self.sent_to[request.attempt_id]
        at = standins.now()
        in_touch = (
            node.signalled_at is None
            and node.started_at == started_at
            and at - node.started_at > TOUCH_S
        )
        self.arrivals.append((at, in_touch, request.attempt_id))
        self.crashes.append(at)
        self.fleet.record.say(
            f"crashing request reaches {worker.instance}: arrival "
            f"{len(self.arrivals)}, from {node.name}, "
            f"{'in touch' if in_touch else 'not in touch'}"
        )

    def late_retries(self):
        """Count the client's retries that the rule counts.

        A retry that reaches two workers counts once.
        """
        if len(self.crashes) < 3:
            return 0
        third_at = self.crashes[2]
        late = {
            attempt
            for at, in_touch, attempt in self.arrivals
            if in_touch and at > third_at + TOUCH_S
        }
        return len(late)


async def main(fleet, trouble):
    poison = Poison(fleet)

    async def behave(worker, request, reader, writer):
        if request.body == POISON:
            poison.note_arrival(worker, request)
            poison.cut_others += worker.crash_and_return(DOWN_S) - 1
            return
        await standins.answer_stream(writer, worker, request, 5, 0.05)

    await fleet.start(NODES, [("models", behave)] * WORKERS)
    # Rotation of the platform: two questions a second apart without a 200
    # take a node out.
    rotation = {node: True for node in fleet.nodes}

    async def rotate(node):
        misses = 0
        while True:
            is_ready = await node.is_ready()
            misses = 0 if is_ready else misses + 1
            if is_ready:
                rotation[node] = True
            elif misses >= 2:
                rotation[node] = False
            await asyncio.sleep(1)

    def next_node():
        nodes = [n for n in fleet.nodes if rotation[n] and n.is_running]
        return random.choice(nodes) if nodes else None

    async def send_poison(node):
        attempt = standins.attempt_id()
        poison.sent_to[attempt] = (node, node.started_at)
        answer = await standins.ask(
            node, "POST", "/ask/2f", attempt, POISON, 10000, standins.PROMPT
        )
        fleet.record.say(
            f"crashing request {attempt} at {node.name}: "
            f"{answer.status or 'no answer'}"
        )

    served = lost = 0

    async def send_usual(client):
        nonlocal served, lost
        count = 0
        while True:
            node = next_node()
            count += 1
            if node is not None:
                answer = await standins.ask(
                    node,
                    "POST",
                    f"/chat/{client}{count:x}",
                    standins.attempt_id(),
                    b"usual prompt %d %d" % (client, count),
                    10000,
                    standins.PROMPT,
                )
                served += answer.status == 200
                # No answer, no whole answer, or that it may have run.
                lost += answer.status in (0, 502, 504)
            await asyncio.sleep(0.1)

    tasks = [asyncio.ensure_future(rotate(n)) for n in fleet.nodes]
    await asyncio.sleep(3)
    tasks += [asyncio.ensure_future(send_usual(n)) for n in range(6)]
    await asyncio.sleep(3)
    for node in fleet.nodes[:3]:
        await send_poison(node)
        await asyncio.sleep(COMES_AGAIN_S)
    for node in fleet.nodes:
        if trouble:
            # Machines are stopped and started in turn, one at a time.
            node.send(signal.SIGTERM)
            if not await node.wait_ended(8):
                raise standins.CannotRun(f"{node.name} did not end")
            node.start()
            await node.wait_ready()
        await asyncio.sleep(COMES_AGAIN_S)
        # The machine is in touch, and the request comes again.
        await send_poison(node)
    await asyncio.sleep(1)
    for task in tasks:
        task.cancel()
    late = poison.late_retries()
    fleet.record.say(
        f"{len(poison.arrivals)} arrivals of the crashing request; {late} "
        f"retries reached workers from machines in touch later than "
        f"{TOUCH_S:.0f} s after the third crash; {ALLOWED} are allowed; "
        f"{served} usual requests served, "
        f"{poison.cut_others} cut off by the crashes, {lost} of them lost"
    )
    print(
        f"{len(poison.arrivals)} arrivals, {late} late; served {served}, "
        f"cut off {poison.cut_others}, lost {lost}"
    )
    if not served:
        raise standins.CannotRun("no usual request was served")
    return late > ALLOWED


case.run(FOLDER, main)
