"""Nodes of a deployment whose failure domains are evacuated."""

import asyncio
import dataclasses
import json
import time

import testtools

from fireflyspur.gateway.configuration import evacuations
from tests.support import async_tests
from tests.support import captured_logs
from tests.support import fake_endpoint
from tests.support import gateway_fleet

# Nodes read the store at half of it, and must not be held up for the rest.
_BOUND_S = 3.0
_IN_PARTS = ["X-Fireflyspur-Token-Count: 200000,100"]
_LONG = ["X-Fireflyspur-Token-Count: 600000,100"]


class _EvacuationTest(testtools.TestCase):
    """The second worker of each service is in the domain ``zone-b``."""

    async def start(self, fleet, count=1, zones=("zone-a", "zone-b"), **more):
        for workers, service in (
            (fleet.desks, "desk"),
            (fleet.engines, "models"),
        ):
            for number, worker in enumerate(workers):
                zone = zones[number % len(zones)]
                fleet.register(worker, service, zone=zone)
        nodes = [
            await self.start_node(fleet, n, **more)
            for n in range(1, count + 1)
        ]
        await wait_known(*nodes)
        return nodes[0] if count == 1 else nodes

    async def start_node(self, fleet, number, **changes):
        return await fleet.start_node(
            node_name=f"node-{number}",
            **{
                # Endpoints of both domains are equally near.
                "failure_domain": "zone-c",
                "evacuate_s": _BOUND_S,
                "outer_s": 2.0,
                **changes,
            },
        )

    async def wait_evacuated(self, nodes, *domains, timeout_s=_BOUND_S):
        await gateway_fleet.wait_until(
            lambda: all(evacuated(n) == set(domains) for n in nodes), timeout_s
        )

    async def send(self, node, count=6, **options):
        """Send requests of each kind; returns their statuses."""
        responses = [
            await node.request(path, attempt_id=f"{path}-{n}", **options)
            for n in range(count)
            for path in ("/safe/", "/chat/")
        ]
        return {r.status for r in responses}


async def wait_known(*nodes):
    """Wait until nodes hear one another."""
    await gateway_fleet.wait_until(
        lambda: all(
            len(n.gateway.link.peers.live_names()) == len(nodes) for n in nodes
        )
    )


def evacuated(node):
    return set(node.gateway.link.evacuations.in_force)


def evacuate_now(node, *domains):
    """Let a node know of an evacuation in this step."""
    known = node.gateway.link.evacuations
    known.update_from_peer(
        evacuations.EvacuationState(
            0, known.state.position + 1, frozenset(domains)
        ),
        None,
    )


def make_deaf(node):
    """Lose all datagrams to a node."""
    node.gateway.link.channel.datagram_received = lambda data, sender: None


def pretend_suspension(node):
    """Let a node notice that it was suspended until now."""
    node.gateway.link._detector._ticked_at_s -= 60.0


def arrived(*workers):
    return [a.attempt_id for w in workers for a in w.arrivals]


