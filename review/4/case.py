"""The store turns a node away while a large configuration changes."""

import asyncio
import pathlib
import time

import platform_standins as standins

HOST, KEY = "shop.example", "key-1"
OLD, NEW = "shop-desk", "shop-desk-2"
# Routes of the sheet's days, with those that a big_config adds (350).
ROUTES = 110 + 350
# Largest doses: platform_down of some nodes for 9 s; config_storm for 2 s, a
# change each 0.08 s.
AWAY_S = 9.0
STORM_S, STORM_GAP_S = 2.0, 0.08
STORM_AT_S = 0.2
STABILITY_S = standins.BOUNDS["stability_window_ms"] / 1000
# An unstable store stretches the bound by outer_ms at most.
APPLY_S = (
    standins.BOUNDS["config_apply_ms"] + standins.BOUNDS["outer_ms"]
) / 1000
WATCH_S = 9.0
GAP_S = 0.05


def idle_route(number):
    return {
        "name": f"r-idle{number:05d}",
        "host": "ficu95.example",
        "path_prefix": f"/idle{number:05d}/",
        "kind": "streaming",
        "timeout_ms": 10000,
        "target_latency_ms": 300,
        "priority": 1,
        "traffic_split": [
            {"service": OLD, "weight": 90},
            {"service": NEW, "weight": 10},
        ],
        "max_attempts": 2,
        "public": False,
        "sticky": True,
        "stream_resume": True,
        "gap_aim_ms": 200,
    }


def routes(service, timeout_ms):
    """Return all routes; the one in use goes to a service."""
    used = {
        "name": "r-lookup",
        "host": HOST,
        "path_prefix": "/lookup/",
        "kind": "safe",
        "timeout_ms": timeout_ms,
        "target_latency_ms": 125,
        "priority": 2,
        "service": service,
        "max_attempts": 2,
        "public": False,
        "sticky": False,
    }
    return [used, *(idle_route(number) for number in range(ROUTES))]


def service(name):
    return {
        "name": name,
        "health_check": "/health",
        "max_connections": 110,
        "protocol": "h1",
        "tls": False,
    }


SERVICES = [service(OLD), service(NEW)]
TENANTS = [{"name": "tenant-1", "api_keys": [KEY]}]


async def answer(worker, target, headers, body, writer):
    attempt = headers["x-fireflyspur-attempt-id"]
    data = f"{worker.service} {attempt}".encode()
    writer.write(
        worker.head(
            headers,
            f"Content-Length: {len(data)}",
            f"X-Fireflyspur-Response-Seal: {worker.instance}.{attempt}",
        ).encode()
        + data
    )
    await writer.drain()
    return True


async def send(node, attempt):
    return await standins.request(
        node.front,
        "GET",
        "/lookup/2f",
        {
            "Host": HOST,
            "X-Fireflyspur-Attempt-Id": attempt,
            "X-Fireflyspur-Deadline-Ms": 1500,
            "Authorization": f"Token {KEY}",
        },
        timeout_s=2.0,
    )


def find_reader(fleet):
    """Return the node that waits in the store for new configurations."""
    waits = {
        node.name: fleet.store.log_waits[node.store_host]
        for node in fleet.nodes
    }
    fleet.record.add(f"reads of the log that waited: {waits}")
    return max(waits, key=waits.get)


async def storm(fleet, record):
    """Change the configuration; the last change moves the route."""
    until = time.monotonic() + STORM_S
    count = 0
    while time.monotonic() < until:
        count += 1
        timeout_ms = 1500 + 100 * (count % 2)
        fleet.put_config(routes(OLD, timeout_ms), SERVICES, TENANTS)
        await asyncio.sleep(STORM_GAP_S)
    version = fleet.put_config(routes(NEW, 1500), SERVICES, TENANTS)
    record.add(f"version {version} acknowledged: /lookup/ goes to {NEW}")
    return time.monotonic()


async def watch(fleet, in_touch_at, due_at, record):
    """Send requests to all nodes; returns those that the old service ran."""
    late = []
    number = 0
    until = time.monotonic() + WATCH_S
    while time.monotonic() < until:
        for node in fleet.nodes:
            number += 1
            attempt = f"w{number:05d}"
            sent_at = time.monotonic()
            result = await send(node, attempt)
            by_old = result.status == 200 and result.body.startswith(
                f"{OLD} ".encode()
            )
            # No machine is in touch before: the core has to be stable.
            is_in_touch = sent_at >= in_touch_at
            if not by_old:
                record.add(
                    f"{attempt} at {node.name}: {result.status}"
                    f" {result.body.decode()!r}"
                )
                continue
            is_late = is_in_touch and sent_at > due_at
            record.add(
                f"{attempt} at {node.name}: run by {OLD},"
                f" {sent_at - due_at:+.2f} s from its bound,"
                f" {sent_at - in_touch_at:+.2f} s from in touch again"
                + (": LATE" if is_late else "")
            )
            if is_late:
                late.append(attempt)
        await asyncio.sleep(GAP_S)
    return late


async def play(fleet, record):
    fleet.put_config(routes(OLD, 1500), SERVICES, TENANTS)
    size = fleet.store.size_of("keyed.op", "config")
    record.add(f"a configuration has {1 + ROUTES} routes and {size} bytes")
    for number in range(3):
        for name in (OLD, NEW):
            await fleet.add_worker(
                f"i-{name}-{number}", name, f"zone-{number}", answer
            )
    for number in range(8):
        await fleet.add_node(f"front-{number}", f"zone-{number % 3}")
    await fleet.wait_until_ready()
    await asyncio.sleep(6.0)
    reader = find_reader(fleet)
    away = next(node for node in fleet.nodes if node.name != reader)
    record.add(f"{reader} reads the log for all")
    for node in fleet.nodes:
        result = await send(node, f"first-{node.name}")
        record.add(f"{node.name}: {result.status} {result.body[:12]!r}")
    if standins.is_troubled():
        fleet.store.turned_away.add(away.store_host)
        record.add(f"the store turns {away.name} away")
    turned_at = time.monotonic()
    await asyncio.sleep(STORM_AT_S)
    acknowledged_at = await storm(fleet, record)
    await asyncio.sleep(turned_at + AWAY_S - time.monotonic())
    fleet.store.turned_away.clear()
    ended_at = time.monotonic()
    record.add(f"the store serves {away.name} again")
    late = await watch(
        fleet,
        ended_at + STABILITY_S,
        acknowledged_at + APPLY_S,
        record,
    )
    for line in away.log().splitlines():
        if "Configuration in force" in line or "Store" in line:
            record.add(f"log: {line}")
    record.add(f"{len(late)} requests run by the old service too late")
    return bool(late)


standins.run_case(play, pathlib.Path(__file__).resolve().parent)
