"""Plots of the results of experiments, as PNG files."""

from collections.abc import Sequence
import pathlib

from fireflyspur.experiment import report
from fireflyspur.load import libraries


def draw(results: Sequence[report.RunResult], folder: pathlib.Path) -> None:
    """Write a file with a plot of worth over time for each pattern.

    Each plot has one line for each policy and seed.

    :raises LoadExtraMissingError: if matplotlib is missing
    """
    libraries.load("matplotlib").use("Agg")
    pyplot = libraries.load("matplotlib.pyplot")
    for pattern in {result.pattern for result in results}:
        figure, axes = pyplot.subplots(figsize=(8, 4))
        for result in results:
            if result.pattern == pattern:
                label = f"{result.policy} {result.seed}"
                axes.plot(result.windows, marker="o", label=label)
        axes.set_ylim(0, 1.05)
        axes.set_xlabel("window")
        axes.set_ylabel("share of worth")
        axes.legend(fontsize="small")
        figure.tight_layout()
        figure.savefig(folder / f"{pattern}.png")
        pyplot.close(figure)
