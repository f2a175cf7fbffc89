"""Formats the tables of goals and runs, and writes the goals as JSON."""

from pathlib import Path

from msgspec.json import encode, format

from savoryarch_bench._goals import Goal
from savoryarch_bench._measure import coverage_of, quantile_ms, total_attempts
from savoryarch_bench._model import Run

_UNITS = {"ratio": "", "share": "", "s": " s"}  # suffix of a bound, by unit


def format_goals(goals: tuple[Goal, ...]) -> str:
    """Return the table of goals, one line for each."""
    width = max(len(goal.name) for goal in goals)
    lines = [f"{'goal':{width}}  {'measured':>9}  {'bound':>16}  {'baseline':>9}  seeds  verdict"]
    for goal in goals:
        bound = f"{goal.bound.kind.value} {goal.bound.value:g}{_UNITS.get(goal.bound.unit, '')}"
        baseline = "" if goal.baseline is None else f"{goal.baseline:.3f}"
        verdict = "holds" if goal.holds else "MISSED"
        seeds = f"{goal.passing_seeds}/{len(goal.by_seed)}"
        lines.append(
            f"{goal.name:{width}}  {goal.measured:9.3f}  {bound:>16}  {baseline:>9}"
            f"  {seeds:>5}  {verdict}"
        )
    return "\n".join(lines)


def format_runs(runs: tuple[Run, ...]) -> str:
    """Return the table of runs, one line for each: latency, coverage, extra load, CPU time."""
    lines = [
        f"{'run':40}  {'queries':>7}  {'p50 ms':>7}  {'p99 ms':>7}  {'coverage':>8}"
        f"  {'extra':>6}  {'sheds':>6}  {'CPU us':>6}"
    ]
    for run in runs:
        attempts = total_attempts(run)
        lines.append(
            f"{run.scenario.name[:40]:40}  {len(run.results):7d}"
            f"  {quantile_ms(run.results, 0.5):7.1f}  {quantile_ms(run.results, 0.99):7.1f}"
            f"  {coverage_of(run.results):8.4f}  {attempts.extra_load:6.3f}"
            f"  {attempts.shed_share:6.3f}  {run.decision_us:6.0f}"
        )
    return "\n".join(lines)


def format_goals_json(goals: tuple[Goal, ...]) -> str:
    """Return the goals as one line of JSON."""
    return encode({"goals": [_goal_row(goal) for goal in goals]}).decode()


def write_goals(goals: tuple[Goal, ...], path: Path) -> None:
    """Write the goals, with the figure of each seed, to a JSON file."""
    rows = [{**_goal_row(goal), "by_seed": goal.by_seed} for goal in goals]
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(format(encode({"goals": rows})))


def _goal_row(goal: Goal) -> dict[str, object]:
    return {
        "name": goal.name,
        "measured": goal.measured,
        "bound": goal.bound.value,
        "unit": goal.bound.unit,
        "holds": goal.holds,
        "baseline": goal.baseline,
    }
