"""The experiments: each runs its scenarios with one seed and measures the figures of its goals."""

from collections.abc import Callable
from dataclasses import dataclass, replace

from savoryarch.admission import AdmissionSettings, NoLimit
from savoryarch.model import Priority
from savoryarch.search import FixedDelayHedging, FixedRetries, NoHedging, SearchSettings
from savoryarch_bench._measure import (
    MS_PER_S,
    attempts_between,
    coverage_of,
    goodput_per_s,
    hedging_delay_ms,
    oracle_p99_ms,
    quantile_ms,
    recovery_time_ms,
    results_between,
    total_attempts,
)
from savoryarch_bench._model import (
    BALCAO,
    NOTAS,
    AdvanceIndex,
    CrashInstance,
    CrashTarget,
    FreezeTarget,
    PartitionZone,
    QueryStream,
    Run,
    Scenario,
    ServiceGroup,
    ServiceTime,
)
from savoryarch_bench._simulation import run_scenario

NORMAL_LOAD_SHARE = 0.3  # loads are shares of the capacity of the group
OVERLOAD_SHARE = 2.0
_URGENT_SHARE = 0.05
_WARM_UP_MS = 2000.0  # results before this time are left out of latency quantiles
_EXTRA_LOAD_BOUND = 0.05
_STICKY_DURATION_FACTOR = 3  # slow periods are rare, so that a short run may have none
_BASELINE_SEARCH = SearchSettings(hedging=NoHedging(), retries=FixedRetries(2))


@dataclass(frozen=True, slots=True)
class Measurement:
    """One figure of one seed.

    Parameters
    ----------
    name : str
        Name of the goal that the figure belongs to.
    value : float
        Figure of the product.
    baseline : float or None
        The same figure of the baseline; None if there is no baseline run.
    """

    name: str
    value: float
    baseline: float | None = None


@dataclass(frozen=True, slots=True)
class ExperimentResult:
    """Result of one experiment with one seed.

    Parameters
    ----------
    measurements : tuple of Measurement
        Figures that are compared with the goals.
    runs : tuple of Run
        Runs of the experiment; the first one is that of the product.
    """

    measurements: tuple[Measurement, ...]
    runs: tuple[Run, ...]


Experiment = Callable[[int, float], ExperimentResult]


def capacity_per_s(group: ServiceGroup, spec: ServiceTime) -> float:
    """Return the rate of queries per second at which all slots are always in use."""
    return group.targets_per_service * group.slots_per_target * MS_PER_S / spec.mean_ms


def _make_normal_scenario(
    group: ServiceGroup, spec: ServiceTime, seed: int, duration_ms: float, name: str
) -> Scenario:
    rate_per_s = NORMAL_LOAD_SHARE * capacity_per_s(group, ServiceTime())
    return Scenario(name, seed, duration_ms, group, (QueryStream("counter", rate_per_s),), spec)


def _p99_ms(run: Run) -> float:
    return quantile_ms(results_between(run, _WARM_UP_MS, run.scenario.duration_ms), 0.99)


def _as_baseline(scenario: Scenario) -> Scenario:
    """Return the scenario with the baseline policies.

    These are no hedging, a fixed number of retries, round robin over the targets, and no limit on
    the admitted requests.
    """
    admission = AdmissionSettings(policy=NoLimit())
    return replace(scenario, search=_BASELINE_SEARCH, admission=admission, uses_round_robin=True)


