"""Nodes of an older build beside a node of the current one."""

import asyncio
import contextlib
import socket
import tempfile

import testtools

from fireflyspur.generated import peer_updates_pb2 as peer_updates
from tests.support import async_tests
from tests.support import gateway_fleet
from tests.support import older_builds
from tests.support import partitioned_fleet
from tests.support import platform_process

_BEFORE_HANDOVER = "328b561"
_WITH_HANDOVER = ("3021403", "1f29f1e")
# Field 500, which no build knows, with a text as its value.
_UNKNOWN_FIELD = b"\xa2\x1f\x07unknown"


@contextlib.asynccontextmanager
async def start_pair(commit):
    """Start a node of the current build and a process of an older one."""
    async with contextlib.AsyncExitStack() as stack:
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        source = older_builds.extract(commit, folder)
        fleet, links, (current,) = await stack.enter_async_context(
            partitioned_fleet.start(nodes=1)
        )
        older = await stack.enter_async_context(
            platform_process.PlatformProcess(
                fleet, folder, "node-2", source=source
            )
        )
        await older.wait_until_ready()
        peers = current.gateway.link.peers
        await gateway_fleet.wait_until(lambda: len(peers.live_names()) == 2)
        yield fleet, links, current, older


class MixedBuildsTest(testtools.TestCase):
    """Guards against an upgrade in which the builds harm one another."""

    async def send_while_isolated(self, commit):
        """Return the responses of a node that reaches no endpoint itself."""
        async with start_pair(commit) as (fleet, links, current, _):
            await partitioned_fleet.isolate(links, current)
            responses = await partitioned_fleet.send_all(
                current, "/unsafe/", 10
            )
            ran = {a.attempt_id for a in fleet.arrivals}
        return responses, ran

    @async_tests.in_loop
    async def test_handover_to_older_builds(self):
        for commit in _WITH_HANDOVER:
            responses, ran = await self.send_while_isolated(commit)
            self.assertEqual({200}, {r.status for r in responses}, commit)
            sent = {f"/unsafe/-{number}" for number in range(10)}
            self.assertEqual(set(), sent - ran, commit)

    @async_tests.in_loop
    async def test_handover_to_a_build_without_handover(self):
        responses, ran = await self.send_while_isolated(_BEFORE_HANDOVER)
        for number, response in enumerate(responses):
            self.assertEqual(503, response.status)
            self.assertIn("retry-after", response.headers)
            self.assertNotIn(f"/unsafe/-{number}", ran)

    @async_tests.in_loop
    async def test_older_build_ignores_what_it_cannot_read(self):
        update = peer_updates.PeerUpdate(
            node="node-3", incarnation=1, number=1
        )
        update.reports.add(instance="desk-0", event=99)
        known = update.SerializeToString()
        async with start_pair(_BEFORE_HANDOVER) as (*_, older):
            peers = older.settings.peers
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
                for data in (known + _UNKNOWN_FIELD, b"\xff" * 40, b""):
                    sender.sendto(data, (peers.host, peers.port))
            await asyncio.sleep(0.2)
            response = await older.request("/safe/")
            self.assertEqual(200, await older.health())
        self.assertEqual(200, response.status)