class EvacuationTest(_EvacuationTest):
    """Guards against requests to an evacuated domain, and to none after it."""

    @async_tests.in_loop
    async def test_domain_is_left_at_once_and_used_again(self):
        async with gateway_fleet.GatewayFleet() as fleet:
            nodes = await self.start(fleet, 2)
            inside = (fleet.desks[1], fleet.engines[1])
            fleet.evacuate("zone-b")
            await self.wait_evacuated(nodes, "zone-b", timeout_s=1.0)
            fleet.clear_arrivals()
            with captured_logs.capture() as records:
                for node in nodes:
                    self.assertEqual({200}, await self.send(node))
            self.assertEqual([], arrived(*inside))
            messages = [r["message"] for r in records]
            self.assertNotIn("Request not sent", messages)
            text = await nodes[0].metrics()
            self.assertIn("fireflyspur_evacuated_domains 1.0", text)
            fleet.cancel_evacuation("zone-b")
            await self.wait_evacuated(nodes, timeout_s=1.0)
            for node in nodes:
                self.assertEqual({200}, await self.send(node, 20))
            for worker in inside:
                self.assertNotEqual([], arrived(worker))

    @async_tests.in_loop
    async def test_requests_are_refused_at_once_if_no_domain_is_left(self):
        async with gateway_fleet.GatewayFleet() as fleet:
            node = await self.start(fleet)
            fleet.evacuate("zone-b")
            fleet.evacuate("zone-a")
            await self.wait_evacuated([node], "zone-a", "zone-b")
            fleet.clear_arrivals()
            for path in ("/safe/", "/unsafe/", "/chat/"):
                started_s = time.monotonic()
                response = await node.request(path)
                self.assertLess(time.monotonic() - started_s, 0.2)
                self.assertEqual(503, response.status)
                self.assertIn("retry-after", response.headers)
                self.assertIn(b"evacuated", response.body)
            self.assertEqual([], fleet.arrivals)
            fleet.cancel_evacuation("zone-a")
            await self.wait_evacuated([node], "zone-b")
            self.assertEqual({200}, await self.send(node))

    @async_tests.in_loop
    async def test_streams_that_run_there_go_on(self):
        async with gateway_fleet.GatewayFleet(engines=1) as fleet:
            node = await self.start(fleet, zones=("zone-b",))
            (engine,) = fleet.engines
            engine.default_behaviour = fake_endpoint.respond_events(
                20, pause_s=0.05
            )
            streaming = asyncio.ensure_future(node.request("/once/"))
            await gateway_fleet.wait_until(lambda: engine.arrivals)
            fleet.evacuate("zone-b")
            await self.wait_evacuated([node], "zone-b")
            response = await streaming
        self.assertEqual((200, True), (response.status, response.is_complete))
        self.assertIn(fake_endpoint.event(20), response.body)

    @async_tests.in_loop
    async def test_records_mean_nothing_without_a_bound(self):
        async with gateway_fleet.GatewayFleet() as fleet:
            node = await self.start(fleet, evacuate_s=None)
            fleet.evacuate("zone-a")
            fleet.evacuate("zone-b")
            await asyncio.sleep(1.0)
            self.assertEqual({200}, await self.send(node, 2))
            node.load_result = dataclasses.replace(
                node.settings, evacuate_s=_BOUND_S
            )
            await self.wait_evacuated([node], "zone-a", "zone-b")


class KnowledgeTest(_EvacuationTest):
    """Guards against nodes that overlook an evacuation.

    Datagrams are lost, the store refuses some nodes, nodes start late.
    """

    @async_tests.in_loop
    async def test_node_that_hears_nothing_reads_the_store(self):
        async with gateway_fleet.GatewayFleet() as fleet:
            nodes = await self.start(fleet, 3)
            for node in nodes:
                make_deaf(node)
            fleet.evacuate("zone-b")
            await self.wait_evacuated(nodes, "zone-b")

    # The version of the configuration was confirmed by nodes that tell
    # nothing of evacuations, so that nothing was read.
    @async_tests.in_loop
    async def test_node_reads_the_store_beside_nodes_of_an_older_build(self):
        async with gateway_fleet.GatewayFleet() as fleet:
            olds = await self.start(fleet, 3, evacuate_s=None)
            node = await self.start_node(fleet, 9)
            for _ in range(3):
                fleet.evacuate("zone-b")
                await self.wait_evacuated([node], "zone-b")
                fleet.cancel_evacuation("zone-b")
                await self.wait_evacuated([node])
            self.assertEqual(set(), evacuated(olds[0]))

    @async_tests.in_loop
    async def test_node_that_the_store_refuses_is_told(self):
        async with gateway_fleet.GatewayFleet() as fleet:
            view = fleet.open_store()
            first = await self.start(fleet)
            refused = await self.start_node(fleet, 2, store=view.address)
            await wait_known(first, refused)
            for fault in ("busy", "silent"):
                view.fault = fault
                # Calls that are under way end before.
                await asyncio.sleep(1.0)
                fleet.evacuate("zone-b")
                await self.wait_evacuated([first, refused], "zone-b")
                fleet.cancel_evacuation("zone-b")
                await self.wait_evacuated([first, refused])

    @async_tests.in_loop
    async def test_node_that_starts_sends_nothing_there(self):
        async with gateway_fleet.GatewayFleet() as fleet:
            first = await self.start(fleet)
            fleet.evacuate("zone-b")
            await self.wait_evacuated([first], "zone-b")
            fleet.clear_arrivals()
            fleet.store.delay_s = 0.2
            started = await self.start_node(fleet, 2, is_configured=False)
            # Requests may come before it is ready.
            statuses = set()
            while not started.gateway.is_ready:
                statuses |= await self.send(started, 1)
            self.assertEqual({200}, await self.send(started))
            self.assertIn(503, statuses)
            inside = (fleet.desks[1], fleet.engines[1])
            self.assertEqual([], arrived(*inside))

    @async_tests.in_loop
    async def test_last_state_stays_in_force_while_the_store_is_down(self):
        async with gateway_fleet.GatewayFleet() as fleet:
            node = await self.start(fleet)
            fleet.evacuate("zone-b")
            await self.wait_evacuated([node], "zone-b")
            fleet.clear_arrivals()
            for fault in ("busy", "silent", "reset"):
                fleet.store.fault = fault
                await asyncio.sleep(0.5)
                self.assertEqual({200}, await self.send(node, 2))
            inside = (fleet.desks[1], fleet.engines[1])
            self.assertEqual([], arrived(*inside))

    @async_tests.in_loop
    async def test_invalid_configuration_beside_an_evacuation(self):
        async with gateway_fleet.GatewayFleet() as fleet:
            node = await self.start(fleet)
            fleet.evacuate("zone-b")
            fleet.store.put("keyed.op", "config", b"{")
            await self.wait_evacuated([node], "zone-b")
            self.assertEqual({200}, await self.send(node, 2))

    @async_tests.in_loop
    async def test_store_restored_from_an_older_copy(self):
        async with gateway_fleet.GatewayFleet() as fleet:
            nodes = await self.start(fleet, 2)
            copies = fleet.store.copy_records()
            fleet.evacuate("zone-b")
            await self.wait_evacuated(nodes, "zone-b")
            with captured_logs.capture() as records:
                fleet.store.restore(copies)
                await asyncio.sleep(1.5)
                await self.wait_evacuated(nodes, "zone-b")
            messages = [r["message"] for r in records]
            self.assertIn("Evacuations kept after restore", messages)
            self.assertNotIn("Evacuation ended", messages)
            # A node that starts now is told.
            later = await self.start_node(fleet, 3)
            await self.wait_evacuated([later], "zone-b")


