"""Error messages of failed requests to the store."""

from unittest import mock

import testtools

from fireflyspur.gateway.common import exceptions
from fireflyspur.platform import store_client
from tests.support import async_tests
from tests.support import platform_store


class StoreErrorTest(testtools.TestCase):
    """Guards against log lines without the reason of a lost store."""

    async def reason_of(self, fault):
        store = platform_store.PlatformStore()
        store.start()
        self.addCleanup(store.stop)
        store.fault = fault
        client = store_client.StoreClient(store.address)
        with mock.patch.object(store_client, "_CALL_TIMEOUT_S", 0.1):
            try:
                await client.read_newest("keyed.op")
            except exceptions.StoreUnavailableError as error:
                return str(error)
        self.fail("the call did not fail")

    @async_tests.in_loop
    async def test_timeout(self):
        self.assertEqual(
            "/api/log-newest: no answer in time",
            await self.reason_of("silent"),
        )

    @async_tests.in_loop
    async def test_error_status(self):
        self.assertEqual(
            "/api/log-newest: status 503", await self.reason_of("busy")
        )

    @async_tests.in_loop
    async def test_lost_connection(self):
        reason = await self.reason_of("reset")
        self.assertRegex(reason, "^/api/log-newest: the connection ")
