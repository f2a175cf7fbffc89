"""Runs the experiments: ``python -m savoryarch_bench --seed N --seconds S``."""

import os
import sys
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from fire import Fire

from savoryarch_bench._experiments import EXPERIMENTS, ExperimentResult
from savoryarch_bench._goals import evaluate_goals
from savoryarch_bench._plot import plot_runs
from savoryarch_bench._report import format_goals, format_goals_json, format_runs, write_goals

_OUTPUT_FOLDER = Path("build")


def bench(
    seed: int = 1,
    seconds: float = 20.0,
    seeds: int = 5,
    only: str = "",  # Fire passes several names as a tuple
    workers: int = 0,
    real: bool = False,
    rate_per_s: float = 15.0,
) -> None:
    """Measure the goals of searches under load and faults, for the product and its baselines.

    Parameters
    ----------
    seed : int
        First seed.
    seconds : float
        Virtual time of most experiments in s; the overload takes 60 s if this is at least 20.
    seeds : int
        Number of consecutive seeds with which each experiment runs.
    only : str
        Names of the experiments to run, separated by commas; all of them if empty.
    workers : int
        Number of processes that run at the same time; 0 stands for half of the processors.
    real : bool
        Whether to run load, stragglers and a freeze on real processes instead, with one seed.
    rate_per_s : float
        Searches per second of the run on real processes.
    """
    if real:
        from savoryarch_bench._real_processes import run_phases

        print(run_phases(seed, float(seconds), float(rate_per_s)))
        return
    names = [str(name) for name in (only if isinstance(only, tuple) else str(only).split(","))]
    names = [name for name in names if name] or list(EXPERIMENTS)
    if unknown := [name for name in names if name not in EXPERIMENTS]:
        sys.exit(f"got experiment {', '.join(unknown)}, expected one of {', '.join(EXPERIMENTS)}")
    jobs = [(name, number) for name in names for number in range(seed, seed + seeds)]
    with ProcessPoolExecutor(workers or max(1, (os.cpu_count() or 2) // 2)) as pool:
        tasks = [pool.submit(run_experiment, name, number, float(seconds)) for name, number in jobs]
        results = [task.result() for task in tasks]
    shown = [result for (_, number), result in zip(jobs, results, strict=True) if number == seed]
    product_runs = tuple(result.runs[0] for result in shown)
    goals = evaluate_goals(results)
    write_goals(goals, _OUTPUT_FOLDER / "bench.json")
    plot_runs(product_runs, _OUTPUT_FOLDER / "bench.png")
    print(f"seeds {seed} to {seed + seeds - 1}; runs of seed {seed}, the product before baselines")
    print(format_runs(tuple(run for result in shown for run in result.runs)))
    print()
    print(format_goals(goals))
    print(format_goals_json(goals))


def run_experiment(name: str, seed: int, seconds: float) -> ExperimentResult:
    """Run the experiment of that name with one seed; `seconds` is its virtual time."""
    return EXPERIMENTS[name](seed, seconds)


if __name__ == "__main__":
    Fire(bench)
