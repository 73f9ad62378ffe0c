"""Fleets whose nodes can be cut off from the endpoints."""

import asyncio
import contextlib

from tests.support import gateway_fleet


@contextlib.asynccontextmanager
async def start(nodes=2, settings=None, kept=0, **counts):
    """Start a fleet whose nodes know each other, and can be cut off.

    :param kept: number of workers of each service that all nodes reach
    :param settings: settings of all nodes that differ from the usual ones
    """
    async with gateway_fleet.GatewayFleet(**counts) as fleet:
        with fleet.partition(kept) as links:
            started = [
                await fleet.start_node(
                    node_name=f"node-{n}", **(settings or {})
                )
                for n in range(1, nodes + 1)
            ]
            await gateway_fleet.wait_until(
                lambda: all(
                    len(n.gateway.link.peers.live_names()) == nodes
                    for n in started
                )
            )
            yield fleet, links, started


async def isolate(links, node):
    """Cut a node off, and wait until it knows that it reaches no endpoint."""
    links.cut(node.settings.node_name)
    await asyncio.gather(*(node.request("/safe/") for _ in range(3)))
    links.connects.clear()


async def send_all(node, path, count, pause_s=0.05):
    """Send requests one after the other begins, and return the responses."""
    tasks = []
    for number in range(count):
        request = node.request(path, attempt_id=f"{path}-{number}")
        tasks.append(asyncio.ensure_future(request))
        await asyncio.sleep(pause_s)
    return await asyncio.gather(*tasks)
