"""The experiments: their scenarios and what is measured of them, for one seed."""

from collections.abc import Callable
from dataclasses import dataclass, replace

from savoryarch.admission import AdmissionSettings, NoLimit
from savoryarch.model import Priority
from savoryarch.search import FixedDelayHedging, FixedRetries, NoHedging, SearchSettings
from savoryarch_bench._measure import (
    MS_PER_S,
    all_work,
    between,
    coverage_of,
    delay_for_extra_ms,
    oracle_p99_ms,
    quantile_ms,
    time_until_calm_ms,
    useful_per_s,
    work_between,
)
from savoryarch_bench._model import (
    BALCAO,
    NOTAS,
    AdvanceIndex,
    Crash,
    CutZone,
    Freeze,
    LoseInstance,
    Run,
    Scenario,
    ServiceTime,
    Shape,
    Stream,
)
from savoryarch_bench._world import run_scenario

CALM_LOAD = 0.3
OVERLOAD = 2.0
_URGENT_SHARE = 0.05
_WARM_MS = 2000.0
_EXTRA_BOUND = 0.05
_STICKY_FACTOR = 3  # slow spells are few, so that a longer run is needed to meet some
_PLAIN = SearchSettings(hedging=NoHedging(), retries=FixedRetries(2))


@dataclass(frozen=True, slots=True)
class Measured:
    """One figure of one seed, and that of the plain baseline (None if there is none)."""

    name: str
    value: float
    baseline: float | None = None


@dataclass(frozen=True, slots=True)
class Outcome:
    """What one experiment gave for one seed.

    Parameters
    ----------
    measured : tuple of Measured
        Its figures.
    runs : tuple of Run
        Its runs, the first of which is the product's.
    """

    measured: tuple[Measured, ...]
    runs: tuple[Run, ...]


Experiment = Callable[[int, float], Outcome]


def capacity_per_s(shape: Shape, spec: ServiceTime) -> float:
    """Return the queries per second that keep every slot busy."""
    return shape.targets * shape.slots * MS_PER_S / spec.mean_ms


def _calm(shape: Shape, spec: ServiceTime, seed: int, duration_ms: float, name: str) -> Scenario:
    rate_per_s = CALM_LOAD * capacity_per_s(shape, ServiceTime())
    return Scenario(name, seed, duration_ms, shape, (Stream("counter", rate_per_s),), spec)


def _p99(run: Run) -> float:
    return quantile_ms(between(run, _WARM_MS, run.scenario.duration_ms), 0.99)


def _as_plain(scenario: Scenario) -> Scenario:
    """Return the baseline: no hedging, fixed retries, round robin, no admission."""
    admission = AdmissionSettings(policy=NoLimit())
    return replace(scenario, search=_PLAIN, admission=admission, plain_targets=True)


def independent_stragglers(shape: Shape) -> Experiment:
    """Make one reply in a hundred take 20 times as long, whichever target gives it."""

    def measure(seed: int, seconds: float) -> Outcome:
        spec = ServiceTime(straggler_share=0.01)
        name = f"{shape.services} shards, independent stragglers"
        scenario = _calm(shape, spec, seed, seconds * MS_PER_S, name)
        own = run_scenario(scenario)
        plain = run_scenario(_as_plain(scenario))
        fixed = _best_fixed(scenario, own, plain_targets=(True, False))
        oracle_ms = oracle_p99_ms(shape, spec, seed)
        shards = f"{shape.services} shards"
        return Outcome(
            (
                Measured(f"{shards}: p99 / oracle", _p99(own) / oracle_ms, _p99(plain) / oracle_ms),
                Measured(
                    f"{shards}: p99 / best fixed delay",
                    _p99(own) / _p99(fixed),
                    _p99(plain) / _p99(fixed),
                ),
                *_cost(shards, own, plain),
            ),
            (own, plain, fixed),
        )

    return measure


def sticky_stragglers(shape: Shape) -> Experiment:
    """Make each target 20 times slower for some seconds, 1% of the time."""

    def measure(seed: int, seconds: float) -> Outcome:
        spec = ServiceTime(sticky_share=0.01)
        name = f"{shape.services} shards, sticky stragglers"
        duration_ms = _STICKY_FACTOR * seconds * MS_PER_S
        scenario = _calm(shape, spec, seed, duration_ms, name)
        own = run_scenario(scenario)
        plain = run_scenario(_as_plain(scenario))
        fixed = _best_fixed(scenario, own, plain_targets=(True,))
        shards = f"{shape.services} shards, sticky"
        better = Measured(
            f"{shards}: p99 of best fixed delay / p99",
            _p99(fixed) / _p99(own),
            _p99(fixed) / _p99(plain),
        )
        return Outcome((better, *_cost(shards, own, plain)), (own, plain, fixed))

    return measure


