"""Time that each part of a node's start takes."""

import asyncio
import json
import tempfile

import testtools

from fireflyspur.gateway.common import clock
from fireflyspur.gateway.node import start_phases
from tests.support import async_tests
from tests.support import captured_logs
from tests.support import gateway_fleet
from tests.support import platform_process

# Reads of the store and registration take some ms after the imports.
_MAX_AFTER_IMPORTS_MS = 3_000


class StartPhasesTest(testtools.TestCase):
    """Guards against slow starts whose longest part is not known."""

    def test_start_of_the_process_is_by_the_gateways_clock(self):
        elapsed_s = clock.now_s() - start_phases.process_started_at_s()
        self.assertGreater(elapsed_s, 0.05)
        self.assertLess(elapsed_s, 3_600)

    @async_tests.in_loop
    async def test_each_part_counts_when_it_ends_first(self):
        phases = start_phases.StartPhases(clock.now_s() - 1.0)
        phases.record("imports")
        ended = set()
        checks = {
            name: lambda name=name: name in ended
            for name in ("store", "ready")
        }
        with captured_logs.capture() as lines:
            watching = asyncio.ensure_future(phases.watch(checks))
            for name in ("store", "ready"):
                await asyncio.sleep(0.1)
                self.assertFalse(watching.done())
                ended.add(name)
            await asyncio.wait_for(watching, 2.0)
        times = list(phases.ended_ms.values())
        self.assertEqual(["imports", "store", "ready"], [*phases.ended_ms])
        self.assertEqual(sorted(times), times)
        self.assertGreaterEqual(times[2] - times[0], 200)
        self.assertEqual(1, len(lines))

    @async_tests.in_loop
    async def test_node_logs_the_parts_of_its_start(self):
        folder = self.enterContext(tempfile.TemporaryDirectory())
        async with gateway_fleet.GatewayFleet() as fleet:
            fleet.publish(gateway_fleet.config())
            async with platform_process.PlatformProcess(fleet, folder) as node:
                await node.wait_until_ready()
                await gateway_fleet.wait_until(
                    lambda: "Start complete" in node.log()
                )
                lines = map(json.loads, node.log().splitlines())
        (line,) = (x for x in lines if x["message"] == "Start complete")
        self.assertLessEqual(line["loaded_ms"], line["listening_ms"])
        self.assertLessEqual(line["config_ms"], line["ready_ms"])
        self.assertLessEqual(line["endpoints_ms"], line["ready_ms"])
        self.assertIn("nodes_ms", line)
        self.assertLess(
            line["ready_ms"] - line["loaded_ms"], _MAX_AFTER_IMPORTS_MS
        )
