"""Measure the parts of the gateway that grow with the fleet."""

from collections.abc import Callable
from collections.abc import Sequence
import json
import time
import tracemalloc

from fireflyspur.experiment import example_engine
from fireflyspur.gateway import clock
from fireflyspur.gateway import endpoint as endpoints
from fireflyspur.gateway import endpoint_directory
from fireflyspur.gateway import engine_candidates
from fireflyspur.gateway import in_flight_table
from fireflyspur.gateway import latency_model
from fireflyspur.gateway import placement
from fireflyspur.gateway import placement_cost
from fireflyspur.gateway import route_table
from fireflyspur.gateway import routing_config
from fireflyspur.generated import fleet_news_pb2 as fleet_news
from fireflyspur.observability import logs
from fireflyspur.platform import config_codec

_REPEATS = 50
_SERVICE = routing_config.Service(example_engine.SERVICE, example_engine.SPEC)


def main(engine_counts: Sequence[int] = (21, 69, 800)) -> None:
    """Print a line for each part and size."""
    logs.configure("ERROR")
    for count in engine_counts:
        placer = _loaded_placer(count)
        for tokens in (5_000, 210_000):
            wanted = _demand(tokens)
            ms = _time_ms(
                lambda placer=placer, wanted=wanted: placer.choose_engine(
                    _SERVICE, wanted, frozenset()
                )
            )
            print(f"placement, {count} engines, {tokens} tokens: {ms:.2f} ms")
    data = _news().SerializeToString()
    ms = _time_ms(lambda: fleet_news.FleetNews().ParseFromString(data))
    print(f"news of one request: {len(data)} bytes, parsed in {ms:.4f} ms")
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


def _time_ms(action: Callable[[], object]) -> float:
    began = time.process_time()
    for _ in range(_REPEATS):
        action()
    return (time.process_time() - began) / _REPEATS * 1000


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


def _loaded_placer(count: int) -> placement.EndpointSelector:
    directory = endpoint_directory.EndpointDirectory(3.6, 2.5)
    listed = tuple(map(example_engine.endpoint, range(count)))
    directory.replace(endpoints.EndpointList(listed, clock.now_s()))
    book = in_flight_table.InFlightTable()
    for item in listed:
        for number in range(4):
            book.add(_work(item.instance, number))
            book.mark_prefilled(f"{item.instance}/{number}")
    return placement.EndpointSelector(
        directory,
        book,
        engine_candidates.EngineCandidates.for_one_pool(directory, book),
        example_engine.FAILURE_DOMAIN,
    )


def _work(instance: str, number: int) -> in_flight_table.InFlightRequest:
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


def _news() -> fleet_news.FleetNews:
    started = fleet_news.WorkStarted(
        number=1_000,
        instance="i-7f3a91c2",
        prompt_tokens=5_000,
        parts=1,
        memory_tokens=6_600,
        max_gap_ms=200,
        lasts_ms=10_000,
        target_ms=300,
    )
    return fleet_news.FleetNews(
        node="front-a-1", incarnation=2**31, number=5_000, started=[started]
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