def _best_fixed(scenario: Scenario, own: Run, plain_targets: tuple[bool, ...]) -> Run:
    """Return the best run with a fixed delay whose extra load is no more than allowed."""
    allowed = max(_EXTRA_BOUND, all_work(own).extra_share)
    # Slow spells are of the target: the same share of the sub-requests is slow.
    spec = scenario.service_time
    share = max(spec.straggler_share, spec.sticky_share)
    drawn = replace(spec, straggler_share=share, sticky_share=0.0)
    found: list[Run] = []
    for plain in plain_targets:
        for extra_share in (allowed, 0.8 * allowed, 0.5 * allowed):
            delay_ms = delay_for_extra_ms(drawn, extra_share, scenario.seed)
            search = SearchSettings(hedging=FixedDelayHedging(delay_ms), retries=FixedRetries(2))
            run = run_scenario(replace(scenario, search=search, plain_targets=plain))
            found.append(run)
            if all_work(run).extra_share <= allowed:
                break
    within = [run for run in found if all_work(run).extra_share <= allowed]
    return min(within or found, key=_p99)


def _cost(name: str, own: Run, plain: Run) -> tuple[Measured, ...]:
    return (
        Measured(f"{name}: extra load", all_work(own).extra_share, all_work(plain).extra_share),
        Measured(f"{name}: coverage", coverage_of(own.answers), coverage_of(plain.answers)),
    )


def frozen_replica(seed: int, seconds: float) -> Outcome:
    """Let one of three replicas of a service accept and answer nothing for a while."""
    begun_ms, thawed_ms = 8000.0, 8000.0 + seconds * MS_PER_S / 2
    end_ms = thawed_ms + 4000.0
    faults = (Freeze("balcao-03-1", begun_ms, thawed_ms),)
    scenario = _calm(BALCAO, ServiceTime(), seed, end_ms, "one replica frozen")
    scenario = replace(scenario, faults=faults)
    own = run_scenario(scenario)
    plain = run_scenario(_as_plain(scenario))
    measured = []
    for run in (own, plain):
        calm_ms = quantile_ms(between(run, _WARM_MS, begun_ms), 0.99)
        until_calm_ms = time_until_calm_ms(run, begun_ms, end_ms, 2.0 * calm_ms)
        episode = between(run, begun_ms, end_ms)
        extra = work_between(run, begun_ms, end_ms).extra_share
        measured.append((until_calm_ms / MS_PER_S, coverage_of(episode), extra))
    names = ("until p99 under twice calm", "coverage", "extra load")
    return Outcome(
        tuple(
            Measured(f"frozen replica: {name}", value, baseline)
            for name, value, baseline in zip(names, *measured, strict=True)
        ),
        (own, plain),
    )


def overload(seed: int, seconds: float) -> Outcome:
    """Offer twice the capacity for a minute, between two calm spells."""
    calm_ms, span_ms = 6000.0, (60.0 if seconds >= 20 else seconds) * MS_PER_S
    end_ms = calm_ms + span_ms
    spec, capacity = ServiceTime(), capacity_per_s(BALCAO, ServiceTime())
    urgent = Stream("dispatcher", _URGENT_SHARE * capacity, Priority.URGENT)
    calm = Stream("counter", CALM_LOAD * capacity)
    extra = Stream("portal", (OVERLOAD - CALM_LOAD - _URGENT_SHARE) * capacity)
    burst = replace(extra, from_ms=calm_ms, until_ms=end_ms)
    scenario = Scenario(
        "twice the capacity", seed, end_ms + 10_000.0, BALCAO, (urgent, calm, burst), spec
    )
    own = run_scenario(scenario)
    plain = run_scenario(_as_plain(scenario))
    peak_per_s = _peak_per_s(scenario, capacity)
    figures = [_overload_figures(run, calm_ms, end_ms, peak_per_s) for run in (own, plain)]
    names = ("useful / peak", "urgent p99 / calm", "extra load", "until calm")
    return Outcome(
        tuple(
            Measured(f"overload: {name}", value, baseline)
            for name, value, baseline in zip(names, *figures, strict=True)
        ),
        (own, plain),
    )


def _peak_per_s(scenario: Scenario, capacity: float) -> float:
    """Return the most useful answers per second over a ladder of loads."""
    rates = []
    for load in (0.7, 0.85, 1.0, 1.15):
        streams = (Stream("counter", load * capacity),)
        ladder = replace(scenario, streams=streams, duration_ms=8000.0)
        runs = (run_scenario(ladder), run_scenario(_as_plain(ladder)))
        rates += [useful_per_s(run, _WARM_MS, 8000.0) for run in runs]
    return max(rates)


