from dataclasses import replace

import pytest

from savoryarch.search import FixedDelayHedging, NoHedging, SearchSettings
from savoryarch_bench._experiments import Measured, Outcome
from savoryarch_bench._goals import BOUNDS, judge
from savoryarch_bench._measure import (
    all_work,
    coverage_of,
    oracle_p99_ms,
    quantile_ms,
    time_until_calm_ms,
)
from savoryarch_bench._model import (
    BALCAO,
    AdvanceIndex,
    Answer,
    Crash,
    CutZone,
    Freeze,
    LoseInstance,
    Run,
    Scenario,
    ServiceTime,
    Stream,
    Work,
)
from savoryarch_bench._report import format_goals, goals_line
from savoryarch_bench._world import run_scenario

CALM = Scenario("calm", 1, 2000.0, BALCAO, (Stream("counter", 40.0),))


def key_figures(run):
    return len(run.answers), quantile_ms(run.answers, 0.99), all_work(run), run.limits


@pytest.mark.parametrize(
    "faults",
    [
        (),
        (Freeze("balcao-01-1", 500.0, 1500.0),),
        (Crash("balcao-01-1", 500.0, 1500.0),),
        (CutZone("zone-a", 500.0, 1500.0),),
        (LoseInstance(0, 500.0, 1500.0),),
        (AdvanceIndex(500.0, 20.0),),
    ],
)
def test_answers_keep_their_promises_through_faults(faults):
    run = run_scenario(replace(CALM, faults=faults))
    assert run.answers and not run.violations and not run.unanswered
    assert run.limits.connections_refused == 0
    assert run.limits.max_in_flight_share <= 1.0


def test_a_run_is_repeatable():
    assert key_figures(run_scenario(CALM)) == key_figures(run_scenario(CALM))


@pytest.mark.parametrize(
    ("search", "extra"),
    [
        (SearchSettings(hedging=NoHedging()), 0.0),
        (SearchSettings(hedging=FixedDelayHedging(0.0)), 0.9),
    ],
)
def test_extra_load_is_seen(search, extra):
    run = run_scenario(replace(CALM, search=search, streams=(Stream("counter", 5.0),)))
    assert all_work(run).extra_share == pytest.approx(extra, abs=0.1)


def answers(*latencies_ms, refusal=""):
    return tuple(
        Answer(number * 100.0, latency_ms, "c", False, 10, 0 if refusal else 10, refusal)
        for number, latency_ms in enumerate(latencies_ms)
    )


@pytest.mark.parametrize(
    ("given", "coverage"),
    [(answers(1.0, 1.0), 1.0), (answers(1.0) + answers(1.0, refusal="overloaded"), 0.5)],
)
def test_coverage_counts_refusals(given, coverage):
    assert coverage_of(given) == coverage


@pytest.mark.parametrize(
    ("given", "expected_ms"),
    [
        (answers(1.0, 1.0, 1.0), 0.0),
        (answers(9.0, 1.0, 1.0), 100.0),
        (answers(1.0, 9.0, 1.0), 200.0),
        (answers(1.0, 1.0) + answers(1.0, refusal="overloaded"), 100.0),
    ],
)
def test_time_until_calm(given, expected_ms):
    run = Run(CALM, given, (), None)
    assert time_until_calm_ms(run, 0.0, 300.0, 5.0, window_ms=100.0) == expected_ms


@pytest.mark.parametrize(
    ("work", "extra", "shed"),
    [(Work(100, 105, 0), 0.05, 0.0), (Work(100, 130, 30), 0.0, 0.3), (Work(), 0.0, 0.0)],
)
def test_work(work, extra, shed):
    assert (work.extra_share, work.shed_share) == (extra, shed)


def test_the_oracle_is_not_hurt_by_one_slow_replica():
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
def test_goals_are_judged_by_median_or_worst(name, values, measured, holds):
    limits = run_scenario(replace(CALM, duration_ms=60.0)).limits
    run = Run(CALM, (), (), limits)
    broken = Run(CALM, (), (), limits, violations=("q1: mixed",))
    outcomes = [
        Outcome((Measured(name, value, 9.0),), (broken if name.startswith("answers") else run,))
        for value in values
    ]
    (goal,) = [goal for goal in judge(outcomes) if goal.name == name]
    assert goal.measured == pytest.approx(measured, nan_ok=True)
    assert goal.holds is holds
    assert name in format_goals((goal,)) and name in goals_line((goal,))


def test_every_bound_names_a_unit():
    assert all(bound.unit for bound in BOUNDS.values())
