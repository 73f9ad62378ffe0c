"""Answers of faulty endpoints that look like another, or like a whole one."""

import asyncio

import testtools

from tests.support import async_tests
from tests.support import fake_endpoint
from tests.support import gateway_fleet

_NOT_EXECUTED = "X-Fireflyspur-Not-Executed: 1"
_REFUSAL_STATUSES = (
    "503 Service Unavailable",
    "429 Too Many Requests",
    "421 Misdirected Request",
)


def refusal(worker, attempt_id, status=_REFUSAL_STATUSES[0]):
    """Return a refusal as bytes.

    :param attempt_id: the attempt that it names; None if it names none
    """
    lines = [
        f"HTTP/1.1 {status}",
        f"X-Fireflyspur-Instance-Id: {worker.instance}",
        _NOT_EXECUTED,
        "Content-Length: 0",
    ]
    if attempt_id is not None:
        lines.append(f"X-Fireflyspur-Attempt-Id: {attempt_id}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


async def refuse_twice(worker, arrival, stream):
    """Refuse, and write the same refusal once more on the connection."""
    text = refusal(worker, arrival.attempt_id)
    await stream.write(text)
    await asyncio.sleep(0.1)
    await stream.write(text)


def run_after(attempt_id, status):
    """Return a behaviour that writes an old refusal before its answer."""

    async def behaviour(worker, arrival, stream):
        await stream.write(refusal(worker, attempt_id, status))
        await asyncio.sleep(0.05)
        await fake_endpoint.respond_plain(worker, arrival, stream)

    return behaviour


class RepeatedRefusalTest(testtools.TestCase):
    """Guards against an earlier refusal that is taken for a later request's.

    The caller would be told that a request has not run that an endpoint runs,
    or the request would run at a second endpoint.
    """

    def arrivals(self, fleet, attempt_id):
        return [
            arrival
            for desk in fleet.desks
            for arrival in desk.arrivals
            if arrival.attempt_id == attempt_id
        ]

    @async_tests.in_loop
    async def test_second_copy_of_a_refusal_meets_no_later_request(self):
        async with gateway_fleet.GatewayFleet(desks=1) as fleet:
            node = await fleet.start_node()
            fleet.desks[0].behaviours = [refuse_twice]
            refused = await node.request("/unsafe/", attempt_id="a0")
            self.assertEqual(503, refused.status)
            for number in range(1, 6):
                await asyncio.sleep(0.05)
                attempt_id = f"a{number}"
                response = await node.request(
                    "/unsafe/", attempt_id=attempt_id
                )
                self.assertEqual(200, response.status)
                self.assertEqual(1, len(self.arrivals(fleet, attempt_id)))

    @async_tests.in_loop
    async def test_refusal_of_another_attempt_is_not_believed(self):
        for status in _REFUSAL_STATUSES:
            async with gateway_fleet.GatewayFleet() as fleet:
                node = await fleet.start_node()
                for desk in fleet.desks:
                    desk.default_behaviour = run_after("old", status)
                response = await node.request("/unsafe/", attempt_id="a1")
                self.assertEqual(502, response.status, status)
                self.assertEqual(1, len(self.arrivals(fleet, "a1")), status)

    @async_tests.in_loop
    async def test_refusal_that_names_no_attempt_is_not_believed(self):
        for status in _REFUSAL_STATUSES:
            async with gateway_fleet.GatewayFleet() as fleet:
                node = await fleet.start_node()
                for desk in fleet.desks:
                    desk.default_behaviour = run_after(None, status)
                response = await node.request("/unsafe/", attempt_id="a1")
                self.assertEqual(502, response.status, status)
                self.assertEqual(1, len(self.arrivals(fleet, "a1")), status)


class ErrorInStreamTest(testtools.TestCase):
    """Guards against an error of the next endpoint inside a stream.

    The stream has begun and broke off. The caller must not find the error's
    head or text in it, nor take the stream for complete.
    """

    async def broken_stream(self, *next_behaviours):
        """Return the response if the endpoints after the first one fail."""
        async with gateway_fleet.GatewayFleet(engines=3) as fleet:
            route = gateway_fleet.route(
                "chat",
                "streaming",
                "models",
                stream_resume=True,
                gap_aim_ms=200,
                max_attempts=3,
            )
            fleet.publish(gateway_fleet.config(routes=[route]))
            node = await fleet.start_node()
            behaviours = iter(
                (
                    fake_endpoint.respond_events(
                        5, stop_after=2, partial=b"id: 3\nda"
                    ),
                    *next_behaviours,
                )
            )

            async def respond(worker, arrival, stream):
                await next(behaviours)(worker, arrival, stream)

            for engine in fleet.engines:
                engine.default_behaviour = respond
            return await node.request("/chat/")

    async def assert_only_events(self, *next_behaviours):
        response = await self.broken_stream(*next_behaviours)
        whole = fake_endpoint.event(1) + fake_endpoint.event(2)
        self.assertEqual(200, response.status)
        self.assertFalse(response.is_complete)
        self.assertEqual(whole, response.body)

    @async_tests.in_loop
    async def test_error_of_the_next_endpoint(self):
        for seal in (True, False):
            error = fake_endpoint.respond_status(
                "500 Internal Server Error", seal=seal
            )
            await self.assert_only_events(error, error)

    @async_tests.in_loop
    async def test_rejection_of_the_next_endpoint(self):
        error = fake_endpoint.respond_status("400 Bad Request", seal=True)
        await self.assert_only_events(error)

    @async_tests.in_loop
    async def test_refusal_of_the_next_endpoint(self):
        refuse = fake_endpoint.respond_status(
            "503 Service Unavailable", _NOT_EXECUTED
        )
        await self.assert_only_events(refuse, refuse)

    @async_tests.in_loop
    async def test_next_endpoint_sends_no_answer(self):
        await self.assert_only_events(
            fake_endpoint.respond_raw(b"<html>gateway error</html>\r\n\r\n"),
            fake_endpoint.crash,
        )

    @async_tests.in_loop
    async def test_stream_goes_on_after_an_error_between(self):
        error = fake_endpoint.respond_status("500 Internal Server Error")
        response = await self.broken_stream(
            error, fake_endpoint.respond_events(5)
        )
        events = b"".join(map(fake_endpoint.event, range(1, 6)))
        self.assertTrue(response.is_complete)
        self.assertEqual(events, response.body)


class OddStatusTest(testtools.TestCase):
    """Guards against an answer with a status that no server may send.

    An endpoint in trouble sent 000, and the caller got it as an answer.
    """

    @async_tests.in_loop
    async def test_caller_gets_no_status_that_is_none(self):
        framings = ("Content-Length: 4", "Transfer-Encoding: identity", "X: 1")
        for status in ("000 OK", "000", "099 Low", "600 High", "999 Max"):
            for framing in framings:
                for path in ("/safe/", "/unsafe/", "/chat/", "/once/"):
                    response = await self.response_to(status, framing, path)
                    context = (status, framing, path)
                    self.assertIn(response.status, (502, 503), context)
                    self.assertNotEqual(b"body", response.body, context)

    async def response_to(self, status, framing, path):
        async def respond(worker, arrival, stream):
            head = fake_endpoint.response_head(
                arrival, worker, framing, status=status
            )
            await stream.write(head + b"body")

        async with gateway_fleet.GatewayFleet(desks=1, engines=1) as fleet:
            node = await fleet.start_node()
            for worker in (*fleet.desks, *fleet.engines):
                worker.default_behaviour = respond
            return await node.request(path)


class CutHeadTest(testtools.TestCase):
    """Guards against an answer whose head was cut and that looks whole."""

    async def responses_to_cut_heads(self, path):
        """Return the responses to heads that are cut at each place."""
        responses = []
        async with gateway_fleet.GatewayFleet(desks=1, engines=1) as fleet:
            node = await fleet.start_node()
            worker = fleet.engines[0] if path == "/once/" else fleet.desks[0]

            async def cut(worker, arrival, stream):
                head = fake_endpoint.response_head(
                    arrival,
                    worker,
                    "Content-Length: 20",
                    "Content-Type: text/event-stream",
                )
                lines = head.split(b"\r\n")[:kept_lines]
                await stream.write(b"\r\n".join(lines))

            # Up to all lines, without the blank one that ends the head.
            for kept_lines in range(1, 7):
                worker.default_behaviour = cut
                # The endpoint is paused after a fault.
                node.gateway.directory.record_success(worker.instance)
                responses.append(await node.request(path))
        return responses

    @async_tests.in_loop
    async def test_cut_heads_give_no_success(self):
        for path in ("/safe/", "/unsafe/", "/once/"):
            for response in await self.responses_to_cut_heads(path):
                self.assertIn(response.status, (502, 503), path)

    @async_tests.in_loop
    async def test_body_shorter_than_its_length_is_incomplete(self):
        async def cut(worker, arrival, stream):
            head = fake_endpoint.response_head(
                arrival, worker, "Content-Length: 20"
            )
            await stream.write(head + body)

        for path in ("/safe/", "/unsafe/", "/once/"):
            for body in (b"", b"id: 1\ndata: a\n\n"):
                async with gateway_fleet.GatewayFleet(1, 1) as fleet:
                    node = await fleet.start_node()
                    for worker in (*fleet.desks, *fleet.engines):
                        worker.default_behaviour = cut
                    response = await node.request(path)
                is_whole = response.status == 200 and response.is_complete
                self.assertFalse(is_whole, (path, body))