def _overload_figures(
    run: Run, calm_ms: float, end_ms: float, peak_per_s: float
) -> tuple[float, ...]:
    def urgent_p99_ms(from_ms: float, until_ms: float) -> float:
        answers = [answer for answer in between(run, from_ms, until_ms) if answer.urgent]
        return quantile_ms(answers, 0.99)

    calm_p99_ms = quantile_ms(between(run, _WARM_MS, calm_ms), 0.99)
    after_ms = time_until_calm_ms(run, end_ms, run.scenario.duration_ms, 2.0 * calm_p99_ms)
    return (
        useful_per_s(run, calm_ms, end_ms) / peak_per_s,
        urgent_p99_ms(calm_ms, end_ms) / urgent_p99_ms(0.0, calm_ms),
        work_between(run, calm_ms, end_ms).extra_share,
        after_ms / MS_PER_S,
    )


def greedy_caller(seed: int, seconds: float) -> Outcome:
    """Let one caller offer three times the capacity, another its usual share."""
    capacity = capacity_per_s(BALCAO, ServiceTime())
    usual = Stream("counter", 0.2 * capacity)
    greedy = Stream("portal", 3.0 * capacity)
    alone = Scenario("alone", seed, seconds * MS_PER_S, BALCAO, (usual,))
    beside = replace(alone, name="beside a greedy caller", streams=(usual, greedy))
    plain = run_scenario(_as_plain(beside))
    own, calm = run_scenario(beside), run_scenario(alone)

    def p99_ms(run: Run) -> float:
        answers = between(run, _WARM_MS, run.scenario.duration_ms)
        return quantile_ms([answer for answer in answers if answer.caller == "counter"], 0.99)

    ratios = [p99_ms(run) / p99_ms(calm) for run in (own, plain)]
    measured = Measured("greedy caller: p99 of the other / alone", *ratios)
    return Outcome((measured,), (own, plain, calm))


def everything_at_once(seed: int, seconds: float) -> Outcome:
    """Freeze and crash replicas, cut a zone off, lose an instance and advance the index."""
    start_ms = 6000.0
    faults = (
        Freeze("balcao-02-1", start_ms, start_ms + 6000.0),
        Crash("balcao-05-2", start_ms + 500.0, start_ms + 3000.0),
        CutZone("zone-c", start_ms + 1000.0, start_ms + 4000.0),
        LoseInstance(1, start_ms + 1500.0, start_ms + 5000.0),
        AdvanceIndex(start_ms, 100.0),
        AdvanceIndex(start_ms + 4000.0, 20.0),
    )
    scenario = _calm(BALCAO, ServiceTime(), seed, start_ms + 14_000.0, "everything at once")
    own = run_scenario(replace(scenario, faults=faults))
    calm_p99_ms = quantile_ms(between(own, _WARM_MS, start_ms), 0.99)
    healed_ms = start_ms + 6000.0
    after_ms = time_until_calm_ms(own, healed_ms, own.scenario.duration_ms, 2.0 * calm_p99_ms)
    return Outcome(
        (
            Measured("all at once: broken promises", float(len(own.violations))),
            Measured("all at once: until calm after healing", after_ms / MS_PER_S),
        ),
        (own,),
    )


def fan_out(seed: int, seconds: float) -> Outcome:
    """Compare the processor time per sub-request over 10 and over 660 shards."""
    figures = []
    for services, rate_per_s in ((10, 66.0), (660, 1.0)):
        shape = replace(BALCAO, group="wide", services=services, slots=8)
        stream = Stream("counter", rate_per_s)
        scenario = Scenario(f"{services} shards", seed, 15_000.0, shape, (stream,), instances=1)
        figures.append(run_scenario(scenario))
    narrow, wide = figures
    ratio = wide.decide_us / narrow.decide_us
    return Outcome((Measured("fan-out: CPU at 660 / at 10 shards", ratio),), (wide, narrow))


EXPERIMENTS: dict[str, Experiment] = {
    "independent-10": independent_stragglers(BALCAO),
    "independent-15": independent_stragglers(NOTAS),
    "sticky-10": sticky_stragglers(BALCAO),
    "sticky-15": sticky_stragglers(NOTAS),
    "frozen": frozen_replica,
    "overload": overload,
    "greedy": greedy_caller,
    "faults": everything_at_once,
    "fan-out": fan_out,
}
