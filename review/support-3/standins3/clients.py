"""Clients, and the balancer that spreads their connections."""

import asyncio
import dataclasses
import random
import time
import uuid

from standins3 import http1
from standins3 import nodes as node_processes

# Answers of 2xx need the seal of a worker.
SEAL = "x-fireflyspur-response-seal"


@dataclasses.dataclass
class Sent:
    """An attempt of a client.

    :param sent_at_s: steady clock
    :param status: of the answer, or None if the connection ended before
    :param is_whole: whether the whole answer came
    """

    sent_at_s: float
    node: str
    attempt_id: str
    kind: str
    target: str
    status: int | None = None
    ended_at_s: float | None = None
    is_whole: bool = False
    note: str = ""


class Balancer:
    """Asks each node for its readiness each second, as the pages say."""

    def __init__(self, nodes: list[node_processes.Node]) -> None:
        self._nodes = nodes
        self._misses = {node.name: 2 for node in nodes}

    async def run(self) -> None:
        """Ask the nodes until cancelled."""
        while True:
            await asyncio.gather(*(self._ask(n) for n in self._nodes))
            await asyncio.sleep(1.0)

    async def _ask(self, node: node_processes.Node) -> None:
        if await node.is_ready():
            self._misses[node.name] = 0
        else:
            self._misses[node.name] += 1

    def choose(self) -> node_processes.Node:
        """Return the node for a new connection."""
        ready = [n for n in self._nodes if self._misses[n.name] < 2]
        if 2 * len(ready) < len(self._nodes):
            ready = self._nodes
        return random.choice(ready)


async def send(
    node: node_processes.Node,
    kind: str,
    method: str,
    host: str,
    target: str,
    deadline_s: float,
    record: list[Sent],
    *,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
) -> Sent:
    """Send one attempt on a new connection and read the answer."""
    sent = Sent(
        time.monotonic(), node.name, uuid.uuid4().hex[:16], kind, target
    )
    record.append(sent)
    lines = [
        f"{method} {target} HTTP/1.1",
        f"Host: {host}",
        f"X-Fireflyspur-Attempt-Id: {sent.attempt_id}",
        f"X-Fireflyspur-Deadline-Ms: {round(deadline_s * 1000)}",
    ]
    lines += [f"{k}: {v}" for k, v in (headers or {}).items()]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    head = ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")
    writer = None
    try:
        async with asyncio.timeout(deadline_s):
            reader, writer = await asyncio.open_connection(node.host, 8227)
            writer.write(head + body)
            response = await http1.read_response(reader)
            sent.status = response.status
            sent.is_whole = response.is_complete
            if response.status == 200 and SEAL not in response.headers:
                sent.note = "no seal"
    except TimeoutError:
        sent.note = "deadline"
    except (OSError, EOFError) as error:
        sent.note = f"closed: {type(error).__name__}"
    finally:
        if writer is not None:
            writer.close()
    sent.ended_at_s = time.monotonic()
    return sent
