"""Error messages of failed requests to the store, and its epochs."""

from unittest import mock

import testtools

from fireflyspur.gateway.common import exceptions
from fireflyspur.platform import store_client
from tests.support import async_tests
from tests.support import captured_logs
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


class EpochTest(testtools.TestCase):
    """Guards against positions of a log that a restore has replaced."""

    def start(self):
        self.store = platform_store.PlatformStore()
        self.store.start()
        self.addCleanup(self.store.stop)
        return store_client.StoreClient(self.store.address)

    @async_tests.in_loop
    async def test_each_read_names_its_epoch(self):
        client = self.start()
        self.store.put("keyed.op", "config", b"{}")
        self.store.restore(self.store.copy_records())
        newest = await client.read_newest("keyed.op")
        page = await client.read_log("keyed.op", 0, 0)
        expired = await client.read_log("keyed.op", 9, 0)
        self.assertEqual([1, 1, 1], [newest.epoch, page.epoch, expired.epoch])
        self.assertTrue(expired.is_expired)

    @async_tests.in_loop
    async def test_restore_between_two_pages_makes_a_read_fail(self):
        client = self.start()
        for number in range(501):
            self.store.put("keyed.servers", f"e{number:03}", b"{}")
        copies = self.store.copy_records()
        call = client._call

        async def restore_after_call(*args):
            answer = await call(*args)
            self.store.restore(copies)
            return answer

        client._call = restore_after_call
        with testtools.ExpectedException(
            exceptions.StoreUnavailableError, ".*between two pages"
        ):
            await client.read_newest("keyed.servers")

    @async_tests.in_loop
    async def test_invalid_epochs_are_logged_once_and_not_used(self):
        client = self.start()
        with captured_logs.capture() as records:
            for era in ("-1", "1.5", "soon", "9" * 400, "\u0660"):
                self.store.era = era
                newest = await client.read_newest("keyed.op")
                self.assertEqual(0, newest.epoch, era)
        lines = [r for r in records if r["message"] == "Epoch not used"]
        self.assertEqual(1, len(lines))

    @async_tests.in_loop
    async def test_restore_is_logged(self):
        client = self.start()
        await client.read_newest("keyed.op")
        with captured_logs.capture() as records:
            self.store.restore({})
            for _ in range(2):
                await client.read_newest("keyed.op")
        lines = [r for r in records if r["message"] == "Store restored"]
        self.assertEqual(1, len(lines))
        self.assertEqual(1, lines[0]["extra"]["epoch"])
