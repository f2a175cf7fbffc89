"""Health and load that a target stand-in reports, which may be out of date or wrong."""

from dataclasses import dataclass, replace

from savoryarch_standins.target._model import (
    HealthReport,
    LoadReport,
    ReportSample,
    TargetStandinState,
)

_FIXED_LOADS = {LoadReport.EMPTY: "0.0", LoadReport.FULL: "1.0", LoadReport.NEGATIVE: "-1.0"}


@dataclass(frozen=True, slots=True)
class Report:
    """The next state and the reported value, which is empty if the target reports none."""

    state: TargetStandinState
    value: str


def report_health(state: TargetStandinState, now_ms: float) -> Report:
    """Return the state name for ``GET /health``; the value is empty if the endpoint must fail."""
    behaviour = state.behaviour
    if behaviour.health is HealthReport.FAILURE:
        return Report(state, "")
    if behaviour.health is not HealthReport.TRUTH:
        return Report(state, behaviour.health.value)
    sample = _refresh_sample(
        state.health_sample, state.chart_state, now_ms, behaviour.health_lag_ms
    )
    return Report(replace(state, health_sample=sample), sample.value)


def report_load(state: TargetStandinState, now_ms: float) -> Report:
    """Return the share of busy slots for ``GET /load`` and the ``x-load`` header.

    The value is empty if the target reports no load.
    """
    behaviour = state.behaviour
    if behaviour.load is LoadReport.ABSENT:
        return Report(state, "")
    if behaviour.load is not LoadReport.TRUTH:
        return Report(state, _FIXED_LOADS[behaviour.load])
    load = f"{len(state.in_flight) / state.spec.slots:.3f}"
    sample = _refresh_sample(state.load_sample, load, now_ms, behaviour.load_lag_ms)
    return Report(replace(state, load_sample=sample), sample.value)


def _refresh_sample(
    previous: ReportSample | None, value: str, now_ms: float, lag_ms: float
) -> ReportSample:
    """Return a sample of `value`, or the previous one until it is `lag_ms` old."""
    if previous is None or now_ms - previous.sampled_at_ms >= lag_ms:
        return ReportSample(now_ms, value)
    return previous
