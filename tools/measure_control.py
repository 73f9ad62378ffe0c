"""Measures the control traffic between nodes.

``gossip`` runs many members over loopback gRPC in one process and reports
bytes, messages and CPU of each, and the spread of urgent news. ``config``
starts node processes and reports the time from the acceptance of a record
until it is in force on all of them.
"""

import argparse
import asyncio
import contextlib
import dataclasses
import json
import math
import random
import sys
import time
from typing import Any
import urllib.request

from fireflyspur.membership import gossiper as gossipers
from fireflyspur.membership import member
from fireflyspur.membership import member_table
from fireflyspur.membership import peer_client
from fireflyspur.membership import peer_server
from fireflyspur.membership import update_bus
from fireflyspur.membership import urgent_update as urgent
from tools import byte_relay
from tools import fleet as fleets

BUDGET_BYTES_PER_S = 2048
BUDGET_CPU_SHARE = 0.015

_DOMAINS = ("aqaba-a", "aqaba-b", "maan-c")
_NEWS_TIMEOUT_S = 10.0
_NEWS_PAUSE_S = 0.5
_PERIOD_S = 1.0


class _Peer:
    def __init__(self, number: int, seed: int) -> None:
        self.table = member_table.MemberTable(
            member.Member(
                f"node-{number:03}",
                "127.0.0.1",
                0,
                _DOMAINS[number % len(_DOMAINS)],
                1_700_000_000_000 + number,
            )
        )
        self.client = peer_client.PeerClient()
        source = random.Random(f"{seed}-{number}")
        self.gossiper = gossipers.Gossiper(
            self.table,
            self.client,
            lambda: gossipers.Heartbeat(123_456, 0.8, True),
            _PERIOD_S,
            source,
        )
        self.bus = update_bus.UpdateBus(self.table, self.client, source)
        self.server = peer_server.PeerServer(
            self.gossiper, self.bus, lambda after: None
        )
        self.heard_at: dict[int, float] = {}
        self.bus.subscribe(urgent.EndpointLeaving, self._hear)

    def _hear(self, news: urgent.EndpointLeaving) -> None:
        self.heard_at[news.port] = time.monotonic()

    async def start(self, stack: contextlib.AsyncExitStack) -> None:
        port = await self.server.start("127.0.0.1", 0)
        self.table.set_own_port(port)
        stack.push_async_callback(self.client.close)
        stack.push_async_callback(self.server.close)
        stack.push_async_callback(self.bus.close)


def percentile(values: list[float], share: float) -> float:
    """Return the lowest value that a share of the values does not exceed."""
    ordered = sorted(values)
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


async def measure_gossip(
    count: int, duration_s: float, news_count: int, seed: int
) -> dict[str, Any]:
    """Measure a fleet of members that all know one another.

    :param duration_s: seconds of steady exchange
    :param news_count: pieces of urgent news that are timed
    """
    async with contextlib.AsyncExitStack() as stack:
        peers = [_Peer(number, seed) for number in range(count)]
        for peer in peers:
            await peer.start(stack)
        for peer in peers:
            for other in peers:
                if other is not peer:
                    peer.table.apply(other.table.own)
        tasks = []
        for index, peer in enumerate(peers):
            delay_s = _PERIOD_S * index / count
            tasks.append(asyncio.ensure_future(_run_later(peer, delay_s)))
        stack.push_async_callback(_cancel_all, tasks)
        # The updates from the start must have been sent before the
        # steady state is measured.
        await asyncio.sleep(2 * _PERIOD_S)
        for peer in peers:
            while peer.table.take_updates():
                pass
        result = await _measure_steady(peers, duration_s)
        result["news"] = await _measure_news(peers, news_count, seed)
        result["suspected"] = sum(
            m.state is not member.MemberState.ALIVE
            for p in peers
            for m in p.table.members()
        )
        return result


