"""The goals and their bounds."""

from dataclasses import dataclass
from enum import Enum
from math import isnan
from statistics import median

from savoryarch_bench._experiments import ExperimentResult, Measurement


class BoundKind(Enum):
    """On which side of the bound a figure has to be."""

    AT_MOST = "at most"
    AT_LEAST = "at least"


@dataclass(frozen=True, slots=True)
class Bound:
    """What a figure has to reach."""

    kind: BoundKind
    value: float
    unit: str

    def holds(self, value: float) -> bool:
        """Return whether a figure reaches it; not a number never does."""
        if isnan(value):
            return False
        return value <= self.value if self.kind is BoundKind.AT_MOST else value >= self.value


@dataclass(frozen=True, slots=True)
class Goal:
    """A goal and what was measured.

    Parameters
    ----------
    measured, baseline : float
        Medians over the seeds; the baseline is None if there is none.
    holds : bool
        Whether the median reaches the bound.
    by_seed : tuple of float
        The figure of each seed.
    """

    name: str
    measured: float
    bound: Bound
    holds: bool
    baseline: float | None
    by_seed: tuple[float, ...]

    @property
    def passing_seeds(self) -> int:
        """Return how many seeds reach the bound."""
        return sum(self.bound.holds(value) for value in self.by_seed)


def _at_most(value: float, unit: str = "ratio") -> Bound:
    return Bound(BoundKind.AT_MOST, value, unit)


def _at_least(value: float, unit: str = "ratio") -> Bound:
    return Bound(BoundKind.AT_LEAST, value, unit)


BOUNDS: dict[str, Bound] = {
    **{
        name: bound
        for shards in ("10 shards", "15 shards")
        for name, bound in (
            (f"{shards}: p99 / oracle", _at_most(2.0)),
            (f"{shards}: p99 / best fixed delay", _at_most(1.1)),
            (f"{shards}: extra load", _at_most(0.05, "share")),
            (f"{shards}: coverage", _at_least(0.999, "share")),
            (f"{shards}, sticky: p99 of best fixed delay / p99", _at_least(1.5)),
            (f"{shards}, sticky: extra load", _at_most(0.05, "share")),
            (f"{shards}, sticky: coverage", _at_least(0.999, "share")),
        )
    },
    "frozen replica: until p99 under twice calm": _at_most(2.0, "s"),
    "frozen replica: coverage": _at_least(0.999, "share"),
    "frozen replica: extra load": _at_most(0.1, "share"),
    "overload: useful / peak": _at_least(0.9),
    "overload: urgent p99 / calm": _at_most(1.3),
    "overload: extra load": _at_most(0.02, "share"),
    "overload: until calm": _at_most(5.0, "s"),
    "greedy caller: p99 of the other / alone": _at_most(1.3),
    "all at once: broken promises": _at_most(0.0, "answers"),
    "all at once: until calm after healing": _at_most(5.0, "s"),
    "fan-out: CPU at 660 / at 10 shards": _at_most(1.3),
    "limits: connections above a target's limit": _at_most(0.0, "connections"),
    "limits: requests run / slots": _at_most(1.0),
    "answers that broke a promise": _at_most(0.0, "answers"),
    "queries without an outcome": _at_most(0.0, "queries"),
}


def evaluate_goals(outcomes: list[ExperimentResult]) -> tuple[Goal, ...]:
    """Compare the outcomes of all seeds with the bounds."""
    figures: dict[str, list[Measurement]] = {}
    for outcome in outcomes:
        for measured in (*outcome.measurements, *_invariant_measurements(outcome)):
            figures.setdefault(measured.name, []).append(measured)
    return tuple(_make_goal(name, figures[name]) for name in BOUNDS if name in figures)


def _make_goal(name: str, figures: list[Measurement]) -> Goal:
    bound = BOUNDS[name]
    values = tuple(figure.value for figure in figures)
    baselines = [figure.baseline for figure in figures if figure.baseline is not None]
    # What must never happen is judged by the worst seed, the rest by the median.
    measured = max(values) if bound.value == 0.0 else float(median(values))
    baseline = float(median(baselines)) if baselines else None
    return Goal(name, measured, bound, bound.holds(measured), baseline, values)


def _invariant_measurements(outcome: ExperimentResult) -> tuple[Measurement, ...]:
    own = outcome.runs[0]
    return (
        Measurement(
            "limits: connections above a target's limit", own.limit_usage.connections_refused
        ),
        Measurement("limits: requests run / slots", own.limit_usage.max_in_flight_share),
        Measurement("answers that broke a promise", float(len(own.violations))),
        Measurement("queries without an outcome", float(own.unfinished_count)),
    )
