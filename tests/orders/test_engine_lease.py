"""Lease and load slot of an engine when the log loses responses."""

import asyncio
import unittest.mock

import testtools

from fireflyspur.clients import exceptions
from fireflyspur.clients import log_client
from fireflyspur.clients import stream_follower
from fireflyspur.clients import stream_writer
from fireflyspur.orders import engine_lease
from fireflyspur.orders import load_slot
from fireflyspur.orders import order_log


class MemoryLog:
    """In-memory log that can be unavailable or lose responses."""

    def __init__(self):
        self.records, self.lost_responses, self.is_down = [], 0, False

    def put(self, value):
        offset = len(self.records) + 1
        self.records.append(log_client.LogRecord(offset, 0.0, value))

    async def append(self, stream, values):
        if self.is_down:
            raise exceptions.LogUnavailableError("down")
        for value in values:
            self.put(value)
        if self.lost_responses:
            self.lost_responses -= 1
            raise exceptions.LogUnavailableError("no response")

    async def read(self, stream, start, *, wait_s):
        await asyncio.sleep(0.005)
        if self.is_down:
            raise exceptions.LogUnavailableError("down")
        tail = len(self.records) + 1
        return log_client.LogPage(self.records[start - 1 :], tail, 1, tail)


class StreamTestCase(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.log = MemoryLog()
        self.alive = ["n1", "n2"]
        self.config_offset = 5

    def run_with(self, function):
        """Run a coroutine function while the stream is followed."""

        async def go():
            self.state = order_log.OrderLog()
            self.writer = stream_writer.StreamWriter(self.log, "orders")
            self.follower = stream_follower.StreamFollower(
                self.log, "orders", self.apply, 0.01
            )
            tasks = [
                asyncio.create_task(self.follower.run()),
                asyncio.create_task(self.writer.run()),
            ]
            try:
                return await function()
            finally:
                for task in tasks:
                    task.cancel()

        return asyncio.run(go())

    def apply(self, record):
        self.state.apply(record)
        self.writer.confirm(record.value["uid"])

    async def wait(self, condition):
        self.assertTrue(await self.follower.wait_until(condition, 30.0))

    def uids(self, kind):
        return {
            r.value["uid"] for r in self.log.records if r.value["type"] == kind
        }


class TestEngineLease(StreamTestCase):
    def lease(self):
        return engine_lease.EngineLease(
            "e",
            "n1",
            self.state,
            self.follower,
            self.writer,
            lambda: self.config_offset,
            lambda node: node in self.alive,
        )

    def take_over(self, config_offset=5):
        uid = f"other-{len(self.log.records)}"
        self.log.put(
            {
                "type": "lease",
                "uid": uid,
                "engine": "e",
                "node": "n2",
                "config_offset": config_offset,
            }
        )
        return self.wait(lambda: self.state.has_read(uid))

    def test_a_lost_response_makes_no_second_lease(self):
        async def go():
            self.log.lost_responses = 1
            return await self.lease().acquire()

        lease = self.run_with(go)
        self.assertEqual({lease.uid}, self.uids("lease"))

    def test_a_lease_requested_during_an_outage_is_granted_after_it(self):
        """Guards against an order under a lease that is not in the log."""

        async def go():
            self.log.is_down = True
            lease = self.lease()
            with unittest.mock.patch.object(
                engine_lease, "_READ_BACK_S", 0.05
            ):
                self.assertIsNone(await lease.acquire())
                self.assertIsNone(await lease.acquire())
            self.log.is_down = False
            return await lease.acquire()

        lease = self.run_with(go)
        self.assertEqual({lease.uid}, self.uids("lease"))

    def test_a_live_holder_keeps_the_lease_during_the_backoff(self):
        """Guards against two owners that keep taking each other's lease."""

        async def go():
            lease = self.lease()
            first = await lease.acquire()
            await self.take_over()
            self.assertIsNone(await lease.acquire())
            self.alive.remove("n2")
            second = await lease.acquire()
            return first.offset, second.offset

        first, second = self.run_with(go)
        self.assertGreater(second, first + 1)

    def test_a_holder_with_a_newer_configuration_keeps_the_lease(self):
        async def go():
            await self.take_over(config_offset=6)
            self.alive.remove("n2")
            self.assertIsNone(await self.lease().acquire())
            self.config_offset = 6
            return await self.lease().acquire()

        self.assertEqual("n1", self.run_with(go).node)


class TestLoadSlot(StreamTestCase):
    def slot(self):
        return load_slot.LoadSlot(
            "e", self.state, self.writer, lambda: self.config_offset
        )

    async def wait_granted(self, slot):
        slot.request({"model/m": 1}, 1)
        await self.wait(lambda: slot.request({"model/m": 1}, 1))

    def test_lost_responses_take_one_slot_and_free_it(self):
        async def go():
            slot = self.slot()
            self.log.lost_responses = 1
            await self.wait_granted(slot)
            self.log.lost_responses = 1
            slot.release()
            await self.wait(lambda: not self.state.intents("e"))

        self.run_with(go)
        self.assertEqual(1, len(self.uids("load_intent")))
        self.assertEqual(1, len(self.uids("load_end")))

    def test_the_next_lease_holder_takes_over_the_slot(self):
        """Guards against a second load while the first one continues."""

        async def go():
            previous, successor = self.slot(), self.slot()
            await self.wait_granted(previous)
            previous.withdraw()
            self.assertTrue(successor.request({"model/m": 1}, 1))
            successor.release()
            await self.wait(lambda: not self.state.intents("e"))

        self.run_with(go)
        self.assertEqual(1, len(self.uids("load_intent")))

    def test_an_intent_of_a_newer_configuration_is_kept(self):
        """Guards against a previous owner that blocks the current one."""

        async def go():
            slot = self.slot()
            await self.wait_granted(slot)
            self.config_offset = 4
            self.slot().release()
            self.config_offset = 5
            slot.release()
            await self.wait(lambda: not self.state.intents("e"))

        self.run_with(go)
        self.assertEqual(1, len(self.uids("load_end")))

    def test_an_intent_given_up_during_an_outage_never_holds_a_slot(self):
        async def go():
            self.log.is_down = True
            slot = self.slot()
            slot.request({"model/m": 1}, 1)
            slot.withdraw()
            self.log.is_down = False
            await self.wait(lambda: self.uids("load_end"))
            await self.wait(lambda: not self.state.intents("e"))

        self.run_with(go)
