"""Tests of waits of several nodes for the same engines, without a network."""

import asyncio
import types

import testtools

from fireflyspur.experiment import example_engine
from fireflyspur.gateway.common import clock
from fireflyspur.gateway.endpoints import endpoint as endpoints
from fireflyspur.gateway.endpoints import endpoint_directory
from fireflyspur.gateway.requests import admission
from fireflyspur.gateway.scheduling import engine_candidates
from fireflyspur.gateway.scheduling import in_flight_table
from fireflyspur.gateway.scheduling import latency_model
from fireflyspur.gateway.scheduling import placement
from tests.gateway.scheduling import test_placement
from tests.support import async_tests

_SLOTS = test_placement.ENGINE.slots
# Time after which an update has reached the other nodes.
_UPDATE_S = 0.003


class _Node:
    """A node, whose updates reach the other nodes late."""

    def __init__(self, nodes, engines):
        self.nodes = nodes
        self.sent = []
        self.results = []
        # Where a request is sent if no engine has room.
        self.guess = None
        self.table = in_flight_table.InFlightTable()
        directory = endpoint_directory.EndpointDirectory(3.6, 2.5)
        listed = tuple(map(example_engine.endpoint, range(engines)))
        candidates = engine_candidates.EngineCandidates.for_one_pool(
            directory, self.table
        )
        self.selector = placement.EndpointSelector(
            directory, self.table, candidates, "zone-a"
        )
        self.admission = admission.Admission(
            directory,
            self.table,
            candidates,
            lambda: len(nodes),
            lambda: None,
            lambda result, seconds: self.results.append(result),
        )
        directory.replace(endpoints.EndpointList(listed, clock.now_s()))

    async def place(self, demand, key, target_s=None):
        """Place a request as a runner does; return whether it was sent."""
        target_s = target_s or demand.target_s
        plan = types.SimpleNamespace(
            service=test_placement.SERVICE,
            route=types.SimpleNamespace(target_latency_s=target_s),
            info=types.SimpleNamespace(
                prompt_tokens=demand.prompt_tokens, attempt_id=key
            ),
            account_name="clinic",
            priority=1,
            deadline_s=clock.now_s() + 10,
            expected_duration_s=lambda: 2.0,
        )

        def place():
            found = self.selector.choose_engine(
                plan.service, demand, frozenset()
            )
            return found or self.guess

        trial = admission.Trial(
            lambda: demand,
            place,
            lambda: None,
            frozenset,
            lambda: True,
            lambda: True,
        )
        placed = await self.admission.place(plan, trial)
        if placed is None:
            return False
        request = in_flight(key, placed.primary.instance, demand)
        self.sent.append(key)
        self.table.add(request)
        for node in self.nodes:
            if node is not self:
                asyncio.get_running_loop().call_later(
                    _UPDATE_S, node.table.add, request
                )
        return True


def in_flight(key, instance, demand, age_s=0.0):
    now = clock.now_s()
    return in_flight_table.InFlightRequest(
        key=key,
        instance=instance,
        prefill=latency_model.full_prefill(demand.prompt_tokens),
        is_urgent=False,
        reports_prefill_end=False,
        memory_tokens=demand.prompt_tokens,
        target_s=demand.target_s,
        max_gap_s=demand.max_gap_s,
        weight=demand.weight,
        started_at_s=now - age_s,
        expires_at_s=now + 10,
        output_tokens=demand.output_tokens,
    )


class _FleetTest(testtools.TestCase):
    """Starts nodes that share engines."""

    def start(self, nodes, engines):
        fleet = []
        fleet.extend(_Node(fleet, engines) for _ in range(nodes))
        return fleet

    def fill(self, fleet, engines):
        """Take all slots by requests that may end at any moment."""
        requests = [
            in_flight(
                f"old/{engine}/{slot}",
                f"engine-{engine}",
                test_placement.QUOTE,
                age_s=5.0,
            )
            for engine in range(engines)
            for slot in range(_SLOTS)
        ]
        for node in fleet:
            for request in requests:
                node.table.add(request)
                node.table.mark_prefilled(request.key)

    def free(self, fleet, key):
        for node in fleet:
            node.table.remove(key)


