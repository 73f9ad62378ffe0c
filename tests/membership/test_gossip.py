"""Gossip and urgent updates between gRPC servers in one process."""

import asyncio
import contextlib
import dataclasses
import random

import testtools

from fireflyspur.membership import gossiper as gossipers
from fireflyspur.membership import member
from fireflyspur.membership import member_table
from fireflyspur.membership import peer_client
from fireflyspur.membership import peer_server
from fireflyspur.membership import update_bus
from fireflyspur.membership import urgent_update as urgent

State = member.MemberState
_ROUNDS = 200


class Peer:
    def __init__(self, name, domain, incarnation=1000):
        self.table = member_table.MemberTable(
            member.Member(name, "127.0.0.1", 0, domain, incarnation)
        )
        self.client = peer_client.PeerClient()
        source = random.Random(name)
        self.gossiper = gossipers.Gossiper(
            self.table,
            self.client,
            lambda: gossipers.Heartbeat(0, 0.0, True),
            random_source=source,
        )
        self.bus = update_bus.UpdateBus(self.table, self.client, source)
        self.server = peer_server.PeerServer(
            self.gossiper, self.bus, lambda after: None
        )
        self.received = []
        self.bus.subscribe(urgent.EndpointLeaving, self.received.append)

    async def start(self, stack):
        port = await self.server.start("127.0.0.1", 0)
        self.table.set_own_port(port)
        stack.push_async_callback(self.client.close)
        stack.push_async_callback(self.server.close)
        stack.push_async_callback(self.bus.close)

    def state_of(self, name):
        found = self.table.get(name)
        return found.state if found else None


async def start_peers(stack, count):
    """Start peers that each know only the first one."""
    peers = [Peer(f"n{i}", f"domain-{i % 3}") for i in range(count)]
    for peer in peers:
        await peer.start(stack)
    for peer in peers[1:]:
        peer.table.set_candidates([peers[0].table.own])
    return peers


async def run_until(peers, condition):
    """Run periods without pauses until a condition is true."""
    for _ in range(_ROUNDS):
        if condition():
            return
        await asyncio.gather(*(p.gossiper.run_period() for p in peers))
    raise AssertionError("the condition was not reached")


def knows_all(peers):
    names = sorted(p.table.own.name for p in peers)
    return lambda: all(p.table.live_names() == names for p in peers)


