"""Answers that break off after a part of them has been sent."""

import asyncio

import testtools

from tests.support import async_tests
from tests.support import fake_endpoint
from tests.support import gateway_fleet
from tests.support import partitioned_fleet

# Longer than what is kept until an answer is complete.
_LENGTH = 400_000
_SENT = 300_000


def _body(worker):
    return (worker.instance[-1:] * _LENGTH).encode()


def _answer_once(*extra):
    """Return a behaviour whose first answer breaks off.

    :param extra: header lines that frame the body
    """
    asked = []

    async def behaviour(worker, arrival, stream):
        asked.append(worker)
        await stream.write(
            fake_endpoint.response_head(arrival, worker, *extra)
        )
        whole = len(asked) > 1
        await stream.write(_body(worker)[: _LENGTH if whole else _SENT])

    return behaviour


def _events_without_ids(count, stop_after):
    asked = []

    async def behaviour(worker, arrival, stream):
        asked.append(worker)
        await stream.write(
            fake_endpoint.response_head(
                arrival, worker, "Transfer-Encoding: chunked"
            )
        )
        last = stop_after if len(asked) == 1 else count
        for number in range(1, last + 1):
            named = f"id: {number}\n" if number < 3 else ""
            data = f"{named}data: token-{number}\n\n".encode()
            await stream.write(fake_endpoint.chunk(data))
            await asyncio.sleep(0.01)
        if len(asked) > 1:
            await stream.write(b"0\r\n\r\n")

    return behaviour


class JoinedAnswerTest(testtools.TestCase):
    """Guards against a complete answer that holds bytes of two endpoints."""

    # A long answer broke off, and the whole answer of another endpoint was
    # appended.
    @async_tests.in_loop
    async def test_long_answer_that_breaks_off_is_not_continued(self):
        async with gateway_fleet.GatewayFleet() as fleet:
            node = await fleet.start_node()
            answer = _answer_once(f"Content-Length: {_LENGTH}")
            for desk in fleet.desks:
                desk.default_behaviour = answer
            response = await node.request("/safe/")
            arrivals = len(fleet.arrivals)
        self.assertFalse(response.is_complete)
        self.assertEqual(1, arrivals)
        self.assertEqual(1, len(set(response.body)))

    @async_tests.in_loop
    async def test_short_answer_that_breaks_off_is_run_elsewhere(self):
        async with gateway_fleet.GatewayFleet() as fleet:
            node = await fleet.start_node()
            fleet.desks[0].default_behaviour = fake_endpoint.respond_raw(
                b"HTTP/1.1 200 OK\r\nX-Fireflyspur-Response-Seal: s\r\n"
                b"Content-Length: 90\r\n\r\nhalf"
            )
            for _ in range(4):
                response = await node.request("/safe/")
                self.assertTrue(response.is_complete)
                self.assertEqual(b"body of desk-1", response.body)

    # Events after the last id came twice.
    @async_tests.in_loop
    async def test_stream_whose_events_have_no_ids_is_not_continued(self):
        for stop_after in (1, 2, 3, 5):
            async with gateway_fleet.GatewayFleet() as fleet:
                node = await fleet.start_node()
                answer = _events_without_ids(6, stop_after)
                for engine in fleet.engines:
                    engine.default_behaviour = answer
                response = await node.request("/chat/")
            for number in range(1, stop_after + 1):
                token = f"token-{number}\n".encode()
                if stop_after >= 3:
                    self.assertEqual(1, response.body.count(token), number)
            self.assertEqual(stop_after < 3, response.is_complete)

    @async_tests.in_loop
    async def test_answer_that_is_handed_over_is_not_continued(self):
        async with partitioned_fleet.start() as (fleet, links, (cut, other)):
            links.cut("node-1")
            answer = _answer_once(f"Content-Length: {_LENGTH}")
            for desk in fleet.desks:
                desk.default_behaviour = answer
            response = await cut.request("/safe/", deadline_ms=9_000)
            arrivals = len(fleet.arrivals)
        self.assertFalse(response.is_complete)
        self.assertEqual(1, arrivals)
        self.assertEqual(1, len(set(response.body)))
