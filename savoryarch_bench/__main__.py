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
    only: str = "",
    workers: int = 0,
    real: bool = False,
    rate_per_s: float = 15.0,
) -> None:
    """Measure the goals of searches under load and faults, beside the plain baselines.

    Parameters
    ----------
    seed : int
        The first seed.
    seconds : float
        Virtual time of the steady experiments; the overload takes 60 s from 20 s on.
    seeds : int
        How many seeds, in ascending order.
    only : str
        Names of experiments, separated by commas; all of them if empty.
    workers : int
        Processes at a time; 0 takes half of the processors.
    real : bool
        Run calm, stragglers and a frozen replica on real processes instead, with one seed.
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
        futures = [
            pool.submit(run_experiment, name, number, float(seconds)) for name, number in jobs
        ]
        outcomes = [future.result() for future in futures]
    first = [outcome for (_, number), outcome in zip(jobs, outcomes, strict=True) if number == seed]
    own = tuple(outcome.runs[0] for outcome in first)
    goals = evaluate_goals(outcomes)
    write_goals(goals, _OUTPUT_FOLDER / "bench.json")
    plot_runs(own, _OUTPUT_FOLDER / "bench.png")
    print(f"seeds {seed} to {seed + seeds - 1}; runs of seed {seed}, the product before baselines")
    print(format_runs(tuple(run for outcome in first for run in outcome.runs)))
    print()
    print(format_goals(goals))
    print(format_goals_json(goals))


def run_experiment(name: str, seed: int, seconds: float) -> ExperimentResult:
    """Run one experiment with one seed."""
    return EXPERIMENTS[name](seed, seconds)


if __name__ == "__main__":
    Fire(bench)
