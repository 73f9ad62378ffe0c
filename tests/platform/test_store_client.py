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


class PartTest(testtools.TestCase):
    """Guards against a part of the records that is taken for all."""

    def start(self):
        self.store = platform_store.PlatformStore()
        self.store.start()
        self.addCleanup(self.store.stop)
        return store_client.StoreClient(self.store.address)

    @async_tests.in_loop
    async def test_page_tells_where_to_go_on(self):
        client = self.start()
        for _ in range(9):
            self.store.put("keyed.op", "config", b"c" * 200_000)
        page = await client.read_log("keyed.op", 0, 0)
        self.assertEqual((5, 5, 9), (len(page.records), page.next, page.end))
        page = await client.read_log("keyed.op", page.next, 0)
        self.assertEqual((4, 9, 9), (len(page.records), page.next, page.end))

    @async_tests.in_loop
    async def test_records_without_content_are_counted(self):
        client = self.start()
        self.store.partition("keyed.op").append([b"", b""], is_keyed=False)
        self.store.put("keyed.op", "config", b"c")
        page = await client.read_log("keyed.op", 0, 0)
        self.assertEqual((1, 3), (len(page.records), page.next))

    # A record that was replaced between two pages was never read again.
    @async_tests.in_loop
    async def test_end_of_newest_records_is_that_of_the_first_page(self):
        client = self.start()
        for number in range(501):
            self.store.put("keyed.op", f"e{number:03}", b"{}")
        call = client._call

        async def replace_after_call(*args):
            answer = await call(*args)
            self.store.put("keyed.op", "e000", b"new")
            return answer

        client._call = replace_after_call
        newest = await client.read_newest("keyed.op")
        self.assertEqual(501, newest.end)

    @async_tests.in_loop
    async def test_page_without_records_before_the_last_is_an_error(self):
        client = self.start()
        page = platform_store.Response(
            200, b'{"items":[],"has_more":true,"end":3}'
        )
        self.store._newest = lambda query: page
        with testtools.ExpectedException(exceptions.StoreUnavailableError):
            await client.read_newest("keyed.op")

    # Pages without end were all kept.
    @async_tests.in_loop
    async def test_pages_without_end_are_an_error(self):
        client = self.start()
        item = b'{"key":"a","value":"","offset":0}'
        page = platform_store.Response(
            200, b'{"items":[' + item + b'],"has_more":true,"end":3}'
        )
        self.store._newest = lambda query: page
        with testtools.ExpectedException(
            exceptions.StoreUnavailableError, ".*more than 32 pages"
        ):
            await client.read_newest("keyed.op")


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
