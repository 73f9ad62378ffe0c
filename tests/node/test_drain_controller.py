"""Graceful shutdown of a node."""

import asyncio

import testtools

from fireflyspur.admission import exceptions
from fireflyspur.node import drain_controller
from tests.support import async_tests


class DrainControllerTest(testtools.TestCase):
    """Guards against requests that are cut when a node stops."""

    # A request that began just as the last one ended was cut.
    @async_tests.in_loop
    async def test_request_that_begins_as_the_last_one_ends_is_awaited(self):
        drain = drain_controller.DrainController(0.0)
        next_request = drain.track_request()
        with drain.track_request():
            draining = asyncio.ensure_future(drain.drain())
            await asyncio.sleep(0.01)
        with next_request:
            await asyncio.sleep(0.01)
            self.assertFalse(draining.done())
        await draining
        with testtools.ExpectedException(exceptions.NotAdmittingError):
            drain.track_request().__enter__()