class PeakTest(_FleetTest):
    """Guards against refusals and overfull engines at a peak of short prompts.

    After a phase of long prompts, or a restart of all nodes, more short
    prompts come than slots are free at the moment.
    """

    @async_tests.in_loop
    async def test_short_prompts_get_the_slots_of_ending_requests(self):
        fleet = self.start(8, 2)
        self.fill(fleet, 2)
        waiting = [
            asyncio.ensure_future(
                node.place(test_placement.QUOTE, f"new/{n}", target_s=1.6)
            )
            for n, node in enumerate(fleet)
        ]
        for slot in range(_SLOTS):
            await asyncio.sleep(0.015)
            self.free(fleet, f"old/0/{slot}")
        sent = await asyncio.gather(*waiting)
        await asyncio.sleep(0.01)
        self.assertEqual([True] * 8, sent)
        # Nodes that try at the same moment exceed the slots by a few at most.
        counts = [fleet[0].table.count(f"engine-{n}") for n in range(2)]
        self.assertLessEqual(max(counts), _SLOTS + 2)

    @async_tests.in_loop
    async def test_target_in_danger_is_served_first_on_a_node(self):
        fleet = self.start(1, 1)
        self.fill(fleet, 1)
        node = fleet[0]
        calm = test_placement.make_demand(45_000, 6.0, 0.5)
        long = asyncio.ensure_future(node.place(calm, "long"))
        await asyncio.sleep(0)
        hurried = test_placement.make_demand(5_000, 0.1, 0.5)
        short = asyncio.ensure_future(
            node.place(hurried, "short", target_s=1.0)
        )
        await asyncio.sleep(0.01)
        self.free(fleet, "old/0/0")
        await asyncio.sleep(0.01)
        self.assertEqual(["short"], node.sent)
        self.free(fleet, "old/0/1")
        await asyncio.gather(long, short)
        self.assertEqual(["short", "long"], node.sent)

    @async_tests.in_loop
    async def test_peak_after_a_restart_of_all_nodes(self):
        fleet = self.start(8, 3)
        places = []
        for number in range(3 * _SLOTS + 4):
            node = fleet[number % 8]
            places.append(
                asyncio.ensure_future(
                    node.place(
                        test_placement.QUOTE, f"new/{number}", target_s=1.6
                    )
                )
            )
            await asyncio.sleep(0.004)
        sent = await asyncio.gather(*places)
        # Those beyond the slots are refused, as no slot is free in time.
        self.assertGreaterEqual(sum(sent), 3 * _SLOTS)
        self.assertLessEqual(sum(sent), 3 * _SLOTS + 2)
        counts = [fleet[0].table.count(f"engine-{n}") for n in range(3)]
        self.assertLessEqual(max(counts), _SLOTS + 2)
        results = [result for node in fleet for result in node.results]
        self.assertIn("too_late", results)


class GuessTest(_FleetTest):
    """Guards against requests to engines that are most likely full.

    Pools report their engines with room; those of other domains that no
    report names refuse at a peak, and each refusal uses up an attempt.
    """

    def start_with_guess(self, output_tokens):
        (node,) = fleet = self.start(1, 1)
        demand = test_placement.make_demand(5_000, 1.6, 0.2, output_tokens)
        for slot in range(_SLOTS):
            request = in_flight(f"old/0/{slot}", "engine-0", demand)
            node.table.add(request)
        node.guess = placement.Placement(
            example_engine.endpoint(9),
            load_source=placement.LoadSource.UNKNOWN,
        )
        return fleet, asyncio.ensure_future(
            node.place(test_placement.QUOTE, "new", target_s=1.6)
        )

    @async_tests.in_loop
    async def test_slot_that_becomes_free_is_better_than_a_guess(self):
        fleet, sent = self.start_with_guess(output_tokens=10)
        await asyncio.sleep(0.05)
        self.free(fleet, "old/0/0")
        self.assertTrue(await sent)
        self.assertEqual(0, fleet[0].table.count("engine-9"))

    @async_tests.in_loop
    async def test_guess_is_better_than_a_refusal(self):
        fleet, sent = self.start_with_guess(output_tokens=10)
        self.assertTrue(await sent)
        self.assertEqual(["expired"], fleet[0].results)
        self.assertEqual(1, fleet[0].table.count("engine-9"))

    @async_tests.in_loop
    async def test_guess_is_sent_at_once_if_slots_stay_taken(self):
        fleet, sent = self.start_with_guess(output_tokens=3_000)
        self.assertTrue(await sent)
        self.assertEqual(["too_late"], fleet[0].results)
        self.assertEqual(1, fleet[0].table.count("engine-9"))
