"""Stops, suspensions and restarts of nodes that are real processes."""

import asyncio
import signal
import tempfile

import testtools

from tests.support import async_tests
from tests.support import fake_endpoint
from tests.support import gateway_fleet
from tests.support import platform_process

_WITHDRAWN_KEY = "key-withdrawn"
# The store ends a wait for a change before this time, so that the change
# below is not in an answer that already waits for the suspended process.
_BEFORE_CHANGE_S = 1.6
# Beyond the bounds of the configuration and of leaving endpoints.
_AFTER_CHANGE_S = 2.4


def config(version, *keys):
    account = {"name": gateway_fleet.ACCOUNT, "api_keys": list(keys)}
    return gateway_fleet.config(version=version, tenants=[account])


class _ProcessTest(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.folder = self.enterContext(tempfile.TemporaryDirectory())

    def node(self, fleet, name="node-1", **options):
        return platform_process.PlatformProcess(
            fleet, self.folder, name, **options
        )


class SuspensionTest(_ProcessTest):
    """Guards against a suspended process that acts on what has run out."""

    @async_tests.in_loop
    async def test_withdrawn_key_and_leaving_endpoint_are_not_used(self):
        async with gateway_fleet.GatewayFleet(desks=2) as fleet:
            fleet.publish(config(1, gateway_fleet.KEY, _WITHDRAWN_KEY))
            fleet.store.delay_s = 0.1
            async with self.node(fleet) as node:
                await node.wait_until_ready()
                node.send_signal(signal.SIGSTOP)
                await asyncio.sleep(_BEFORE_CHANGE_S)
                fleet.publish(config(2, gateway_fleet.KEY))
                fleet.register(fleet.desks[0], "desk", state="draining")
                await asyncio.sleep(_AFTER_CHANGE_S)
                withdrawn = [
                    asyncio.ensure_future(
                        node.request("/safe/", key=_WITHDRAWN_KEY)
                    )
                    for _ in range(4)
                ]
                valid = [
                    asyncio.ensure_future(node.request("/safe/"))
                    for _ in range(12)
                ]
                await asyncio.sleep(0.1)
                node.send_signal(signal.SIGCONT)
                withdrawn = await asyncio.gather(*withdrawn)
                valid = await asyncio.gather(*valid)
            leaving, serving = fleet.desks
        self.assertEqual([401] * 4, [r.status for r in withdrawn])
        self.assertEqual([200] * 12, [r.status for r in valid])
        self.assertEqual(0, len(leaving.arrivals))
        self.assertEqual(12, len(serving.arrivals))

    @async_tests.in_loop
    async def test_request_is_served_at_once_when_the_store_is_down(self):
        async with gateway_fleet.GatewayFleet(desks=2) as fleet:
            fleet.publish(config(1, gateway_fleet.KEY))
            async with self.node(fleet) as node:
                await node.wait_until_ready()
                fleet.store.fault = "silent"
                node.send_signal(signal.SIGSTOP)
                await asyncio.sleep(_BEFORE_CHANGE_S + _AFTER_CHANGE_S)
                node.send_signal(signal.SIGCONT)
                loop = asyncio.get_running_loop()
                started_s = loop.time()
                response = await node.request("/safe/", deadline_ms=4_000)
                elapsed_s = loop.time() - started_s
        self.assertEqual(200, response.status)
        self.assertLess(elapsed_s, 1.5)


class HeldUpTest(_ProcessTest):
    """Guards against callers that are blamed for a node that was held up."""

    async def pause_while_sending(self, cut):
        """Return responses to requests whose rest arrives during a pause.

        :param cut: number of bytes that arrive during the pause
        """
        async with gateway_fleet.GatewayFleet(desks=1) as fleet:
            fleet.publish(config(1, gateway_fleet.KEY))
            async with self.node(fleet) as node:
                await node.wait_until_ready()
                connections = [await node.connect() for _ in range(5)]
                data = gateway_fleet.request_bytes(
                    "/safe/", body=b"x" * 1_000, deadline_ms=4_000
                )
                for _, writer in connections:
                    writer.write(data[:-cut])
                await asyncio.sleep(0.1)
                node.send_signal(signal.SIGSTOP)
                for _, writer in connections:
                    writer.write(data[-cut:])
                # Longer than the time limits of heads and idle connections.
                await asyncio.sleep(1.2)
                node.send_signal(signal.SIGCONT)
                responses = [
                    await gateway_fleet.read_response(reader)
                    for reader, _ in connections
                ]
                for _, writer in connections:
                    writer.close()
        return responses

    @async_tests.in_loop
    async def test_head_that_arrived_during_a_pause_is_read(self):
        responses = await self.pause_while_sending(cut=1_050)
        self.assertEqual([200] * 5, [r.status for r in responses])

    @async_tests.in_loop
    async def test_body_that_arrived_during_a_pause_is_read(self):
        responses = await self.pause_while_sending(cut=500)
        self.assertEqual([200] * 5, [r.status for r in responses])

    @async_tests.in_loop
    async def test_request_on_an_idle_connection_is_read_after_a_pause(self):
        async with gateway_fleet.GatewayFleet(desks=1) as fleet:
            fleet.publish(config(1, gateway_fleet.KEY))
            async with self.node(fleet) as node:
                await node.wait_until_ready()
                data = gateway_fleet.request_bytes("/safe/", deadline_ms=4_000)
                connections = [await node.connect() for _ in range(5)]
                for reader, writer in connections:
                    writer.write(data)
                    await gateway_fleet.read_response(reader)
                node.send_signal(signal.SIGSTOP)
                for _, writer in connections:
                    writer.write(data)
                await asyncio.sleep(1.2)
                node.send_signal(signal.SIGCONT)
                responses = [
                    await gateway_fleet.read_response(reader)
                    for reader, _ in connections
                ]
                for _, writer in connections:
                    writer.close()
        self.assertEqual([200] * 5, [r.status for r in responses])


class RestartTest(_ProcessTest):
    """Guards against a restarted node that trusts what peers remember."""

    @async_tests.in_loop
    async def test_withdrawn_key_and_left_endpoint_stay_out_of_use(self):
        async with gateway_fleet.GatewayFleet(desks=2) as fleet:
            fleet.publish(config(1, gateway_fleet.KEY, _WITHDRAWN_KEY))
            other = self.node(fleet, "node-2")
            async with self.node(fleet) as node, other:
                await node.wait_until_ready()
                await other.wait_until_ready()
                # The other node still knows the key and both endpoints.
                fleet.store.fault = "reset"
                await asyncio.sleep(0.3)
                fleet.publish(config(2, gateway_fleet.KEY))
                fleet.store.put("keyed.servers", "desk-0", b"")
                node.process.kill()
                await node.process.wait()
                await node.start()
                async with asyncio.timeout(10.0):
                    while await node.health_or_none() is None:
                        await asyncio.sleep(0.05)
                await asyncio.sleep(1.5)
                before = await node.request("/safe/", key=_WITHDRAWN_KEY)
                health = await node.health()
                fleet.store.fault = None
                await node.wait_until_ready()
                after = await node.request("/safe/", key=_WITHDRAWN_KEY)
                valid = [await node.request("/safe/") for _ in range(6)]
            arrivals = len(fleet.desks[0].arrivals)
        self.assertEqual((503, 503), (before.status, health))
        self.assertEqual(401, after.status)
        self.assertEqual([200] * 6, [r.status for r in valid])
        self.assertEqual(0, arrivals)


class PlannedStopTest(_ProcessTest):
    """Guards against a planned stop that cuts off accepted requests."""

    @async_tests.in_loop
    async def test_requests_under_load_are_answered(self):
        results = []

        async def call(node, number):
            body = f"request {number}".encode()
            try:
                connection = await node.connect()
            except OSError:
                # Refused: the caller goes to another node.
                return
            reader, writer = connection
            # Half of the requests arrive in two parts.
            data = gateway_fleet.request_bytes("/safe/", body=body)
            cut = len(data) // 2 if number % 2 else len(data)
            writer.write(data[:cut])
            await asyncio.sleep(0.25 * (number % 2))
            writer.write(data[cut:])
            try:
                response = await gateway_fleet.read_response(reader)
                results.append(response)
            except OSError as error:
                results.append(error)
            writer.close()

        async def respond_slowly(worker, arrival, stream):
            await asyncio.sleep(0.2)
            await fake_endpoint.respond_plain(worker, arrival, stream)

        async with gateway_fleet.GatewayFleet(desks=2) as fleet:
            fleet.publish(config(1, gateway_fleet.KEY))
            for desk in fleet.desks:
                desk.default_behaviour = respond_slowly
            async with self.node(fleet) as node:
                await node.wait_until_ready()
                calls = []
                node.send_signal(signal.SIGTERM)
                # The balancer goes on until it has seen two failed checks.
                for number in range(150):
                    calls.append(asyncio.ensure_future(call(node, number)))
                    await asyncio.sleep(0.02)
                await asyncio.gather(*calls)
                code = await node.wait_until_ended()
        self.assertEqual(0, code)
        self.assertEqual([], [r for r in results if not is_answered(r)])
        self.assertGreater(len(results), 100)

    @async_tests.in_loop
    async def test_request_that_outlasts_the_stop_gets_an_answer(self):
        routes = [gateway_fleet.route("safe", "safe", "desk", timeout_ms=9000)]
        async with gateway_fleet.GatewayFleet(desks=1) as fleet:
            fleet.publish(gateway_fleet.config(routes=routes))
            fleet.desks[0].default_behaviour = fake_endpoint.never_respond
            async with self.node(fleet, grace_s=4.5) as node:
                await node.wait_until_ready()
                call = asyncio.ensure_future(
                    node.request("/safe/", deadline_ms=9_000)
                )
                await gateway_fleet.wait_until(lambda: fleet.desks[0].arrivals)
                node.send_signal(signal.SIGTERM)
                async with asyncio.timeout(4.5):
                    response = await call
                code = await node.wait_until_ended()
        # It may have run, so the answer promises nothing else.
        self.assertEqual((504, True), (response.status, response.is_complete))
        self.assertEqual(0, code)


def is_answered(result):
    return (
        isinstance(result, gateway_fleet.Response)
        and result.is_complete
        and result.status == 200
    )
