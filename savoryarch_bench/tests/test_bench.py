"""Simulated runs keep the invariants of answers, and their figures and goals are computed right.

A fault in the simulation or in a figure would report a goal as reached that the product misses, or
the other way round.
"""

from dataclasses import replace

import pytest

from savoryarch.search import FixedDelayHedging, NoHedging, SearchSettings
from savoryarch_bench._experiments import ExperimentResult, Measurement
from savoryarch_bench._goals import BOUNDS, evaluate_goals
from savoryarch_bench._measure import (
    coverage_of,
    oracle_p99_ms,
    quantile_ms,
    recovery_time_ms,
    total_attempts,
)
from savoryarch_bench._model import (
    BALCAO,
    AdvanceIndex,
    AttemptCounts,
    CrashInstance,
    CrashTarget,
    FreezeTarget,
    PartitionZone,
    QueryResult,
    QueryStream,
    Run,
    Scenario,
    ServiceTime,
)
from savoryarch_bench._report import format_goals, format_goals_json
from savoryarch_bench._simulation import run_scenario

NORMAL_SCENARIO = Scenario("normal load", 1, 2000.0, BALCAO, (QueryStream("counter", 40.0),))


def key_figures(run):
    return len(run.results), quantile_ms(run.results, 0.99), total_attempts(run), run.limit_usage


@pytest.mark.parametrize(
    "faults",
    [
        (),
        (FreezeTarget("balcao-01-1", 500.0, 1500.0),),
        (CrashTarget("balcao-01-1", 500.0, 1500.0),),
        (PartitionZone("zone-a", 500.0, 1500.0),),
        (CrashInstance(0, 500.0, 1500.0),),
        (AdvanceIndex(500.0, 20.0),),
    ],
)
def test_answers_keep_the_invariants_during_faults(faults):
    run = run_scenario(replace(NORMAL_SCENARIO, faults=faults))
    assert run.results and not run.violations and not run.unfinished_count
    assert run.limit_usage.connections_refused == 0
    assert run.limit_usage.max_in_flight_share <= 1.0


def test_a_run_with_the_same_seed_gives_the_same_figures():
    assert key_figures(run_scenario(NORMAL_SCENARIO)) == key_figures(run_scenario(NORMAL_SCENARIO))


@pytest.mark.parametrize(
    ("search", "expected"),
    [
        (SearchSettings(hedging=NoHedging()), 0.0),
        (SearchSettings(hedging=FixedDelayHedging(0.0)), 0.9),  # nearly every attempt is doubled
    ],
)
def test_extra_load_is_measured(search, expected):
    run = run_scenario(
        replace(NORMAL_SCENARIO, search=search, streams=(QueryStream("counter", 5.0),))
    )
    assert total_attempts(run).extra_load == pytest.approx(expected, abs=0.1)


def make_results(*latencies_ms, refusal=""):
    return tuple(
        QueryResult(number * 100.0, latency_ms, "c", False, 10, 0 if refusal else 10, refusal)
        for number, latency_ms in enumerate(latencies_ms)
    )


@pytest.mark.parametrize(
    ("results", "coverage"),
    [
        (make_results(1.0, 1.0), 1.0),
        (make_results(1.0) + make_results(1.0, refusal="overloaded"), 0.5),
    ],
)
def test_coverage_counts_refusals(results, coverage):
    assert coverage_of(results) == coverage


@pytest.mark.parametrize(
    ("results", "expected_ms"),
    [  # latencies above 5 ms are slow; each window has one query
        (make_results(1.0, 1.0, 1.0), 0.0),
        (make_results(9.0, 1.0, 1.0), 100.0),
        (make_results(1.0, 9.0, 1.0), 200.0),
        (make_results(1.0, 1.0) + make_results(1.0, refusal="overloaded"), 100.0),
    ],
)
def test_recovery_time_ends_with_the_last_slow_window(results, expected_ms):
    run = Run(NORMAL_SCENARIO, results, (), None)
    assert recovery_time_ms(run, 0.0, 300.0, 5.0, window_ms=100.0) == expected_ms


@pytest.mark.parametrize(
    ("counts", "extra_load", "shed_share"),
    [
        (AttemptCounts(100, 105, 0), 0.05, 0.0),
        (AttemptCounts(100, 130, 30), 0.0, 0.3),
        (AttemptCounts(), 0.0, 0.0),
    ],
)
def test_attempt_counts_give_the_shares_of_extra_and_refused_attempts(
    counts, extra_load, shed_share
):
    assert (counts.extra_load, counts.shed_share) == (extra_load, shed_share)


def test_the_oracle_is_insensitive_to_one_slow_replica():
    slow = oracle_p99_ms(BALCAO, ServiceTime(straggler_share=0.01), 1)
    assert slow < 1.1 * oracle_p99_ms(BALCAO, ServiceTime(), 1)


@pytest.mark.parametrize(
    ("name", "values", "measured", "holds"),
    [
        ("10 shards: p99 / oracle", (1.0, 3.0, 1.5), 1.5, True),
        ("10 shards: p99 / oracle", (1.0, 3.0, 2.5), 2.5, False),
        ("10 shards: coverage", (0.99, 1.0, 1.0), 1.0, True),
        ("answers that broke a promise", (0.0, 1.0, 0.0), 1.0, False),
        ("10 shards: p99 / oracle", (float("nan"),) * 3, float("nan"), False),
    ],
)
def test_goals_are_evaluated_by_the_median_or_the_worst_seed(name, values, measured, holds):
    limits = run_scenario(replace(NORMAL_SCENARIO, duration_ms=60.0)).limit_usage
    run = Run(NORMAL_SCENARIO, (), (), limits)
    broken = Run(NORMAL_SCENARIO, (), (), limits, violations=("q1: mixed snapshots",))
    results = [
        ExperimentResult(
            (Measurement(name, value, 9.0),), (broken if name.startswith("answers") else run,)
        )
        for value in values
    ]
    (goal,) = [goal for goal in evaluate_goals(results) if goal.name == name]
    assert goal.measured == pytest.approx(measured, nan_ok=True)
    assert goal.holds is holds
    assert name in format_goals((goal,)) and name in format_goals_json((goal,))


def test_every_bound_has_a_unit():
    assert all(bound.unit for bound in BOUNDS.values())
