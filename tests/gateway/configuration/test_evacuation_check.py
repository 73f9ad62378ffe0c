"""Checks immediately before something is sent."""

import asyncio
import dataclasses

import testtools

from fireflyspur.gateway.common import clock
from fireflyspur.gateway.common import exceptions
from fireflyspur.gateway.configuration import evacuation_check
from fireflyspur.gateway.configuration import evacuations
from fireflyspur.gateway.node import suspension
from tests.support import async_tests


@dataclasses.dataclass(frozen=True)
class _Endpoint:
    failure_domain: str


_A, _B = _Endpoint("a"), _Endpoint("b")


class EvacuationCheckTest(testtools.TestCase):
    """Guards against requests of a node that was suspended.

    What it knew before, or was told meanwhile, may be too old.
    """

    def setUp(self):
        super().setUp()
        self.suspended_s = 0.0
        self.enterContext(
            clock.override(lambda: self.loop_s() + self.suspended_s)
        )
        self.known = evacuations.Evacuations(lambda domains: None)
        self.known.set_bounds(5.0, 6.0)
        self.detector = suspension.SuspensionDetector(1.0)
        self.reads = 0
        self.results = []
        self.check = evacuation_check.EvacuationCheck(
            self.known, self.detector, self.read
        )
        self.learn(1)

    def loop_s(self):
        try:
            return asyncio.get_running_loop().time()
        except RuntimeError:
            return 0.0

    def learn(self, position, *domains):
        self.known.update_from_store(
            evacuations.EvacuationState(0, position, frozenset(domains)),
            clock.now_s(),
        )

    async def read(self):
        self.reads += 1
        result = self.results.pop(0) if self.results else None
        await asyncio.sleep(0.05)
        if result is not None:
            raise result
        self.learn(2, "b")

    async def begin(self):
        # The clock of the loop goes on from here.
        self.detector.tick()
        self.learn(1)

    def suspend(self, seconds=10.0):
        self.suspended_s += seconds

    async def find(self):
        return await self.check.find_evacuated((_A, _B))

    @async_tests.in_loop
    async def test_store_is_not_read_without_a_suspension(self):
        await self.begin()
        self.assertIsNone(await self.find())
        self.learn(2, "b")
        self.assertIs(_B, await self.find())
        self.assertEqual(0, self.reads)

    @async_tests.in_loop
    async def test_store_is_read_once_for_all_requests(self):
        await self.begin()
        self.suspend()
        found = await asyncio.gather(*(self.find() for _ in range(20)))
        self.assertEqual([_B] * 20, found)
        self.assertIs(_B, await self.find())
        self.assertEqual(1, self.reads)

    @async_tests.in_loop
    async def test_failed_read_is_repeated(self):
        await self.begin()
        self.results = [exceptions.StoreUnavailableError("busy")] * 2
        self.suspend()
        self.assertIs(_B, await self.find())
        self.assertEqual(3, self.reads)

    @async_tests.in_loop
    async def test_read_goes_on_if_the_first_caller_leaves(self):
        await self.begin()
        self.suspend()
        first = asyncio.ensure_future(self.find())
        second = asyncio.ensure_future(self.find())
        await asyncio.sleep(0.01)
        first.cancel()
        self.assertIs(_B, await second)

    @async_tests.in_loop
    async def test_last_state_stays_in_force_if_the_store_is_lost(self):
        await self.begin()
        self.results = [exceptions.StoreUnavailableError("busy")] * 1_000
        self.suspend()
        started_s = self.loop_s()
        self.assertIsNone(await self.find())
        self.assertAlmostEqual(1.5, self.loop_s() - started_s, delta=0.3)
        # Requests that come later do not wait any more.
        started_s, reads = self.loop_s(), self.reads
        self.assertIsNone(await self.find())
        self.assertLess(self.loop_s() - started_s, 0.1)
        self.assertEqual(reads, self.reads)

    @async_tests.in_loop
    async def test_nothing_is_read_without_a_bound(self):
        await self.begin()
        self.learn(2, "b")
        self.known.set_bounds(None, 6.0)
        self.suspend()
        self.assertIsNone(await self.find())
        self.assertEqual(0, self.reads)