class TestGossip(testtools.TestCase):
    def run_with_peers(self, count, check):
        async def run():
            async with contextlib.AsyncExitStack() as stack:
                peers = await start_peers(stack, count)
                await run_until(peers, knows_all(peers))
                await check(peers, stack)

        asyncio.run(run())

    def test_all_nodes_join_through_one_seed(self):
        async def check(peers, stack):
            pass

        self.run_with_peers(12, check)

    def test_stopped_member_is_suspected_by_all(self):
        async def check(peers, stack):
            await peers[-1].server.close()
            rest = peers[:-1]
            await run_until(
                rest,
                lambda: all(
                    p.state_of("n4") in (State.SUSPECT, State.DEAD)
                    for p in rest
                ),
            )

        self.run_with_peers(5, check)

    def test_wrong_suspicion_is_refuted_everywhere(self):
        async def check(peers, stack):
            target = peers[2].table.own
            peers[0].table.apply(dataclasses.replace(target, state=State.DEAD))
            await run_until(
                peers,
                lambda: all(
                    p.table.get("n2").incarnation > target.incarnation
                    and p.state_of("n2") is State.ALIVE
                    for p in peers
                ),
            )

        self.run_with_peers(5, check)

    def test_suspected_member_is_informed_after_updates_are_sent(self):
        """Guards against a live member that cannot refute its death."""

        async def check(peers, stack):
            target = peers[2].table.own
            dead = dataclasses.replace(target, state=State.DEAD)
            for peer in peers[:2]:
                peer.table.apply(dead)
                while peer.table.take_updates():
                    pass
            self.assertTrue(
                await peers[2].gossiper.exchange(peers[0].table.own)
            )
            self.assertEqual(
                target.incarnation + 1, peers[2].table.own.incarnation
            )

        self.run_with_peers(3, check)

    def test_partitioned_nodes_rejoin_after_removing_each_other(self):
        """Guards against a partition that outlasts the network failure."""

        async def run():
            async with contextlib.AsyncExitStack() as stack:
                pair = [Peer("n0", "a"), Peer("n1", "b")]
                for peer in pair:
                    await peer.start(stack)
                for peer, other in zip(pair, pair[::-1], strict=True):
                    dead = dataclasses.replace(
                        other.table.own, state=State.DEAD
                    )
                    peer.table.apply(dead)
                    peer.table.set_candidates([other.table.own])
                await run_until(pair, knows_all(pair))

        asyncio.run(run())

    def test_indirect_probe_keeps_a_member_behind_a_broken_link(self):
        """Guards against the removal of a member that others still reach."""

        async def check(peers, stack):
            target = peers[3].table.own.target
            peers[0].client.exchange = _break_link(
                peers[0].client.exchange, target
            )
            states = []
            peers[0].table.add_listener(
                lambda previous, current: states.append(current.state)
            )
            for _ in range(12):
                await peers[0].gossiper.run_period()
            self.assertNotIn(State.SUSPECT, states)
            peers[0].client.probe = _no_probe
            await run_until(
                peers[:1],
                lambda: peers[0].state_of("n3") is State.SUSPECT,
            )

        self.run_with_peers(5, check)

    def test_restarted_member_replaces_its_previous_process(self):
        async def check(peers, stack):
            await peers[-1].server.close()
            restarted = Peer("n4", "domain-1", incarnation=50_000)
            await restarted.start(stack)
            restarted.table.set_candidates([peers[0].table.own])
            running = [*peers[:-1], restarted]
            await run_until(
                running,
                lambda: all(
                    p.table.get("n4").incarnation == 50_000
                    and p.state_of("n4") is State.ALIVE
                    for p in running
                ),
            )
            self.assertTrue(peers[0].table.is_dead("n4", 1000))

        self.run_with_peers(5, check)

    def test_restart_during_a_probe_is_not_suspected(self):
        """Guards against the suspicion of a process that was not probed."""
        peer = Peer("n0", "a")
        previous = member.Member("n1", "127.0.0.1", 1, "b", 1000)
        restarted = dataclasses.replace(previous, incarnation=50_000)
        peer.table.apply(previous)

        async def restart_and_fail(target, gossip, timeout_s):
            peer.table.apply(restarted)

        peer.client.exchange = restart_and_fail
        asyncio.run(peer.gossiper.run_period())
        self.assertEqual(restarted, peer.table.get("n1"))

    def test_leaving_state_spreads_by_gossip_without_updates(self):
        async def check(peers, stack):
            peers[1].table.set_own_state(State.LEAVING)
            await run_until(
                peers,
                lambda: all(
                    "n1" not in p.table.live_names()
                    and p.state_of("n1") is State.LEAVING
                    for p in peers
                ),
            )

        self.run_with_peers(8, check)

    def test_urgent_update_reaches_each_member_once(self):
        """Guards against members that no random push reaches."""

        async def check(peers, stack):
            # All peers share one event loop here. More updates at once would
            # delay it by the timeout of a push, which isn't tested here.
            for first in range(0, 40, 4):
                for port in range(first, first + 4):
                    peers[0].bus.publish(
                        urgent.EndpointLeaving(
                            "engine", "e", "127.0.0.1", port
                        )
                    )
                while any(p.bus.is_pushing for p in peers):
                    await asyncio.gather(*(p.bus.flush() for p in peers))
            for peer in peers[1:]:
                ports = sorted(update.port for update in peer.received)
                self.assertEqual(list(range(40)), ports)

        self.run_with_peers(12, check)

    def test_update_is_pushed_to_another_failure_domain(self):
        peer = Peer("n0", "a")
        for number in range(30):
            domain = "b" if number == 7 else "a"
            peer.table.apply(
                member.Member(f"m{number}", "127.0.0.1", 1, domain, 1)
            )
        for _ in range(50):
            targets = peer.bus.choose_targets()
            self.assertEqual(3, len({t.name for t in targets}))
            self.assertIn("b", [t.failure_domain for t in targets])


def _break_link(exchange, broken_target):
    async def exchange_unless_broken(target, gossip, timeout_s):
        if target == broken_target:
            return None
        return await exchange(target, gossip, timeout_s)

    return exchange_unless_broken


async def _no_probe(target, request, timeout_s):
    return False
