"""Requests that expect certain weights, and the endpoints that refuse them."""

import testtools

from tests.support import async_tests
from tests.support import fake_endpoint
from tests.support import gateway_fleet

_EXPECTS = "X-Fireflyspur-Expect-Version"
_REFUSED = "421 Misdirected Request"
_NOT_RUN = "X-Fireflyspur-Not-Executed: weights"
# Requests of which one reaches each of two equal endpoints.
_MAX_REQUESTS = 40


def _with_version(version, *more):
    """Return a behaviour of an endpoint whose weights have a version.

    :param more: further header lines of a refusal
    """

    async def behaviour(worker, arrival, stream):
        expected = arrival.headers.get(_EXPECTS.lower())
        if expected in (None, str(version)):
            await fake_endpoint.respond_plain(worker, arrival, stream)
            return
        refuse = fake_endpoint.respond_status(_REFUSED, _NOT_RUN, *more)
        await refuse(worker, arrival, stream)

    return behaviour


def _respond_as(instance):
    """Return a behaviour of an endpoint that took over an address."""

    async def behaviour(worker, arrival, stream):
        head = (
            f"HTTP/1.1 {_REFUSED}\r\n"
            f"X-Fireflyspur-Attempt-Id: {arrival.attempt_id}\r\n"
            f"X-Fireflyspur-Instance-Id: {instance}\r\n"
            f"{_NOT_RUN}\r\nContent-Length: 0\r\n\r\n"
        )
        await stream.write(head.encode())

    return behaviour


class ExpectedVersionTest(testtools.TestCase):
    """Guards against one caller that takes endpoints from all others."""

    async def send(self, fleet, behaviours):
        """Send requests that expect versions; return the nodes."""
        nodes = [await fleet.start_node(node_name=f"node-{n}") for n in (1, 2)]
        for desk, behaviour in zip(fleet.desks, behaviours, strict=True):
            desk.default_behaviour = behaviour
        for number in range(12):
            version = number % 3
            response = await nodes[0].request(
                "/safe/",
                attempt_id=f"v{number}",
                extra=[f"{_EXPECTS}: {version}"],
            )
            if version == 0:
                self.assertEqual(503, response.status)
        return nodes

    # Six refusals took all endpoints of a service out of use on all nodes.
    @async_tests.in_loop
    async def test_endpoints_with_other_weights_stay_in_use(self):
        for more in ((), ("At-Server: desk-0",)):
            async with gateway_fleet.GatewayFleet() as fleet:
                nodes = await self.send(
                    fleet, [_with_version(1, *more), _with_version(2, *more)]
                )
                for node in nodes:
                    for desk in fleet.desks:
                        directory = node.gateway.directory
                        self.assertTrue(
                            directory.is_available(desk.instance), more
                        )
                    response = await node.request("/safe/")
                    self.assertEqual(200, response.status)

    @async_tests.in_loop
    async def test_address_that_another_endpoint_has_is_not_used(self):
        for extra in ([], [f"{_EXPECTS}: 1"]):
            async with gateway_fleet.GatewayFleet() as fleet:
                node = await fleet.start_node()
                desk = fleet.desks[0]
                desk.default_behaviour = _respond_as("other-9")
                # The first choice between equal endpoints is random.
                for _ in range(_MAX_REQUESTS):
                    await node.request("/safe/", extra=extra)
                    if desk.arrivals:
                        break
                for _ in range(6):
                    await node.request("/safe/", extra=extra)
                self.assertEqual(1, len(desk.arrivals))
                directory = node.gateway.directory
                self.assertFalse(directory.is_available("desk-0"))
                self.assertTrue(directory.is_available("desk-1"))
