"""A smaller run on real processes: calm, stragglers and a frozen replica, over loopback."""

from dataclasses import dataclass
from importlib.resources import files
from typing import Any

import requests
from msgspec.json import encode
from numpy import percentile
from numpy.random import Generator, default_rng
from twisted.internet import reactor as default_reactor
from twisted.internet.defer import inlineCallbacks

from savoryarch.model import Preference, Search, ShardMap
from savoryarch.resources import format_resource
from savoryarch.utils import make_monotonic_clock
from savoryarch_bench._callers import CallerClient, CallResult, SearchCall, send_open_loop
from savoryarch_standins.harness import Address, Cluster, ClusterPlan, set_switches
from savoryarch_standins.target import GroupSettings, make_target_specs

_HTTP_TIMEOUT_S = 10.0
_WARM_UP_S = 3.0
_WINDOW_S = 0.5
_SERVICE_MEDIAN_MS = 20.0
_FROZEN_TARGET = "balcao-03-1"
_SEARCH = "catalogue"

reactor: Any = default_reactor


@dataclass(frozen=True, slots=True)
class Phase:
    """One part of the run and what is switched on before it."""

    name: str
    seconds: float
    switches: tuple[tuple[str, Any], ...] = ()
    frozen_target: str = ""


@dataclass(frozen=True, slots=True)
class PhaseResult:
    """What came of one phase.

    Parameters
    ----------
    results : tuple of (float, CallResult)
        When each search was sent, in seconds from the start of the phase, and its result.
    runs, sheds : int
        At the targets.
    """

    phase: Phase
    results: tuple[tuple[float, CallResult], ...]
    runs: int
    sheds: int

    @property
    def shard_count(self) -> int:
        """Return the shards of the answered searches."""
        return sum(result.shard_count for _, result in self.results)

    @property
    def coverage(self) -> float:
        """Return the answered shards relative to those of all searches sent."""
        answered = sum(result.answered_count for _, result in self.results)
        return answered / max(1, len(self.results) * len(_services()))

    @property
    def extra_load(self) -> float:
        """Return the runs at targets beyond the shards asked, relative to those."""
        return max(0.0, self.runs / max(1, self.shard_count) - 1.0)

    def latency_ms(self, percent: float) -> float:
        """Return a percentile of the latency of answers."""
        return _percentile_ms([result for _, result in self.results], percent)

    def recovery_time_s(self, bound_ms: float) -> float:
        """Return the time until the p99 of each window stays below the bound."""
        last_s, start_s = 0.0, 0.0
        while start_s < self.phase.seconds:
            end_s = start_s + _WINDOW_S
            window = [result for at_s, result in self.results if start_s <= at_s < end_s]
            whole = all(result.outcome == "answered" for result in window)
            if window and not (whole and _percentile_ms(window, 99.0) < bound_ms):
                last_s = end_s
            start_s = end_s
        return last_s


def run_phases(seed: int, seconds: float, rate_per_s: float) -> str:
    """Run on real processes; returns the table and, as the last line, the goals as JSON.

    Parameters
    ----------
    seed : int
        Of the arrivals and of the targets' service times.
    seconds : float
        Length of each phase.
    rate_per_s : float
        Searches per second, each over ten services.
    """
    text = files("savoryarch_standins.target").joinpath("bertolini.ini").read_text("utf-8")
    slow = (("service_median_ms", _SERVICE_MEDIAN_MS),)
    phases = (
        Phase("warm-up", _WARM_UP_S, slow),
        Phase("calm", seconds),
        Phase("1% stragglers", seconds, (("straggler_share", 0.01),)),
        Phase("calm again", seconds, (("straggler_share", 0.0),)),
        Phase("one replica frozen", seconds, frozen_target=_FROZEN_TARGET),
    )
    search = Search(_SEARCH, (ShardMap(1, _services()),), 1000.0, prefer=Preference.COVERAGE)
    with Cluster(ClusterPlan(targets=text.replace("seed = 1", f"seed = {seed}"))) as cluster:
        cluster.apply_resources(format_resource(search))
        results = _measure_phases(cluster, phases, default_rng(seed), rate_per_s)
        counts = _read_target_counts(cluster)
    return _report(results[1:], counts)


def _services() -> tuple[str, ...]:
    specs = make_target_specs("balcao", GroupSettings(services=10, targets=1))
    return tuple(spec.service for spec in specs)


