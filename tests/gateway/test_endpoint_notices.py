"""Endpoints that say that they leave or want a pause, with real sockets."""

import asyncio
import time

import testtools

from tests.support import async_tests
from tests.support import fake_endpoint
from tests.support import gateway_fleet

_LEAVING = "Server-Leaving: 1"
# Requests a second.
_RATE = 40


async def respond_leaving(worker, arrival, stream):
    """Answer, and say that the endpoint leaves."""
    body = b"done"
    text = fake_endpoint.response_head(
        arrival, worker, f"Content-Length: {len(body)}", _LEAVING
    )
    await stream.write(text + body)


def refuse(*values, status="503 Service Unavailable"):
    """Return a behaviour that refuses, with values of Retry-After."""
    return fake_endpoint.respond_status(
        status,
        "X-Fireflyspur-Not-Executed: 1",
        *(f"Retry-After: {value}" for value in values),
    )


async def send_for(node, seconds, path="/safe/", answered_at_s=None):
    """Send requests at a constant rate and return the responses in order.

    :param answered_at_s: gets the time of each response by its number
    """
    tasks = []
    times = {} if answered_at_s is None else answered_at_s

    async def send(number):
        response = await node.request(path, attempt_id=f"{path}-{number}")
        times[number] = time.monotonic()
        return response

    for number in range(round(seconds * _RATE)):
        tasks.append(asyncio.ensure_future(send(number)))
        await asyncio.sleep(1 / _RATE)
    return await asyncio.gather(*tasks)


