"""Compares policies against stragglers: latency, extra load and coverage of the same searches.

Run with ``python -m benchmarks.bench_stragglers [--seconds S] [--seeds N]``. Four instances search
10 shards of 3 targets with 2 slots each at 30% of their capacity, in virtual time.
"""

import argparse
import json
from dataclasses import dataclass, replace
from statistics import mean

from savoryarch.search import (
    BudgetedRetries,
    FixedDelayHedging,
    Hedging,
    NoHedging,
    QuantileHedging,
    SearchSettings,
)
from savoryarch_bench._measure import (
    coverage_of,
    oracle_p99_ms,
    quantile_ms,
    results_between,
    total_attempts,
)
from savoryarch_bench._model import (
    BALCAO,
    Fault,
    FreezeTarget,
    QueryStream,
    Run,
    Scenario,
    ServiceTime,
)
from savoryarch_bench._simulation import run_scenario

WARM_UP_MS = 2000.0
MS_PER_S = 1000.0
RATE_PER_S = 86.0  # 30% of the capacity: 10 shards with 60 slots, 21 ms per sub-request
MAX_EXTRA_LOAD = 0.05


@dataclass(frozen=True, slots=True)
class Policy:
    """Hedging and choice of targets against stragglers.

    Parameters
    ----------
    name : str
        Name in the table. Names with "fixed" are the candidates for the best fixed delay.
    hedging : Hedging
        When a second attempt is sent.
    avoids_slow_targets : bool
        Whether targets are chosen by expected latency ("steering") instead of in turn.
    """

    name: str
    hedging: Hedging
    avoids_slow_targets: bool


@dataclass(frozen=True, slots=True)
class StragglerKind:
    """Kind of stragglers: slow sub-requests, slow targets, or a frozen target."""

    name: str
    service_time: ServiceTime
    is_frozen: bool = False


@dataclass(frozen=True, slots=True)
class PolicyFigures:
    """Means of the figures of one policy over all seeds."""

    p50_ms: float
    p99_ms: float
    extra_load: float
    coverage: float


POLICIES = (
    Policy("no hedging", NoHedging(), False),
    Policy("steering alone", NoHedging(), True),
    Policy("both at once", FixedDelayHedging(0.0), False),
    Policy("fixed 30 ms", FixedDelayHedging(30.0), False),
    Policy("fixed 34 ms", FixedDelayHedging(34.0), False),
    Policy("fixed 40 ms", FixedDelayHedging(40.0), False),
    Policy("quantile", QuantileHedging(), False),
    Policy("quantile and steering", QuantileHedging(), True),
)
DEFAULT_POLICY, BASELINE_POLICY = POLICIES[-1].name, POLICIES[0].name

STRAGGLER_KINDS = (
    StragglerKind("independent", ServiceTime(straggler_share=0.01)),
    StragglerKind("sticky", ServiceTime(sticky_share=0.01)),
    StragglerKind("frozen", ServiceTime(), is_frozen=True),
)


def run_policy(policy: Policy, kind: StragglerKind, seed: int, seconds: float) -> Run:
    """Run one policy against one kind of stragglers; a frozen target stays so to the end."""
    end_ms = WARM_UP_MS + seconds * MS_PER_S
    faults: tuple[Fault, ...] = ()
    if kind.is_frozen:
        faults = (FreezeTarget("balcao-03-1", WARM_UP_MS + 1000.0, end_ms),)
    scenario = Scenario(
        name=f"{kind.name}: {policy.name}",
        seed=seed,
        duration_ms=end_ms,
        group=BALCAO,
        streams=(QueryStream("counter", RATE_PER_S),),
        service_time=kind.service_time,
        faults=faults,
        search=SearchSettings(hedging=policy.hedging, retries=BudgetedRetries()),
        extra_load_share=MAX_EXTRA_LOAD,
    )
    return run_scenario(replace(scenario, uses_round_robin=not policy.avoids_slow_targets))


def measure_policy(
    policy: Policy, kind: StragglerKind, seeds: int, seconds: float
) -> PolicyFigures:
    rows = []
    for seed in range(1, seeds + 1):
        run = run_policy(policy, kind, seed, seconds)
        results = results_between(run, WARM_UP_MS, run.scenario.duration_ms)
        rows.append(
            (
                quantile_ms(results, 0.5),
                quantile_ms(results, 0.99),
                total_attempts(run).extra_load,
                coverage_of(results),
            )
        )
    return PolicyFigures(*(mean(column) for column in zip(*rows, strict=True)))


def make_goals(kind: StragglerKind, rows: dict[str, PolicyFigures], oracle_ms: float) -> list[dict]:
    """Return the goals of one kind of stragglers.

    The best fixed delay is chosen from the policies whose extra load is at most 5%.
    """
    product, baseline_figures = rows[DEFAULT_POLICY], rows[BASELINE_POLICY]
    fixed_delay_p99s_ms = [
        row.p99_ms for name, row in rows.items() if "fixed" in name and row.extra_load <= 0.05
    ]
    best_fixed_delay_p99_ms = min(fixed_delay_p99s_ms, default=float("inf"))
    figures = [
        ("p99_over_oracle", product.p99_ms / oracle_ms, 2.0, baseline_figures.p99_ms / oracle_ms),
        (
            "p99_over_best_fixed_delay",
            product.p99_ms / best_fixed_delay_p99_ms,
            1.1,
            baseline_figures.p99_ms / best_fixed_delay_p99_ms,
        ),
        ("extra_load", product.extra_load, MAX_EXTRA_LOAD, baseline_figures.extra_load),
        ("coverage_lost", 1.0 - product.coverage, 0.001, 1.0 - baseline_figures.coverage),
    ]
    return [
        {
            "name": f"{kind.name}_{name}",
            "measured": round(measured, 4),
            "bound": bound,
            "unit": "ratio",
            "holds": measured <= bound,
            "baseline": round(baseline, 4),
        }
        for name, measured, bound, baseline in figures
    ]


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--seeds", type=int, default=5)
    options = parser.parse_args()
    goals = []
    for kind in STRAGGLER_KINDS:
        oracle_ms = oracle_p99_ms(BALCAO, replace(kind.service_time, sticky_share=0.0), 1)
        print(f"\n{kind.name}: oracle p99 {oracle_ms:.1f} ms")
        print(f"{'':24}{'p50 ms':>8}{'p99 ms':>8}{'extra':>8}{'coverage':>10}")
        rows = {
            policy.name: measure_policy(policy, kind, options.seeds, options.seconds)
            for policy in POLICIES
        }
        for name, row in rows.items():
            print(
                f"{name:24}{row.p50_ms:8.1f}{row.p99_ms:8.1f}"
                f"{row.extra_load:8.2%}{row.coverage:10.3%}"
            )
        goals += make_goals(kind, rows, oracle_ms)
    print(json.dumps({"goals": goals}))


if __name__ == "__main__":
    main()
