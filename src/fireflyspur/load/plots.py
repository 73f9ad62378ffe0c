"""Results as PNG files."""

import pathlib
from typing import Any

from fireflyspur.load import libraries

_PERCENTILES = ("p50_s", "p90_s", "p95_s", "p99_s", "max_s")


def draw(results: list[dict[str, Any]], folder: pathlib.Path) -> None:
    """Write ``ttft.png``, ``gap.png`` and ``outcomes.png``.

    :raises LoadExtraMissingError: if matplotlib is missing
    """
    libraries.load("matplotlib").use("Agg")
    pyplot = libraries.load("matplotlib.pyplot")
    _draw_durations(pyplot, results, "ttft", "time to first token (s)", folder)
    _draw_durations(pyplot, results, "gap", "time between tokens (s)", folder)
    _draw_outcomes(pyplot, results, folder)


def draw_ratios(comparison: dict[str, Any], folder: pathlib.Path) -> None:
    """Write ``ratios.png``."""
    libraries.load("matplotlib").use("Agg")
    pyplot = libraries.load("matplotlib.pyplot")
    numpy = libraries.load("numpy")
    names = list(comparison["ratios"])
    ratios = list(comparison["ratios"].values())
    median = numpy.array([ratio["median"] for ratio in ratios])
    low = median - numpy.array([ratio["min"] for ratio in ratios])
    high = numpy.array([ratio["max"] for ratio in ratios]) - median
    figure, axes = pyplot.subplots(figsize=(8, 1 + 0.3 * len(names)))
    axes.errorbar(
        median, range(len(names)), xerr=[low, high], fmt="o", capsize=3
    )
    axes.axvline(1.0, color="grey")
    axes.set_yticks(range(len(names)), names)
    base, other = comparison["policies"]
    axes.set_xlabel(f"{other} / {base}")
    _save(pyplot, figure, folder / "ratios.png")


def _draw_durations(
    pyplot: Any,
    results: list[dict[str, Any]],
    kind: str,
    title: str,
    folder: pathlib.Path,
) -> None:
    figure, axes = pyplot.subplots(figsize=(8, 5))
    for result in results:
        for name, bin_ in result["bins"].items():
            values = bin_[kind]
            if values["count"]:
                axes.plot(
                    [key.removesuffix("_s") for key in _PERCENTILES],
                    [values[key] for key in _PERCENTILES],
                    marker="o",
                    label=f"{result['label']} {result['seed']}: {name}",
                )
    axes.set_yscale("log")
    axes.set_ylabel(title)
    if axes.lines:
        axes.legend(fontsize="small")
    _save(pyplot, figure, folder / f"{kind}.png")


def _draw_outcomes(
    pyplot: Any, results: list[dict[str, Any]], folder: pathlib.Path
) -> None:
    figure, axes = pyplot.subplots(figsize=(8, 5))
    names = [f"{r['label']} {r['seed']}" for r in results]
    bottom = [float(r["completed"]) for r in results]
    axes.bar(names, bottom, label="completed")
    codes = sorted({f["code"] for r in results for f in r["failures"]})
    for code in codes:
        counts = [
            sum(f["count"] for f in r["failures"] if f["code"] == code)
            for r in results
        ]
        axes.bar(names, counts, bottom=bottom, label=code)
        bottom = [b + c for b, c in zip(bottom, counts, strict=True)]
    axes.set_ylabel("requests")
    axes.legend(fontsize="small")
    _save(pyplot, figure, folder / "outcomes.png")


def _save(pyplot: Any, figure: Any, path: pathlib.Path) -> None:
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