class LeavingEndpointTest(testtools.TestCase):
    """Guards against requests to an endpoint that said that it leaves.

    The store may say otherwise, or not be reached.
    """

    async def start(self, fleet):
        """Start a node that heard that the first desk leaves."""
        node = await fleet.start_node()
        leaving = fleet.desks[0]
        leaving.default_behaviour = respond_leaving
        while not leaving.arrivals:
            await node.request("/safe/")
        return node, leaving

    async def assert_leaves(self, behaviour, path="/safe/"):
        """Check that nothing goes to an endpoint after a behaviour."""
        async with gateway_fleet.GatewayFleet() as fleet:
            node = await fleet.start_node()
            workers = fleet.engines if path == "/chat/" else fleet.desks
            leaving = workers[0]
            leaving.default_behaviour = behaviour
            while not leaving.arrivals:
                await node.request(path)
            fleet.store.fault = "busy"
            leaving.arrivals.clear()
            responses = await send_for(node, 0.5, path)
            self.assertEqual([], leaving.arrivals)
            self.assertEqual({200}, {r.status for r in responses})

    @async_tests.in_loop
    async def test_success(self):
        await self.assert_leaves(respond_leaving)

    @async_tests.in_loop
    async def test_error(self):
        await self.assert_leaves(
            fake_endpoint.respond_status(
                "500 Internal Server Error", _LEAVING, seal=True
            )
        )

    @async_tests.in_loop
    async def test_refusal(self):
        await self.assert_leaves(
            fake_endpoint.respond_status(
                "503 Service Unavailable",
                "X-Fireflyspur-Not-Executed: 1",
                _LEAVING,
            )
        )

    @async_tests.in_loop
    async def test_stream_in_flight_goes_on_to_its_end(self):
        async def stream_leaving(worker, arrival, stream):
            await stream.write(
                fake_endpoint.response_head(
                    arrival, worker, "Transfer-Encoding: chunked", _LEAVING
                )
            )
            for number in range(1, 6):
                await stream.write(
                    fake_endpoint.chunk(fake_endpoint.event(number))
                )
                await asyncio.sleep(0.2)
            await stream.write(b"0\r\n\r\n")

        async with gateway_fleet.GatewayFleet(engines=1) as fleet:
            node = await fleet.start_node()
            fleet.engines[0].default_behaviour = stream_leaving
            streaming = asyncio.ensure_future(node.request("/chat/"))
            await gateway_fleet.wait_until(lambda: fleet.engines[0].arrivals)
            await asyncio.sleep(0.2)
            refused = await node.request("/chat/", attempt_id="a2")
            response = await streaming
        self.assertTrue(response.is_complete)
        self.assertIn(b"token-5", response.body)
        self.assertEqual(503, refused.status)
        self.assertEqual(1, len(fleet.engines[0].arrivals))

    @async_tests.in_loop
    async def test_other_nodes_are_told(self):
        async with gateway_fleet.GatewayFleet() as fleet:
            first = await fleet.start_node(node_name="node-1")
            second = await fleet.start_node(node_name="node-2")
            await gateway_fleet.wait_until(
                lambda: len(first.gateway.link.peers.live_names()) == 2
            )
            leaving = fleet.desks[0]
            leaving.default_behaviour = respond_leaving
            while not leaving.arrivals:
                await first.request("/safe/")
            await asyncio.sleep(0.1)
            leaving.arrivals.clear()
            await send_for(second, 0.5)
            self.assertEqual([], leaving.arrivals)

    @async_tests.in_loop
    async def test_store_that_lists_it_again_does_not_bring_it_back(self):
        async with gateway_fleet.GatewayFleet() as fleet:
            node, leaving = await self.start(fleet)
            directory = node.gateway.directory
            fleet.store.put("keyed.servers", leaving.instance, b"")
            await gateway_fleet.wait_until(
                lambda: leaving.instance not in directory.instances
            )
            fleet.register(leaving, "desk", sequence=9)
            await gateway_fleet.wait_until(
                lambda: leaving.instance in directory.instances
            )
            leaving.arrivals.clear()
            await send_for(node, 0.5)
            self.assertEqual([], leaving.arrivals)

    @async_tests.in_loop
    async def test_process_that_restarted_is_used_again(self):
        async with gateway_fleet.GatewayFleet() as fleet:
            node, leaving = await self.start(fleet)
            leaving.default_behaviour = fake_endpoint.respond_plain
            fleet.register(leaving, "desk", born=1_700_000_009_000)
            ready = node.gateway.directory.ready
            await gateway_fleet.wait_until(lambda: len(ready("desk")) == 2)

    @async_tests.in_loop
    async def test_other_values_are_not_used(self):
        for value in ("0", "", "no", "2", "1" * 400):
            async with gateway_fleet.GatewayFleet() as fleet:
                node = await fleet.start_node()
                for desk in fleet.desks:
                    desk.default_behaviour = fake_endpoint.respond_status(
                        "200 OK", f"Server-Leaving: {value}", seal=True
                    )
                responses = await send_for(node, 0.3)
                self.assertEqual({200}, {r.status for r in responses}, value)
                ready = node.gateway.directory.ready("desk")
                self.assertEqual(2, len(ready), value)


