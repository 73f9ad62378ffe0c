"""Measure the parts of the gateway that grow with the fleet."""

from collections.abc import Callable
from collections.abc import Sequence
import json
import time
import tracemalloc

from fireflyspur.experiment import example_engine
from fireflyspur.gateway.common import address as addresses
from fireflyspur.gateway.common import clock
from fireflyspur.gateway.common import registry
from fireflyspur.gateway.configuration import route_table
from fireflyspur.gateway.configuration import routing_config
from fireflyspur.gateway.endpoints import endpoint as endpoints
from fireflyspur.gateway.endpoints import endpoint_directory
from fireflyspur.gateway.endpoints import rate_limits
from fireflyspur.gateway.fleet import peer_table
from fireflyspur.gateway.fleet import update_channel
from fireflyspur.gateway.scheduling import engine_candidates
from fireflyspur.gateway.scheduling import in_flight_table
from fireflyspur.gateway.scheduling import latency_model
from fireflyspur.gateway.scheduling import placement
from fireflyspur.gateway.scheduling import placement_cost
from fireflyspur.generated import peer_updates_pb2 as peer_updates
from fireflyspur.observability import logs
from fireflyspur.platform import config_codec

_REPEATS = 50
# Numbers of nodes and of failure domains.
_FLEETS = ((8, 3), (60, 3), (195, 5), (350, 7), (1_000, 7))
_SERVICE = routing_config.Service(example_engine.SERVICE, example_engine.SPEC)


def main(engine_counts: Sequence[int] = (21, 69, 172, 800)) -> None:
    """Print a line for each part and size."""
    logs.configure("ERROR")
    for count in engine_counts:
        for is_limited in (False, True):
            _measure_placement(count, is_limited)
    data = _update().SerializeToString()
    ms = _time_ms(lambda: peer_updates.PeerUpdate().ParseFromString(data))
    print(
        f"update about one request: {len(data)} bytes, parsed in {ms:.4f} ms"
    )
    _measure_exchange()
    for accounts in (10, 1_000, 5_200):
        value = _config(accounts)
        ms = _time_ms(
            lambda value=value: route_table.RouteTable(
                config_codec.decode(value)
            )
        )
        print(
            f"configuration, {accounts} accounts: {len(value)} bytes,"
            f" in force in {ms:.1f} ms, {_memory_kb(value):.0f} KB"
        )


def _measure_placement(count: int, is_limited: bool) -> None:
    """Print what a choice among engines costs.

    :param is_limited: whether all engines name a rate, which allows a request
    """
    selector = _loaded_selector(count, is_limited)
    for tokens in (5_000, 210_000):
        demand = _demand(tokens)
        ms = _time_ms(
            lambda demand=demand: selector.choose_engine(
                _SERVICE, demand, frozenset()
            )
        )
        suffix = ", all with a rate" if is_limited else ""
        print(
            f"placement, {count} engines{suffix}, {tokens} tokens: {ms:.2f} ms"
        )


def _measure_exchange() -> None:
    """Print what one change of load costs in fleets of several sizes."""
    for nodes, domains in _FLEETS:
        peers = peer_table.PeerTable("node-0", "domain-0")
        entries = {
            f"node-{number}": registry.NodeEntry(
                addresses.Address("10.0.0.1", number),
                f"domain-{number % domains}",
            )
            for number in range(nodes)
        }
        channel = update_channel.UpdateChannel(
            "node-0",
            addresses.Address("10.0.0.1", 0),
            peers,
            lambda update, contact: None,
        )
        add_ms = _time_ms(lambda: peers.add_nodes(entries), repeats=1)
        # A datagram with a number that was seen before would be ignored.
        datagrams = iter(
            [_update(n).SerializeToString() for n in range(1, _REPEATS + 1)]
        )
        handle_ms = _time_ms(
            lambda channel=channel, datagrams=datagrams: (
                channel.datagram_received(next(datagrams), ("10.0.0.1", 1))
            )
        )
        print(
            f"exchange, {nodes} nodes in {domains} failure domains:"
            f" {len(peers.recipients())} recipients of a change of load,"
            f" handled in {handle_ms:.4f} ms;"
            f" {len(peers.pools.others) + 1} pools, found in {add_ms:.1f} ms"
        )


def _time_ms(action: Callable[[], object], repeats: int = _REPEATS) -> float:
    started = time.process_time()
    for _ in range(repeats):
        action()
    return (time.process_time() - started) / repeats * 1000


def _memory_kb(value: bytes) -> float:
    """Return the memory that a configuration in force takes."""
    tracemalloc.start()
    table = route_table.RouteTable(config_codec.decode(value))
    kept, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del table
    return kept / 1000


def _demand(tokens: int) -> placement_cost.Demand:
    return placement_cost.Demand(
        tokens, 1_600, 3.0, 0.8, placement_cost.prompt_weight(tokens)
    )


def _loaded_selector(
    count: int, is_limited: bool
) -> placement.EndpointSelector:
    directory = endpoint_directory.EndpointDirectory(3.6, 2.5)
    listed = tuple(map(example_engine.endpoint, range(count)))
    directory.replace(endpoints.EndpointList(listed, clock.now_s()))
    table = in_flight_table.InFlightTable()
    for item in listed:
        for number in range(4):
            table.add(_request(item.instance, number))
            table.mark_prefilled(f"{item.instance}/{number}")
    limits = rate_limits.RateLimits(
        peer_updates.PeerUpdate,
        directory.find_named,
        lambda _: True,
        lambda: rate_limits.FleetShare(1.0, 1),
    )
    for item in listed if is_limited else ():
        limits.record(item, 1_000.0)
    return placement.EndpointSelector(
        directory,
        table,
        engine_candidates.EngineCandidates.for_one_pool(
            directory, table, limits
        ),
        example_engine.FAILURE_DOMAIN,
    )


def _request(instance: str, number: int) -> in_flight_table.InFlightRequest:
    now = clock.now_s()
    return in_flight_table.InFlightRequest(
        key=f"{instance}/{number}",
        instance=instance,
        prefill=latency_model.full_prefill(5_000),
        is_urgent=False,
        reports_prefill_end=False,
        memory_tokens=6_600,
        target_s=0.3,
        max_gap_s=0.2,
        weight=1.0,
        started_at_s=now,
        expires_at_s=now + 60,
    )


def _update(number: int = 1) -> peer_updates.PeerUpdate:
    started = peer_updates.RequestStarted(
        number=1_000,
        instance="i-7f3a91c2",
        prompt_tokens=5_000,
        parts=1,
        memory_tokens=6_600,
        max_gap_ms=200,
        lasts_ms=10_000,
        target_ms=300,
    )
    return peer_updates.PeerUpdate(
        node="front-a-1", incarnation=2**31, number=number, started=[started]
    )


def _config(accounts: int) -> bytes:
    config = {
        "version": 1,
        "routes": [],
        "services": [],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [
            {
                "name": f"account-{number}",
                "api_keys": [f"key-{number}-a", f"key-{number}-b"],
                "priority": 1,
            }
            for number in range(accounts)
        ],
    }
    return json.dumps(config).encode()


if __name__ == "__main__":
    main()