async def _measure_steady(
    peers: list[_Peer], duration_s: float
) -> dict[str, Any]:
    before = [p.gossiper.traffic for p in peers]
    connects = sum(p.client.connect_count for p in peers)
    cpu, started = time.process_time(), time.monotonic()
    await asyncio.sleep(duration_s)
    spent_s = time.monotonic() - started
    cpu_s = time.process_time() - cpu
    after = [p.gossiper.traffic for p in peers]
    node_s = len(peers) * spent_s
    messages = sum(a[0] - b[0] for a, b in zip(after, before, strict=True))
    size = sum(a[1] - b[1] for a, b in zip(after, before, strict=True))
    connects = sum(p.client.connect_count for p in peers) - connects
    return {
        "members": len(peers),
        "seconds": round(spent_s, 2),
        "messages_sent_per_node_s": round(messages / node_s, 3),
        "message_bytes_sent_per_node_s": round(size / node_s, 1),
        "connects_per_node_s": round(connects / node_s, 3),
        "cpu_share_of_a_core_per_node": round(cpu_s / node_s, 5),
    }


async def _measure_news(
    peers: list[_Peer], news_count: int, seed: int
) -> dict[str, Any]:
    source = random.Random(seed)
    spreads_s, missed = [], 0
    for number in range(1, news_count + 1):
        origin = source.choice(peers)
        started = time.monotonic()
        origin.bus.publish(
            urgent.EndpointLeaving("engine", "engine", "127.0.0.1", number)
        )
        rest = [p for p in peers if p is not origin]
        while time.monotonic() - started < _NEWS_TIMEOUT_S:
            await asyncio.sleep(0.01)
            if not any(p.bus.is_pushing for p in peers):
                break
        heard = [p.heard_at[number] for p in rest if number in p.heard_at]
        spreads_s.append(max(heard) - started)
        missed += len(rest) - len(heard)
        await asyncio.sleep(_NEWS_PAUSE_S)
    return {
        "count": news_count,
        "last_member_p50_ms": round(percentile(spreads_s, 0.5) * 1000, 1),
        "last_member_worst_ms": round(max(spreads_s) * 1000, 1),
        "missed_share": round(missed / (news_count * (len(peers) - 1)), 5),
    }


async def _run_later(peer: _Peer, delay_s: float) -> None:
    await asyncio.sleep(delay_s)
    await peer.gossiper.run()


