"""Comparison of two routing policies in one run."""

import asyncio
import dataclasses
import statistics
from typing import Any

from fireflyspur.clients import http_client
from fireflyspur.clients import log_client
from fireflyspur.generated import load_mix
from fireflyspur.load import runner
from fireflyspur.records import record_publisher

_POLICY_NAME = "default"
# Records are in force at every node within this time.
_SETTLE_S = 5.0


@dataclasses.dataclass(frozen=True)
class ComparisonSettings:
    """What is compared.

    :param log_url: log on which the policy record is published
    :param policies: two routing policies; the first is the base
    :param slices: runs of each policy
    :param author: author of the records
    """

    log_url: str
    policies: tuple[str, str]
    slices: int
    author: str


async def compare(
    mix: load_mix.LoadMix,
    target: runner.LoadTarget,
    seed: int,
    settings: ComparisonSettings,
) -> dict[str, Any]:
    """Run slices of both policies in turn and return the ratios.

    The two slices of a pair have the same arrivals. The order alternates
    (first, second, second, first) so that a drift of the machine weighs on
    both.

    :raises LogUnavailableError: if the log refuses a record
    """
    results = []
    for number in range(settings.slices):
        order = settings.policies[:: -1 if number % 2 else 1]
        for policy in order:
            await _publish(settings, policy)
            await asyncio.sleep(_SETTLE_S)
            load = runner.LoadRunner(mix, target, seed + number, policy)
            results.append(await load.run())
    await _publish(settings, settings.policies[0])
    return {
        "policies": list(settings.policies),
        "ratios": find_ratios(results, *settings.policies),
        "results": results,
    }


def find_ratios(
    results: list[dict[str, Any]], base: str, other: str
) -> dict[str, dict[str, float]]:
    """Return the figures of one policy relative to another.

    :param results: results of the slices, labelled with their policies
    :returns: for each figure the median, least and greatest ratio over the
        pairs of slices with the same seed
    """
    by_seed: dict[int, dict[str, dict[str, float]]] = {}
    for result in results:
        pair = by_seed.setdefault(result["seed"], {})
        pair[result["label"]] = figures(result)
    ratios: dict[str, list[float]] = {}
    for pair in by_seed.values():
        for name, value in pair.get(base, {}).items():
            against = pair.get(other, {}).get(name)
            if value and against is not None:
                ratios.setdefault(name, []).append(against / value)
    return {
        name: {
            "median": statistics.median(values),
            "min": min(values),
            "max": max(values),
            "pairs": len(values),
        }
        for name, values in ratios.items()
    }


def figures(result: dict[str, Any]) -> dict[str, float]:
    """Return the figures of a result that are compared."""
    found = {
        "goodput requests/s": result["goodput"]["requests_per_s"],
        "goodput output tokens/s": result["goodput"]["output_tokens_per_s"],
    }
    for name, bin_ in result["bins"].items():
        for title, kind in (
            ("TTFT", "ttft"),
            ("peak TTFT", "peak_ttft"),
            ("gap", "gap"),
        ):
            for percentile in ("p50", "p95"):
                value = bin_[kind].get(f"{percentile}_s")
                if value is not None:
                    found[f"{title} {percentile} {name}"] = value
    return found


async def _publish(settings: ComparisonSettings, policy: str) -> None:
    http = http_client.create()
    try:
        log = log_client.LogClient(http, settings.log_url, "load")
        publisher = record_publisher.RecordPublisher(log)
        entry = (await publisher.load()).get("policy", _POLICY_NAME)
        # Other keys of the policy in force are kept.
        spec = dict(entry.value["spec"]) if entry else {}
        record = {
            "schema_version": 1,
            "kind": "policy",
            "name": _POLICY_NAME,
            "spec": {**spec, "routing": policy},
        }
        await publisher.publish(record, settings.author)
    finally:
        http.close()
