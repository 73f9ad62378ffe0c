"""Results as text."""

from collections.abc import Iterator
from typing import Any

from fireflyspur.load import runner


def describe(result: dict[str, Any]) -> str:
    """Return the results of one run as text."""
    return "\n".join(_lines(result)) + "\n"


def describe_comparison(comparison: dict[str, Any]) -> str:
    """Return the ratios of a comparison as text."""
    base, other = comparison["policies"]
    lines = [f"{other} relative to {base}: median (least to greatest)"]
    for name, ratio in comparison["ratios"].items():
        spread = f"{ratio['min']:.2f} to {ratio['max']:.2f}"
        lines.append(f"  {name:<32} {ratio['median']:6.2f}  ({spread})")
    return "\n".join(lines) + "\n"


def _lines(result: dict[str, Any]) -> Iterator[str]:
    goodput = result["goodput"]
    yield (
        f"{result['label']}, seed {result['seed']}: {result['sent']} sent,"
        f" {result['completed']} completed"
    )
    yield (
        f"  goodput {goodput['requests_per_s']:.2f} requests/s,"
        f" {goodput['prompt_tokens_per_s']:.0f} prompt tokens/s,"
        f" {goodput['output_tokens_per_s']:.0f} output tokens/s"
    )
    for name, bin_ in result["bins"].items():
        yield f"  {name}: {bin_['completed']} of {bin_['sent']} completed"
        for title, kind in (
            ("TTFT", "ttft"),
            ("TTFT at the peak", "peak_ttft"),
            ("between tokens", "gap"),
            ("whole request", "duration"),
        ):
            if bin_[kind]["count"]:
                yield f"    {title:<18}" + _durations(bin_[kind])
        ratios = bin_["ttft_to_idle"]
        if ratios["count"]:
            parts = [
                f" {k} {v:.2f}" for k, v in ratios.items() if k != "count"
            ]
            yield f"    {'TTFT to idle':<18}" + ",".join(parts)
    for failure in result["failures"]:
        verdict = failure["verdict"] or "no verdict"
        yield f"  failed: {failure['count']} {failure['code']} ({verdict})"
    yield from _generator_lines(result)


def _generator_lines(result: dict[str, Any]) -> Iterator[str]:
    late = result["generator_late"]
    yield f"  generator: {result['generator_cpu']:.2f} of a core"
    if not late["count"]:
        return
    yield f"    {'sent late by':<18}" + _durations(late)
    if late["p99_s"] > runner.LATE_LIMIT_S:
        yield "  the generator was overloaded: do not use these figures"


def _durations(values: dict[str, Any]) -> str:
    parts = [
        f" {key.removesuffix('_s')} {value:.3f} s"
        for key, value in values.items()
        if key.endswith("_s")
    ]
    if "over_limit" in values:
        parts.append(f" above the limit {100 * values['over_limit']:.1f} %")
    return ",".join(parts)
