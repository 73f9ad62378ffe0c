"""Parts of prompts that crash the engines that answer on them."""

import asyncio

import testtools

from tests.support import async_tests
from tests.support import fake_endpoint
from tests.support import gateway_fleet

_PREFIX = "X-Fireflyspur-Prompt-Prefix"
_SHARED = "5c1e07a2:800"
_CRASHING = "dead07a2:410"
_ENGINES = 14
# Engines may end until a part is known to crash them. Four more requests with
# it may be under way by then.
_MOST_ENDED = 5
_MOST_LATE = 3


def prefix(*parts):
    return f"{_PREFIX}: {','.join(parts)}"


async def crash_on_part(worker, arrival, stream):
    """Answer with events, but end the process on a prompt with the part."""
    parts = arrival.headers.get(_PREFIX.lower(), "")
    if _CRASHING in parts:
        head = fake_endpoint.response_head(arrival, worker)
        await stream.write(head + fake_endpoint.event(1) + b"id: 2\nda")
        worker.close()
        return
    await fake_endpoint.respond_events(3, pause_s=0.01)(
        worker, arrival, stream
    )


class CrashingPartTest(testtools.TestCase):
    """Guards against prompts of one kind that end one engine after another."""

    async def ask(self, node, number, *parts):
        return await node.request(
            "/chat/",
            extra=[prefix(*parts, f"{number:08x}:250")],
            body=f"prompt {number}".encode(),
            attempt_id=f"attempt-{number}",
        )

    def sent_with_part(self, fleet):
        return sum(
            _CRASHING in arrival.headers.get(_PREFIX.lower(), "")
            for engine in fleet.engines
            for arrival in engine.arrivals
        )

    @async_tests.in_loop
    async def test_part_that_crashes_engines_is_refused_by_all_nodes(self):
        async with gateway_fleet.GatewayFleet(engines=_ENGINES) as fleet:
            for engine in fleet.engines:
                engine.default_behaviour = crash_on_part
            nodes = [
                await fleet.start_node(node_name=f"node-{n}") for n in range(3)
            ]
            await gateway_fleet.wait_until(
                lambda: all(
                    len(n.gateway.link.peers.live_names()) == 3 for n in nodes
                )
            )
            sound = []
            for number in range(12):
                node = nodes[number % len(nodes)]
                await self.ask(node, 2 * number, _SHARED, _CRASHING)
                if number == 5:
                    before = self.sent_with_part(fleet)
                response = await self.ask(node, 2 * number + 1, _SHARED)
                sound.append((response.status, response.is_complete))
            late = self.sent_with_part(fleet) - before
        self.assertEqual([(200, True)] * 12, sound)
        self.assertLessEqual(self.sent_with_part(fleet), _MOST_ENDED)
        self.assertLessEqual(late, _MOST_LATE)

    @async_tests.in_loop
    async def test_node_that_starts_later_refuses_the_part_too(self):
        async with gateway_fleet.GatewayFleet(engines=_ENGINES) as fleet:
            for engine in fleet.engines:
                engine.default_behaviour = crash_on_part
            first = await fleet.start_node(node_name="node-1")
            for number in range(6):
                await self.ask(first, number, _SHARED, _CRASHING)
            before = self.sent_with_part(fleet)
            second = await fleet.start_node(node_name="node-2")
            await asyncio.sleep(1.5)
            response = await self.ask(second, 99, _SHARED, _CRASHING)
            self.assertEqual(503, response.status)
            self.assertIn(b"crashing_request", response.body)
            self.assertEqual(before, self.sent_with_part(fleet))
