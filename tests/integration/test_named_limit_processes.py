"""An endpoint that names a rate, while nodes that are processes change."""

import asyncio
import contextlib
import signal
import tempfile

import testtools

from tests.support import fake_endpoint
from tests.support import gateway_fleet
from tests.support import platform_process

_LIMIT_PER_S = 2.0
_STABILITY_S = 3.0
_WINDOW_S = 4.0
# The users' bound for a window: one and a half times the limit, and 5 more.
_MOST = 1.5 * _LIMIT_PER_S * _WINDOW_S + 5
_LOAD_PER_S = 30
_LOAD_S = 12.0
# Only a hang reaches this.
_TIMEOUT_S = 90.0


class ChangingFleetTest(testtools.TestCase):
    """Guards against a limit that a killed or suspended node breaks."""

    async def offer_load(self, nodes, responses):
        """Send requests to the nodes in turn, also to those that are down."""

        async def call(node, number):
            with contextlib.suppress(OSError, TimeoutError):
                async with asyncio.timeout(4.0):
                    attempt_id = f"attempt-{number}"
                    response = await node.request(
                        "/safe/", attempt_id=attempt_id
                    )
                responses.append(response)

        async with asyncio.TaskGroup() as calls:
            for number in range(round(_LOAD_S * _LOAD_PER_S)):
                calls.create_task(call(nodes[number % len(nodes)], number))
                await asyncio.sleep(1 / _LOAD_PER_S)

    async def change_nodes(self, nodes, added):
        """Kill, restart, suspend and add nodes under load."""
        await asyncio.sleep(3.0)
        nodes[0].process.kill()
        await nodes[0].process.wait()
        nodes[1].send_signal(signal.SIGSTOP)
        await asyncio.sleep(2.0)
        await nodes[0].start()
        await asyncio.sleep(1.0)
        nodes[1].send_signal(signal.SIGCONT)
        await added.start()
        await added.wait_until_ready()
        nodes.append(added)

    def test_limit_holds_in_each_window(self):
        asyncio.run(asyncio.wait_for(self.check_limit(), _TIMEOUT_S))

    async def check_limit(self):
        arrived_s, responses = [], []
        loop = asyncio.get_running_loop()
        respond = fake_endpoint.respond_with_limits(_LIMIT_PER_S)

        async def respond_and_record(worker, arrival, stream):
            arrived_s.append(loop.time())
            await respond(worker, arrival, stream)

        async with contextlib.AsyncExitStack() as stack:
            folder = stack.enter_context(tempfile.TemporaryDirectory())
            fleet = await stack.enter_async_context(
                gateway_fleet.GatewayFleet(desks=1)
            )
            fleet.publish(gateway_fleet.config())
            fleet.desks[0].default_behaviour = respond_and_record
            nodes = [
                platform_process.PlatformProcess(fleet, folder, f"node-{n}")
                for n in range(4)
            ]
            for node in nodes:
                await stack.enter_async_context(node)
                await node.wait_until_ready()
            added = nodes.pop()
            added.process.kill()
            await added.process.wait()
            await asyncio.gather(
                self.offer_load(nodes, responses),
                self.change_nodes(nodes, added),
            )
            logs = "".join(node.log() for node in nodes)
        counted = [a for a in arrived_s if a >= arrived_s[0] + _STABILITY_S]
        windows = [
            sum(a <= b < a + _WINDOW_S for b in counted) for a in counted
        ]
        self.assertLessEqual(max(windows), _MOST)
        # The rate is used as well.
        self.assertGreater(len(counted), (_LOAD_S - _STABILITY_S) * 1.0)
        statuses = {response.status for response in responses}
        self.assertLessEqual(statuses, {0, 200, 503})
        self.assertIn("Limit changed", logs)