def _measure_phases(
    cluster: Cluster, phases: tuple[Phase, ...], rng: Generator, rate_per_s: float
) -> list[PhaseResult]:
    client = CallerClient(str(cluster.balancer.address()), reactor, make_monotonic_clock())
    played: list[PhaseResult] = []
    failures: list[Any] = []

    @inlineCallbacks
    def run() -> Any:
        for phase in phases:
            _apply_switches(cluster, phase)
            before = _read_target_counts(cluster)
            times_s = sorted(rng.uniform(0, phase.seconds, rng.poisson(rate_per_s * phase.seconds)))
            plan = tuple((float(at_s), SearchCall(_SEARCH, "bench")) for at_s in times_s)
            results = yield send_open_loop(client, plan, reactor)
            sent = tuple((at_s, result) for (at_s, _), result in zip(plan, results, strict=True))
            after = _read_target_counts(cluster)
            runs, sheds = (
                _sum_counts(after, name) - _sum_counts(before, name) for name in ("runs", "sheds")
            )
            played.append(PhaseResult(phase, sent, runs, sheds))

    reactor.callWhenRunning(
        lambda: run().addErrback(failures.append).addBoth(lambda _: reactor.stop())
    )
    reactor.run()
    if failures:
        failures[0].raiseException()
    return played


def _control_addresses(cluster: Cluster) -> list[Address]:
    return [
        Address(process.ready_fields["host"], int(process.ready_fields["control"]))
        for process in cluster.targets.values()
    ]


def _apply_switches(cluster: Cluster, phase: Phase) -> None:
    for control in _control_addresses(cluster):
        if phase.switches:
            set_switches(control, **dict(phase.switches))
    if phase.frozen_target:
        set_switches(cluster.target_address(phase.frozen_target), drive="freeze")


def _read_target_counts(cluster: Cluster) -> list[dict[str, Any]]:
    rows: list[dict[str, Any]] = []
    for control in _control_addresses(cluster):
        reply = requests.get(f"http://{control}/counts", timeout=_HTTP_TIMEOUT_S)
        rows += reply.json()["targets"]
    return rows


def _sum_counts(counts: list[dict[str, Any]], name: str) -> int:
    return sum(row[name] for row in counts)


def _percentile_ms(results: list[CallResult], percent: float) -> float:
    latencies_ms = [result.latency_ms for result in results if result.outcome == "answered"]
    return float(percentile(latencies_ms, percent)) if latencies_ms else float("inf")


def _report(played: list[PhaseResult], counts: list[dict[str, Any]]) -> str:
    lines = [
        f"{'phase':20}  {'sent':>5}  {'p50 ms':>7}  {'p99 ms':>7}  {'coverage':>8}  {'extra':>6}"
        f"  {'sheds':>6}"
    ]
    for item in played:
        lines.append(
            f"{item.phase.name:20}  {len(item.results):5d}  {item.latency_ms(50):7.1f}"
            f"  {item.latency_ms(99):7.1f}  {item.coverage:8.4f}  {item.extra_load:6.3f}"
            f"  {item.sheds / max(1, item.shard_count):6.3f}"
        )
    problems = [problem for item in played for _, row in item.results for problem in row.problems]
    lines.append(f"wrong answers: {problems or 'none'}")
    calm, slow, _, frozen = played
    until_calm_s = frozen.recovery_time_s(2.0 * calm.latency_ms(99))
    goals = (
        _make_goal("real: coverage with stragglers", slow.coverage, 0.999, "share", at_least=True),
        _make_goal("real: extra load with stragglers", slow.extra_load, 0.05, "share"),
        _make_goal("real: frozen, until p99 under twice calm", until_calm_s, 2.0, "s"),
        _make_goal("real: frozen, coverage", frozen.coverage, 0.999, "share", at_least=True),
        _make_goal("real: frozen, extra load", frozen.extra_load, 0.1, "share"),
        _make_goal(
            "real: connections refused",
            _sum_counts(counts, "connections_refused"),
            0,
            "connections",
        ),
        _make_goal("real: wrong answers", len(problems), 0, "answers"),
    )
    lines += [
        f"{goal['name']:45}  {goal['measured']:8.3f}  bound {goal['bound']:g}"
        f"  {'holds' if goal['holds'] else 'MISSED'}"
        for goal in goals
    ]
    return "\n".join([*lines, encode({"goals": goals}).decode()])


def _make_goal(
    name: str, measured: float, bound: float, unit: str, *, at_least: bool = False
) -> dict[str, Any]:
    holds = measured >= bound if at_least else measured <= bound
    return {
        "name": name,
        "measured": measured,
        "bound": bound,
        "unit": unit,
        "holds": bool(holds),
        "baseline": None,
    }