class PauseTest(testtools.TestCase):
    """Guards against requests to an endpoint that asked for a pause."""

    async def start(self, fleet, *values, **options):
        """Start a node that was asked for a pause by the first desk."""
        node = await fleet.start_node()
        desk = fleet.desks[0]
        desk.behaviours = [refuse(*values, **options)]
        while not desk.arrivals:
            await node.request("/safe/")
        desk.arrivals.clear()
        return node

    @async_tests.in_loop
    async def test_work_goes_elsewhere_until_the_end_of_the_pause(self):
        async with gateway_fleet.GatewayFleet() as fleet:
            node = await self.start(fleet, "1.5")
            responses = await send_for(node, 1.2)
            self.assertEqual([], fleet.desks[0].arrivals)
            self.assertEqual({200}, {r.status for r in responses})
            await asyncio.sleep(0.4)
            await send_for(node, 1.0)
            self.assertGreater(len(fleet.desks[0].arrivals), 5)

    @async_tests.in_loop
    async def test_other_nodes_are_not_bound(self):
        async with gateway_fleet.GatewayFleet(desks=1) as fleet:
            await self.start(fleet, "3")
            other = await fleet.start_node(node_name="node-2")
            response = await other.request("/safe/")
            self.assertEqual(200, response.status)

    @async_tests.in_loop
    async def test_caller_is_refused_at_once_and_told_when_to_return(self):
        async with gateway_fleet.GatewayFleet(desks=1) as fleet:
            node = await self.start(fleet, "2")
            started_s = time.monotonic()
            answered_at_s = {}
            responses = await send_for(node, 0.5, answered_at_s=answered_at_s)
            self.assertLess(time.monotonic() - started_s, 1.0)
            self.assertEqual([], fleet.desks[0].arrivals)
            self.assertEqual({503}, {r.status for r in responses})
            waits = [float(r.headers["retry-after"]) for r in responses]
            self.assertGreaterEqual(min(waits), 1.3)
            # They do not return as one wave, though all wait for one moment.
            returns = sorted(
                answered_at_s[n] + wait for n, wait in enumerate(waits)
            )
            self.assertGreater(returns[-1] - returns[0], 0.8)

    @async_tests.in_loop
    async def test_first_requests_after_the_end_are_no_burst(self):
        async with gateway_fleet.GatewayFleet(desks=1) as fleet:
            node = await self.start(fleet, "0.5")
            fleet.desks[0].default_behaviour = fake_endpoint.never_respond
            await asyncio.sleep(0.5)
            requests = [
                asyncio.ensure_future(
                    node.request("/safe/", attempt_id=f"a{n}")
                )
                for n in range(20)
            ]
            await asyncio.sleep(0.2)
            self.assertEqual(1, len(fleet.desks[0].arrivals))
            for request in requests:
                request.cancel()

    @async_tests.in_loop
    async def test_endpoint_that_takes_requests_again_gets_all(self):
        async with gateway_fleet.GatewayFleet(desks=1) as fleet:
            node = await self.start(fleet, "0.3")
            await asyncio.sleep(0.35)
            self.assertEqual(200, (await node.request("/safe/")).status)
            responses = await send_for(node, 0.5)
            self.assertEqual({200}, {r.status for r in responses})

    @async_tests.in_loop
    async def test_later_end_counts_of_several_answers(self):
        async with gateway_fleet.GatewayFleet(desks=1) as fleet:
            node = await fleet.start_node()
            fleet.desks[0].behaviours = [refuse("1.5"), refuse("0.1")]
            await asyncio.gather(
                node.request("/safe/"), node.request("/safe/", attempt_id="b")
            )
            fleet.desks[0].arrivals.clear()
            await send_for(node, 1.2)
            self.assertEqual([], fleet.desks[0].arrivals)

    @async_tests.in_loop
    async def test_bad_values_stop_nothing(self):
        for values in (
            ("-1",),
            ("0",),
            ("nan",),
            ("inf",),
            ("9" * 400,),
            ("",),
            ("Wed, 21 Oct 2026 07:28:00 GMT",),
            ("5", "6"),
        ):
            async with gateway_fleet.GatewayFleet(desks=1) as fleet:
                node = await self.start(fleet, *values)
                responses = await send_for(node, 0.2)
                self.assertEqual({200}, {r.status for r in responses}, values)

    @async_tests.in_loop
    async def test_pause_counts_only_in_a_refusal(self):
        for status, seal in (
            ("200 OK", True),
            ("500 Internal Server Error", True),
            ("503 Service Unavailable", False),
        ):
            async with gateway_fleet.GatewayFleet(desks=1) as fleet:
                node = await fleet.start_node()
                fleet.desks[0].behaviours = [
                    fake_endpoint.respond_status(
                        status, "Retry-After: 5", seal=seal
                    )
                ]
                await node.request("/safe/")
                node.gateway.directory.record_success("desk-0")
                responses = await send_for(node, 0.2)
                self.assertEqual({200}, {r.status for r in responses}, status)

    @async_tests.in_loop
    async def test_pause_ends_with_its_process(self):
        async with gateway_fleet.GatewayFleet(desks=1) as fleet:
            node = await self.start(fleet, "60")
            fleet.register(fleet.desks[0], "desk", born=1_700_000_009_000)
            async with asyncio.timeout(3.0):
                while (await node.request("/safe/")).status != 200:
                    await asyncio.sleep(0.05)