def independent_stragglers(group: ServiceGroup) -> Experiment:
    """Return the experiment in which 1% of the sub-requests take 20 times as long.

    The slow sub-requests are spread at random over all targets.
    """

    def measure(seed: int, seconds: float) -> ExperimentResult:
        spec = ServiceTime(straggler_share=0.01)
        name = f"{group.service_count} shards, independent stragglers"
        scenario = _make_normal_scenario(group, spec, seed, seconds * MS_PER_S, name)
        product = run_scenario(scenario)
        baseline = run_scenario(_as_baseline(scenario))
        fixed_delay = _run_best_fixed_delay(scenario, product, round_robin_options=(True, False))
        oracle_ms = oracle_p99_ms(group, spec, seed)
        shards = f"{group.service_count} shards"
        return ExperimentResult(
            (
                Measurement(
                    f"{shards}: p99 / oracle",
                    _p99_ms(product) / oracle_ms,
                    _p99_ms(baseline) / oracle_ms,
                ),
                Measurement(
                    f"{shards}: p99 / best fixed delay",
                    _p99_ms(product) / _p99_ms(fixed_delay),
                    _p99_ms(baseline) / _p99_ms(fixed_delay),
                ),
                *_measure_cost(shards, product, baseline),
            ),
            (product, baseline, fixed_delay),
        )

    return measure


def sticky_stragglers(group: ServiceGroup) -> Experiment:
    """Return the experiment in which each target is 20 times slower for 1% of the time.

    A slow period of a target lasts for some seconds.
    """

    def measure(seed: int, seconds: float) -> ExperimentResult:
        spec = ServiceTime(sticky_share=0.01)
        name = f"{group.service_count} shards, sticky stragglers"
        duration_ms = _STICKY_DURATION_FACTOR * seconds * MS_PER_S
        scenario = _make_normal_scenario(group, spec, seed, duration_ms, name)
        product = run_scenario(scenario)
        baseline = run_scenario(_as_baseline(scenario))
        fixed_delay = _run_best_fixed_delay(scenario, product, round_robin_options=(True,))
        shards = f"{group.service_count} shards, sticky"
        improvement = Measurement(
            f"{shards}: p99 of best fixed delay / p99",
            _p99_ms(fixed_delay) / _p99_ms(product),
            _p99_ms(fixed_delay) / _p99_ms(baseline),
        )
        return ExperimentResult(
            (improvement, *_measure_cost(shards, product, baseline)),
            (product, baseline, fixed_delay),
        )

    return measure


def _run_best_fixed_delay(
    scenario: Scenario, product: Run, round_robin_options: tuple[bool, ...]
) -> Run:
    """Return the run with the lowest p99 that hedges after a fixed delay.

    Runs whose extra load is above that of the product, or 5% if that is more, only count if
    there are no others.
    """
    max_extra_load = max(_EXTRA_LOAD_BOUND, total_attempts(product).extra_load)
    # Sticky stragglers slow down as large a share of the sub-requests as their share of the time.
    spec = scenario.service_time
    slow_share = max(spec.straggler_share, spec.sticky_share)
    independent_spec = replace(spec, straggler_share=slow_share, sticky_share=0.0)
    runs: list[Run] = []
    for uses_round_robin in round_robin_options:
        for expected_extra_load in (max_extra_load, 0.8 * max_extra_load, 0.5 * max_extra_load):
            delay_ms = hedging_delay_ms(independent_spec, expected_extra_load, scenario.seed)
            search = SearchSettings(hedging=FixedDelayHedging(delay_ms), retries=FixedRetries(2))
            run = run_scenario(replace(scenario, search=search, uses_round_robin=uses_round_robin))
            runs.append(run)
            if total_attempts(run).extra_load <= max_extra_load:
                break
    within_bound = [run for run in runs if total_attempts(run).extra_load <= max_extra_load]
    return min(within_bound or runs, key=_p99_ms)


def _measure_cost(name: str, product: Run, baseline: Run) -> tuple[Measurement, ...]:
    return (
        Measurement(
            f"{name}: extra load",
            total_attempts(product).extra_load,
            total_attempts(baseline).extra_load,
        ),
        Measurement(
            f"{name}: coverage", coverage_of(product.results), coverage_of(baseline.results)
        ),
    )