class SendTest(_EvacuationTest):
    """Guards against requests that were placed just before an evacuation."""

    @async_tests.in_loop
    async def test_request_that_waits_for_a_connection(self):
        async with gateway_fleet.GatewayFleet() as fleet:
            node = await self.start(fleet)
            reachable = node.gateway._reachability
            connect = reachable.connect

            async def evacuate_and_connect(endpoint, *args):
                reachable.connect = connect
                chosen.append(endpoint)
                evacuate_now(node, endpoint.failure_domain)
                return await connect(endpoint, *args)

            for path in ("/safe/", "/unsafe/", "/chat/", "/once/"):
                chosen = []
                evacuate_now(node)
                fleet.clear_arrivals()
                reachable.connect = evacuate_and_connect
                self.assertEqual(200, (await node.request(path)).status)
                (arrival,) = fleet.arrivals
                instance = arrival.headers["x-fireflyspur-expect-instance"]
                self.assertNotEqual(chosen[0].instance, instance)

    @async_tests.in_loop
    async def test_request_of_a_node_that_was_suspended(self):
        async with gateway_fleet.GatewayFleet() as fleet:
            view = fleet.open_store()
            await self.start(fleet)
            node = await self.start_node(fleet, 2, store=view.address)
            make_deaf(node)
            view.fault = "busy"
            # The call that is under way ends before.
            await asyncio.sleep(1.0)
            fleet.evacuate("zone-b")
            await asyncio.sleep(0.1)
            self.assertEqual(set(), evacuated(node))
            fleet.clear_arrivals()
            view.fault = None
            view.delay_s = 0.4
            pretend_suspension(node)
            requests = [
                node.request("/safe/", attempt_id=f"late-{n}")
                for n in range(8)
            ]
            responses = await asyncio.gather(*requests)
            self.assertEqual({200}, {r.status for r in responses})
            self.assertEqual([], arrived(fleet.desks[1]))

    async def assert_moves_within_its_domain(self, path, first):
        """Evacuate the other domain when the first attempt arrives.

        :param first: behaviour of the endpoint that gets it
        """

        async def evacuate_other(worker, arrival, stream):
            for other in workers:
                other.behaviours = []
            number = workers.index(worker)
            evacuate_now(node, "zone-a" if number % 2 else "zone-b")
            await first(worker, arrival, stream)

        async with gateway_fleet.GatewayFleet(desks=4, engines=4) as fleet:
            node = await self.start(fleet)
            workers = fleet.desks if path == "/safe/" else fleet.engines
            for _ in range(6):
                evacuate_now(node)
                fleet.clear_arrivals()
                for worker in workers:
                    worker.behaviours = [evacuate_other]
                    node.gateway.directory.record_success(worker.instance)
                response = await node.request(path)
                self.assertEqual(200, response.status)
                numbers = [n for n in range(4) if arrived(workers[n])]
                self.assertIn(numbers, ([0, 2], [1, 3]))

    @async_tests.in_loop
    async def test_retry_stays_outside(self):
        await self.assert_moves_within_its_domain(
            "/safe/",
            fake_endpoint.respond_status(
                "503 Service Unavailable", "X-Fireflyspur-Not-Executed: 1"
            ),
        )

    @async_tests.in_loop
    async def test_stream_is_resumed_outside(self):
        await self.assert_moves_within_its_domain(
            "/chat/", fake_endpoint.respond_events(9, stop_after=4)
        )

    @async_tests.in_loop
    async def test_helpers_are_outside(self):
        async with gateway_fleet.GatewayFleet(engines=4) as fleet:
            node = await self.start(fleet)
            fleet.evacuate("zone-b")
            await self.wait_evacuated([node], "zone-b")
            response = await node.request("/chat/", extra=_IN_PARTS)
            self.assertEqual(200, response.status)
            inside = (fleet.engines[1], fleet.engines[3])
            self.assertEqual([], arrived(*inside))
            # Both engines outside read the prompt together.
            (arrival,) = fleet.arrivals
            outside = {str(fleet.engines[n].address) for n in (0, 2)}
            self.assertIn(arrival.headers["x-fireflyspur-helpers"], outside)

    @async_tests.in_loop
    async def test_helper_is_evacuated_while_its_group_connects(self):
        for tokens in (_IN_PARTS, _LONG):
            async with gateway_fleet.GatewayFleet(engines=4) as fleet:
                node = await self.start(fleet)
                reachable = node.gateway._reachability
                connect = reachable.connect

                async def evacuate_helpers(endpoint, *args):
                    reachable.connect = connect
                    own = endpoint.failure_domain
                    evacuate_now(node, *({"zone-a", "zone-b"} - {own}))
                    return await connect(endpoint, *args)

                reachable.connect = evacuate_helpers
                response = await node.request("/chat/", extra=tokens)
                self.assertEqual(200, response.status)
                (domain,) = evacuated(node)
                (prompt,) = [
                    a for a in fleet.arrivals if a.target != "/api/order"
                ]
                inside = fleet.engines[0 if domain == "zone-a" else 1 :: 2]
                for engine in inside:
                    self.assertNotIn(prompt, engine.arrivals)
                    self.assertNotIn(
                        str(engine.address),
                        prompt.headers["x-fireflyspur-helpers"],
                    )

    @async_tests.in_loop
    async def test_order_for_memory_that_was_placed_just_before(self):
        async with gateway_fleet.GatewayFleet(engines=4) as fleet:
            node = await self.start(fleet)
            reserver = node.gateway._memory_reserver
            reserve = reserver.reserve

            def evacuate_and_reserve(*args):
                evacuate_now(node, "zone-b")
                return reserve(*args)

            reserver.reserve = evacuate_and_reserve
            response = await node.request("/chat/", extra=_LONG)
            self.assertEqual(200, response.status)
            # What may have been reserved is released in any case.
            targets = {
                json.loads(a.body)["operation"]
                for n in (1, 3)
                for a in fleet.engines[n].arrivals
            }
            self.assertLessEqual(targets, {"release"})

    @async_tests.in_loop
    async def test_group_that_waits_for_memory(self):
        async with gateway_fleet.GatewayFleet(engines=4) as fleet:
            node = await self.start(fleet)

            async def evacuate(worker, arrival, stream):
                if arrival.target != "/api/order":
                    prompts.append((worker, str(arrival.headers)))
                    await fake_endpoint.respond_events()(
                        worker, arrival, stream
                    )
                    return
                evacuate_now(node, "zone-b")
                respond = fake_endpoint.respond_status("200 OK", body=b"{}")
                await respond(worker, arrival, stream)

            prompts = []
            for engine in fleet.engines:
                engine.default_behaviour = evacuate
            response = await node.request("/chat/", extra=_LONG)
            self.assertEqual(200, response.status)
            for worker, headers in prompts:
                for engine in (fleet.engines[1], fleet.engines[3]):
                    self.assertIsNot(engine, worker)
                    self.assertNotIn(str(engine.address), headers)
