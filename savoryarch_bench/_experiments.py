"""The experiments: their scenarios and what is measured of them, for one seed."""

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

NORMAL_LOAD_SHARE = 0.3
OVERLOAD_SHARE = 2.0
_URGENT_SHARE = 0.05
_WARM_UP_MS = 2000.0
_EXTRA_LOAD_BOUND = 0.05
_STICKY_DURATION_FACTOR = 3  # slow spells are few, so that a longer run is needed to meet some
_BASELINE_SEARCH = SearchSettings(hedging=NoHedging(), retries=FixedRetries(2))


@dataclass(frozen=True, slots=True)
class Measurement:
    """One figure of one seed, and that of the plain baseline (None if there is none)."""

    name: str
    value: float
    baseline: float | None = None


@dataclass(frozen=True, slots=True)
class ExperimentResult:
    """What one experiment gave for one seed.

    Parameters
    ----------
    measured : tuple of Measured
        Its figures.
    runs : tuple of Run
        Its runs, the first of which is the product's.
    """

    measurements: tuple[Measurement, ...]
    runs: tuple[Run, ...]


Experiment = Callable[[int, float], ExperimentResult]


def capacity_per_s(shape: ServiceGroup, spec: ServiceTime) -> float:
    """Return the queries per second that keep every slot busy."""
    return shape.targets_per_service * shape.slots_per_target * MS_PER_S / spec.mean_ms


def _make_normal_scenario(
    shape: ServiceGroup, spec: ServiceTime, seed: int, duration_ms: float, name: str
) -> Scenario:
    rate_per_s = NORMAL_LOAD_SHARE * capacity_per_s(shape, ServiceTime())
    return Scenario(name, seed, duration_ms, shape, (QueryStream("counter", rate_per_s),), spec)


def _p99_ms(run: Run) -> float:
    return quantile_ms(results_between(run, _WARM_UP_MS, run.scenario.duration_ms), 0.99)


def _as_baseline(scenario: Scenario) -> Scenario:
    """Return the baseline: no hedging, fixed retries, round robin, no admission."""
    admission = AdmissionSettings(policy=NoLimit())
    return replace(scenario, search=_BASELINE_SEARCH, admission=admission, uses_round_robin=True)


def independent_stragglers(shape: ServiceGroup) -> Experiment:
    """Make one reply in a hundred take 20 times as long, whichever target gives it."""

    def measure(seed: int, seconds: float) -> ExperimentResult:
        spec = ServiceTime(straggler_share=0.01)
        name = f"{shape.service_count} shards, independent stragglers"
        scenario = _make_normal_scenario(shape, spec, seed, seconds * MS_PER_S, name)
        own = run_scenario(scenario)
        plain = run_scenario(_as_baseline(scenario))
        fixed = _run_best_fixed_delay(scenario, own, plain_targets=(True, False))
        oracle_ms = oracle_p99_ms(shape, spec, seed)
        shards = f"{shape.service_count} shards"
        return ExperimentResult(
            (
                Measurement(
                    f"{shards}: p99 / oracle", _p99_ms(own) / oracle_ms, _p99_ms(plain) / oracle_ms
                ),
                Measurement(
                    f"{shards}: p99 / best fixed delay",
                    _p99_ms(own) / _p99_ms(fixed),
                    _p99_ms(plain) / _p99_ms(fixed),
                ),
                *_measure_cost(shards, own, plain),
            ),
            (own, plain, fixed),
        )

    return measure


def sticky_stragglers(shape: ServiceGroup) -> Experiment:
    """Make each target 20 times slower for some seconds, 1% of the time."""

    def measure(seed: int, seconds: float) -> ExperimentResult:
        spec = ServiceTime(sticky_share=0.01)
        name = f"{shape.service_count} shards, sticky stragglers"
        duration_ms = _STICKY_DURATION_FACTOR * seconds * MS_PER_S
        scenario = _make_normal_scenario(shape, spec, seed, duration_ms, name)
        own = run_scenario(scenario)
        plain = run_scenario(_as_baseline(scenario))
        fixed = _run_best_fixed_delay(scenario, own, plain_targets=(True,))
        shards = f"{shape.service_count} shards, sticky"
        better = Measurement(
            f"{shards}: p99 of best fixed delay / p99",
            _p99_ms(fixed) / _p99_ms(own),
            _p99_ms(fixed) / _p99_ms(plain),
        )
        return ExperimentResult((better, *_measure_cost(shards, own, plain)), (own, plain, fixed))

    return measure


