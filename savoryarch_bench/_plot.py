"""Plots the latency CCDF, and coverage and extra load over time."""

from pathlib import Path
from typing import Any

import matplotlib

from savoryarch_bench._measure import MS_PER_S, coverage_of, make_histogram, results_between
from savoryarch_bench._model import Run

matplotlib.use("Agg")
_SIZE_INCHES = (9, 11)
_PERCENTILES = (0, 10, 25, 50, 75, 90, 95, 98, 99, 99.5, 99.8, 99.9)


def plot_runs(runs: tuple[Run, ...], path: Path) -> None:
    """Write a PNG file with one curve per run."""
    from matplotlib import pyplot

    figure, (ccdf, coverage, extra) = pyplot.subplots(3, 1, figsize=_SIZE_INCHES)
    for run in runs:
        _plot_ccdf(ccdf, run)
        seconds = range(int(run.scenario.duration_ms / MS_PER_S))
        shares = [
            coverage_of(results_between(run, s * MS_PER_S, (s + 1) * MS_PER_S)) for s in seconds
        ]
        coverage.plot(seconds, shares)
        extra.plot(seconds, [run.attempts_by_s[s].extra_load for s in seconds])
    ccdf.set(xscale="log", yscale="log", xlabel="latency, ms", ylabel="share above")
    ccdf.legend(fontsize="small")
    coverage.set(xlabel="time, s", ylabel="coverage")
    extra.set(xlabel="time, s", ylabel="extra load")
    figure.tight_layout()
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path, dpi=100)
    pyplot.close(figure)


def _plot_ccdf(axes: Any, run: Run) -> None:
    histogram = make_histogram(run.results)
    if histogram.get_total_count() == 0:
        return
    latencies = [histogram.get_value_at_percentile(share) / MS_PER_S for share in _PERCENTILES]
    above = [1.0 - share / 100.0 for share in _PERCENTILES]
    axes.plot(latencies, above, marker=".", label=run.scenario.name)