def frozen_replica(seed: int, seconds: float) -> ExperimentResult:
    """Freeze one of three replicas of a service: it accepts requests but does not answer them."""
    freeze_ms, unfreeze_ms = 8000.0, 8000.0 + seconds * MS_PER_S / 2
    end_ms = unfreeze_ms + 4000.0
    faults = (FreezeTarget("balcao-03-1", freeze_ms, unfreeze_ms),)
    scenario = _make_normal_scenario(BALCAO, ServiceTime(), seed, end_ms, "one replica frozen")
    scenario = replace(scenario, faults=faults)
    product = run_scenario(scenario)
    baseline = run_scenario(_as_baseline(scenario))
    figures = []
    for run in (product, baseline):
        normal_p99_ms = quantile_ms(results_between(run, _WARM_UP_MS, freeze_ms), 0.99)
        recovery_ms = recovery_time_ms(run, freeze_ms, end_ms, 2.0 * normal_p99_ms)
        affected = results_between(run, freeze_ms, end_ms)
        extra_load = attempts_between(run, freeze_ms, end_ms).extra_load
        figures.append((recovery_ms / MS_PER_S, coverage_of(affected), extra_load))
    names = ("until p99 under twice calm", "coverage", "extra load")
    return ExperimentResult(
        tuple(
            Measurement(f"frozen replica: {name}", value, baseline_value)
            for name, value, baseline_value in zip(names, *figures, strict=True)
        ),
        (product, baseline),
    )


def overload(seed: int, seconds: float) -> ExperimentResult:
    """Send queries at twice the capacity, with normal load before and after.

    The overload lasts for 60 s, or for `seconds` if that is less than 20.
    """
    start_ms, overload_ms = 6000.0, (60.0 if seconds >= 20 else seconds) * MS_PER_S
    end_ms = start_ms + overload_ms
    spec, full_rate_per_s = ServiceTime(), capacity_per_s(BALCAO, ServiceTime())
    urgent = QueryStream("dispatcher", _URGENT_SHARE * full_rate_per_s, Priority.URGENT)
    normal = QueryStream("counter", NORMAL_LOAD_SHARE * full_rate_per_s)
    excess = QueryStream(
        "portal", (OVERLOAD_SHARE - NORMAL_LOAD_SHARE - _URGENT_SHARE) * full_rate_per_s
    )
    burst = replace(excess, from_ms=start_ms, until_ms=end_ms)
    scenario = Scenario(
        "twice the capacity", seed, end_ms + 10_000.0, BALCAO, (urgent, normal, burst), spec
    )
    product = run_scenario(scenario)
    baseline = run_scenario(_as_baseline(scenario))
    peak_per_s = _peak_goodput_per_s(scenario, full_rate_per_s)
    figures = [_overload_figures(run, start_ms, end_ms, peak_per_s) for run in (product, baseline)]
    names = ("useful / peak", "urgent p99 / calm", "extra load", "until calm")
    return ExperimentResult(
        tuple(
            Measurement(f"overload: {name}", value, baseline_value)
            for name, value, baseline_value in zip(names, *figures, strict=True)
        ),
        (product, baseline),
    )


def _peak_goodput_per_s(scenario: Scenario, full_rate_per_s: float) -> float:
    """Return the highest goodput of the product and the baseline at 70% to 115% of the capacity.

    Goodput is the rate of complete answers per second.
    """
    rates = []
    for load_share in (0.7, 0.85, 1.0, 1.15):
        streams = (QueryStream("counter", load_share * full_rate_per_s),)
        at_load = replace(scenario, streams=streams, duration_ms=8000.0)
        runs = (run_scenario(at_load), run_scenario(_as_baseline(at_load)))
        rates += [goodput_per_s(run, _WARM_UP_MS, 8000.0) for run in runs]
    return max(rates)


def _overload_figures(
    run: Run, start_ms: float, end_ms: float, peak_per_s: float
) -> tuple[float, ...]:
    def urgent_p99_ms(from_ms: float, until_ms: float) -> float:
        urgent_results = [
            result for result in results_between(run, from_ms, until_ms) if result.is_urgent
        ]
        return quantile_ms(urgent_results, 0.99)

    normal_p99_ms = quantile_ms(results_between(run, _WARM_UP_MS, start_ms), 0.99)
    recovery_ms = recovery_time_ms(run, end_ms, run.scenario.duration_ms, 2.0 * normal_p99_ms)
    return (
        goodput_per_s(run, start_ms, end_ms) / peak_per_s,
        urgent_p99_ms(start_ms, end_ms) / urgent_p99_ms(0.0, start_ms),
        attempts_between(run, start_ms, end_ms).extra_load,
        recovery_ms / MS_PER_S,
    )