async def _cancel_all(tasks: list["asyncio.Task[None]"]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def measure_framing(seed: int) -> dict[str, float]:
    """Measure what gRPC adds to a message, through a counting relay.

    :returns: bytes of TCP payload, both directions together
    """
    async with contextlib.AsyncExitStack() as stack:
        first, second = _Peer(0, seed), _Peer(1, seed)
        for peer in (first, second):
            await peer.start(stack)
        relay = byte_relay.ByteRelay(second.table.own.peer_port)
        stack.push_async_callback(relay.close)
        target = dataclasses.replace(
            second.table.own, peer_port=await relay.start()
        )
        calls, totals = 20, []
        for _ in range(calls):
            await first.gossiper.exchange(target)
            totals.append(relay.count)
        await asyncio.sleep(0.1)
        sent = first.gossiper.traffic[1] + second.gossiper.traffic[1]
        payload = sent / calls
        kept = (totals[-1] - totals[4]) / (calls - 5)
        await first.client.close()
        await asyncio.sleep(0.1)
        before = relay.count
        await first.gossiper.exchange(target)
        await first.client.close()
        await asyncio.sleep(0.1)
        return {
            "framing_bytes_per_exchange": round(kept - payload, 1),
            "connection_bytes": round(relay.count - before - kept, 1),
        }


def add_wire_bytes(
    result: dict[str, Any], framing: dict[str, float]
) -> dict[str, Any]:
    """Add the bytes on the wire, as TCP payload.

    Each exchange has two messages, and each message is sent by one node and
    received by another; the sum counts both directions at one node.
    """
    exchanges = result["messages_sent_per_node_s"] / 2
    sent = (
        result["message_bytes_sent_per_node_s"]
        + exchanges * framing["framing_bytes_per_exchange"]
        + result["connects_per_node_s"] * framing["connection_bytes"]
    )
    cpu = result["cpu_share_of_a_core_per_node"]
    return {
        **result,
        "wire_bytes_sent_per_node_s": round(sent, 1),
        "wire_bytes_both_directions_per_node_s": round(2 * sent, 1),
        "within_byte_budget_sent": sent <= BUDGET_BYTES_PER_S,
        "within_byte_budget_both": 2 * sent <= BUDGET_BYTES_PER_S,
        "within_cpu_budget": cpu <= BUDGET_CPU_SHARE,
    }


def measure_config(count: int, record_count: int, seed: int) -> dict[str, Any]:
    """Measure how long records take until they are in force on all nodes.

    :param count: number of node processes
    :param record_count: records that are published one after another
    """
    source, delays_s = random.Random(seed), []
    with fleets.Fleet() as fleet:
        fleet.start_standin("log", "log")
        fleet.start_standin("vm-list", "vm-list")
        names = [f"node-{number:02}" for number in range(count)]
        for number, name in enumerate(names):
            _start_node(fleet, name, _DOMAINS[number % len(_DOMAINS)])
        url = fleet.url("log") + "/streams/config/records"
        views = [fleet.url(n, "admin") + "/admin/view" for n in names]
        for number in range(record_count):
            record = {
                "schema_version": 1,
                "kind": "model",
                "name": f"model-{source.randrange(100)}",
                "spec": {"version": str(number)},
            }
            answer = fleets.call(url, "POST", {"records": [record]})
            accepted_at = time.monotonic()
            offset = answer["offsets"][0]
            waiting = list(views)
            while waiting:
                waiting = [v for v in waiting if not _has(v, offset)]
            delays_s.append(time.monotonic() - accepted_at)
            time.sleep(source.uniform(0.0, 0.2))
        return {
            "nodes": count,
            "records": record_count,
            "p50_ms": round(percentile(delays_s, 0.5) * 1000, 1),
            "p99_ms": round(percentile(delays_s, 0.99) * 1000, 1),
            "worst_ms": round(max(delays_s) * 1000, 1),
        }


def _start_node(fleet: fleets.Fleet, name: str, domain: str) -> None:
    fleet.start_node(name, domain)
    fleet.list_vm(name, "node", domain)


def _has(view_url: str, offset: int) -> bool:
    with urllib.request.urlopen(view_url, timeout=10) as response:
        return json.loads(response.read())["config_offset"] >= offset


def main() -> int:
    """Run the measurements and print them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("part", choices=("gossip", "config", "all"))
    parser.add_argument("--members", type=int, nargs="*", default=[8, 50, 350])
    parser.add_argument("--nodes", type=int, nargs="*", default=[8, 24])
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--news", type=int, default=20)
    parser.add_argument("--records", type=int, default=100)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", action="store_true")
    arguments = parser.parse_args()
    results: dict[str, Any] = {"seed": arguments.seed}
    if arguments.part in ("gossip", "all"):
        framing = asyncio.run(measure_framing(arguments.seed))
        results["framing"] = framing
        results["gossip"] = [
            add_wire_bytes(
                asyncio.run(
                    measure_gossip(
                        count,
                        arguments.seconds,
                        arguments.news,
                        arguments.seed,
                    )
                ),
                framing,
            )
            for count in arguments.members
        ]
    if arguments.part in ("config", "all"):
        results["config"] = [
            measure_config(count, arguments.records, arguments.seed)
            for count in arguments.nodes
        ]
    _print(results, arguments.json)
    return 0


def _print(results: dict[str, Any], as_json: bool) -> None:
    if as_json:
        print(json.dumps(results, indent=2))
        return
    for part in ("framing", "gossip", "config"):
        rows = results.get(part, [])
        for row in rows if isinstance(rows, list) else [rows]:
            print(part)
            for key, value in row.items():
                print(f"  {key:<40} {value}")


if __name__ == "__main__":
    sys.exit(main())