def _run_best_fixed_delay(scenario: Scenario, own: Run, plain_targets: tuple[bool, ...]) -> Run:
    """Return the best run with a fixed delay whose extra load is no more than allowed."""
    allowed = max(_EXTRA_LOAD_BOUND, total_attempts(own).extra_load)
    # Slow spells are of the target: the same share of the sub-requests is slow.
    spec = scenario.service_time
    share = max(spec.straggler_share, spec.sticky_share)
    drawn = replace(spec, straggler_share=share, sticky_share=0.0)
    found: list[Run] = []
    for plain in plain_targets:
        for extra_share in (allowed, 0.8 * allowed, 0.5 * allowed):
            delay_ms = hedging_delay_ms(drawn, extra_share, scenario.seed)
            search = SearchSettings(hedging=FixedDelayHedging(delay_ms), retries=FixedRetries(2))
            run = run_scenario(replace(scenario, search=search, uses_round_robin=plain))
            found.append(run)
            if total_attempts(run).extra_load <= allowed:
                break
    within = [run for run in found if total_attempts(run).extra_load <= allowed]
    return min(within or found, key=_p99_ms)


def _measure_cost(name: str, own: Run, plain: Run) -> tuple[Measurement, ...]:
    return (
        Measurement(
            f"{name}: extra load", total_attempts(own).extra_load, total_attempts(plain).extra_load
        ),
        Measurement(f"{name}: coverage", coverage_of(own.results), coverage_of(plain.results)),
    )


def frozen_replica(seed: int, seconds: float) -> ExperimentResult:
    """Let one of three replicas of a service accept and answer nothing for a while."""
    begun_ms, thawed_ms = 8000.0, 8000.0 + seconds * MS_PER_S / 2
    end_ms = thawed_ms + 4000.0
    faults = (FreezeTarget("balcao-03-1", begun_ms, thawed_ms),)
    scenario = _make_normal_scenario(BALCAO, ServiceTime(), seed, end_ms, "one replica frozen")
    scenario = replace(scenario, faults=faults)
    own = run_scenario(scenario)
    plain = run_scenario(_as_baseline(scenario))
    measured = []
    for run in (own, plain):
        calm_ms = quantile_ms(results_between(run, _WARM_UP_MS, begun_ms), 0.99)
        until_calm_ms = recovery_time_ms(run, begun_ms, end_ms, 2.0 * calm_ms)
        episode = results_between(run, begun_ms, end_ms)
        extra = attempts_between(run, begun_ms, end_ms).extra_load
        measured.append((until_calm_ms / MS_PER_S, coverage_of(episode), extra))
    names = ("until p99 under twice calm", "coverage", "extra load")
    return ExperimentResult(
        tuple(
            Measurement(f"frozen replica: {name}", value, baseline)
            for name, value, baseline in zip(names, *measured, strict=True)
        ),
        (own, plain),
    )


def overload(seed: int, seconds: float) -> ExperimentResult:
    """Offer twice the capacity for a minute, between two calm spells."""
    calm_ms, span_ms = 6000.0, (60.0 if seconds >= 20 else seconds) * MS_PER_S
    end_ms = calm_ms + span_ms
    spec, capacity = ServiceTime(), capacity_per_s(BALCAO, ServiceTime())
    urgent = QueryStream("dispatcher", _URGENT_SHARE * capacity, Priority.URGENT)
    calm = QueryStream("counter", NORMAL_LOAD_SHARE * capacity)
    extra = QueryStream("portal", (OVERLOAD_SHARE - NORMAL_LOAD_SHARE - _URGENT_SHARE) * capacity)
    burst = replace(extra, from_ms=calm_ms, until_ms=end_ms)
    scenario = Scenario(
        "twice the capacity", seed, end_ms + 10_000.0, BALCAO, (urgent, calm, burst), spec
    )
    own = run_scenario(scenario)
    plain = run_scenario(_as_baseline(scenario))
    peak_per_s = _peak_goodput_per_s(scenario, capacity)
    figures = [_overload_figures(run, calm_ms, end_ms, peak_per_s) for run in (own, plain)]
    names = ("useful / peak", "urgent p99 / calm", "extra load", "until calm")
    return ExperimentResult(
        tuple(
            Measurement(f"overload: {name}", value, baseline)
            for name, value, baseline in zip(names, *figures, strict=True)
        ),
        (own, plain),
    )