def greedy_caller(seed: int, seconds: float) -> ExperimentResult:
    """Let one caller send three times the capacity beside another with a fifth of it."""
    full_rate_per_s = capacity_per_s(BALCAO, ServiceTime())
    normal = QueryStream("counter", 0.2 * full_rate_per_s)
    greedy = QueryStream("portal", 3.0 * full_rate_per_s)
    alone = Scenario("alone", seed, seconds * MS_PER_S, BALCAO, (normal,))
    together = replace(alone, name="beside a greedy caller", streams=(normal, greedy))
    baseline = run_scenario(_as_baseline(together))
    product, undisturbed = run_scenario(together), run_scenario(alone)

    def p99_ms(run: Run) -> float:
        results = results_between(run, _WARM_UP_MS, run.scenario.duration_ms)
        return quantile_ms([result for result in results if result.caller == "counter"], 0.99)

    ratios = [p99_ms(run) / p99_ms(undisturbed) for run in (product, baseline)]
    measurement = Measurement("greedy caller: p99 of the other / alone", *ratios)
    return ExperimentResult((measurement,), (product, baseline, undisturbed))


def simultaneous_faults(seed: int, seconds: float) -> ExperimentResult:
    """Freeze and crash replicas, partition a zone, crash an instance and advance the index."""
    start_ms = 6000.0
    faults = (
        FreezeTarget("balcao-02-1", start_ms, start_ms + 6000.0),
        CrashTarget("balcao-05-2", start_ms + 500.0, start_ms + 3000.0),
        PartitionZone("zone-c", start_ms + 1000.0, start_ms + 4000.0),
        CrashInstance(1, start_ms + 1500.0, start_ms + 5000.0),
        AdvanceIndex(start_ms, 100.0),
        AdvanceIndex(start_ms + 4000.0, 20.0),
    )
    scenario = _make_normal_scenario(
        BALCAO, ServiceTime(), seed, start_ms + 14_000.0, "everything at once"
    )
    product = run_scenario(replace(scenario, faults=faults))
    normal_p99_ms = quantile_ms(results_between(product, _WARM_UP_MS, start_ms), 0.99)
    faults_end_ms = start_ms + 6000.0
    recovery_ms = recovery_time_ms(
        product, faults_end_ms, product.scenario.duration_ms, 2.0 * normal_p99_ms
    )
    return ExperimentResult(
        (
            Measurement("all at once: broken promises", float(len(product.violations))),
            Measurement("all at once: until calm after healing", recovery_ms / MS_PER_S),
        ),
        (product,),
    )


def fan_out(seed: int, seconds: float) -> ExperimentResult:
    """Compare the CPU time of the decisions per sub-request with 10 and with 660 shards."""
    runs = []
    for service_count, rate_per_s in ((10, 66.0), (660, 1.0)):
        group = replace(BALCAO, name="wide", service_count=service_count, slots_per_target=8)
        stream = QueryStream("counter", rate_per_s)
        scenario = Scenario(
            f"{service_count} shards", seed, 15_000.0, group, (stream,), instance_count=1
        )
        runs.append(run_scenario(scenario))
    narrow, wide = runs
    ratio = wide.decision_us / narrow.decision_us
    return ExperimentResult(
        (Measurement("fan-out: CPU at 660 / at 10 shards", ratio),), (wide, narrow)
    )


EXPERIMENTS: dict[str, Experiment] = {
    "independent-10": independent_stragglers(BALCAO),
    "independent-15": independent_stragglers(NOTAS),
    "sticky-10": sticky_stragglers(BALCAO),
    "sticky-15": sticky_stragglers(NOTAS),
    "frozen": frozen_replica,
    "overload": overload,
    "greedy": greedy_caller,
    "faults": simultaneous_faults,
    "fan-out": fan_out,
}