def _peak_goodput_per_s(scenario: Scenario, capacity: float) -> float:
    """Return the most useful answers per second over a ladder of loads."""
    rates = []
    for load in (0.7, 0.85, 1.0, 1.15):
        streams = (QueryStream("counter", load * capacity),)
        ladder = replace(scenario, streams=streams, duration_ms=8000.0)
        runs = (run_scenario(ladder), run_scenario(_as_baseline(ladder)))
        rates += [goodput_per_s(run, _WARM_UP_MS, 8000.0) for run in runs]
    return max(rates)


def _overload_figures(
    run: Run, calm_ms: float, end_ms: float, peak_per_s: float
) -> tuple[float, ...]:
    def urgent_p99_ms(from_ms: float, until_ms: float) -> float:
        answers = [answer for answer in results_between(run, from_ms, until_ms) if answer.is_urgent]
        return quantile_ms(answers, 0.99)

    calm_p99_ms = quantile_ms(results_between(run, _WARM_UP_MS, calm_ms), 0.99)
    after_ms = recovery_time_ms(run, end_ms, run.scenario.duration_ms, 2.0 * calm_p99_ms)
    return (
        goodput_per_s(run, calm_ms, end_ms) / peak_per_s,
        urgent_p99_ms(calm_ms, end_ms) / urgent_p99_ms(0.0, calm_ms),
        attempts_between(run, calm_ms, end_ms).extra_load,
        after_ms / MS_PER_S,
    )


def greedy_caller(seed: int, seconds: float) -> ExperimentResult:
    """Let one caller offer three times the capacity, another its usual share."""
    capacity = capacity_per_s(BALCAO, ServiceTime())
    usual = QueryStream("counter", 0.2 * capacity)
    greedy = QueryStream("portal", 3.0 * capacity)
    alone = Scenario("alone", seed, seconds * MS_PER_S, BALCAO, (usual,))
    beside = replace(alone, name="beside a greedy caller", streams=(usual, greedy))
    plain = run_scenario(_as_baseline(beside))
    own, calm = run_scenario(beside), run_scenario(alone)

    def p99_ms(run: Run) -> float:
        answers = results_between(run, _WARM_UP_MS, run.scenario.duration_ms)
        return quantile_ms([answer for answer in answers if answer.caller == "counter"], 0.99)

    ratios = [p99_ms(run) / p99_ms(calm) for run in (own, plain)]
    measured = Measurement("greedy caller: p99 of the other / alone", *ratios)
    return ExperimentResult((measured,), (own, plain, calm))


def simultaneous_faults(seed: int, seconds: float) -> ExperimentResult:
    """Freeze and crash replicas, cut a zone off, lose an instance and advance the index."""
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
    own = run_scenario(replace(scenario, faults=faults))
    calm_p99_ms = quantile_ms(results_between(own, _WARM_UP_MS, start_ms), 0.99)
    healed_ms = start_ms + 6000.0
    after_ms = recovery_time_ms(own, healed_ms, own.scenario.duration_ms, 2.0 * calm_p99_ms)
    return ExperimentResult(
        (
            Measurement("all at once: broken promises", float(len(own.violations))),
            Measurement("all at once: until calm after healing", after_ms / MS_PER_S),
        ),
        (own,),
    )


def fan_out(seed: int, seconds: float) -> ExperimentResult:
    """Compare the processor time per sub-request over 10 and over 660 shards."""
    figures = []
    for services, rate_per_s in ((10, 66.0), (660, 1.0)):
        group = replace(BALCAO, name="wide", service_count=services, slots_per_target=8)
        stream = QueryStream("counter", rate_per_s)
        scenario = Scenario(
            f"{services} shards", seed, 15_000.0, group, (stream,), instance_count=1
        )
        figures.append(run_scenario(scenario))
    narrow, wide = figures
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
