"""The health and load endpoints of a target stand-in, which may lag or mislead."""

from dataclasses import dataclass, replace

from savoryarch_standins.target._model import (
    HealthReport,
    LoadReport,
    Sample,
    TargetStandinState,
)

_LOADS = {LoadReport.EMPTY: "0.0", LoadReport.FULL: "1.0", LoadReport.NEGATIVE: "-1.0"}


@dataclass(frozen=True, slots=True)
class Reported:
    """State afterwards and what the endpoint says; `value` is empty if it fails or is absent."""

    state: TargetStandinState
    value: str


def report_health(state: TargetStandinState, now_ms: float) -> Reported:
    """Return what ``GET /health`` says."""
    behaviour = state.behaviour
    if behaviour.health is HealthReport.FAILURE:
        return Reported(state, "")
    if behaviour.health is not HealthReport.TRUTH:
        return Reported(state, behaviour.health.value)
    sample = _sample(state.health_sample, state.chart_state, now_ms, behaviour.health_lag_ms)
    return Reported(replace(state, health_sample=sample), sample.value)


def report_load(state: TargetStandinState, now_ms: float) -> Reported:
    """Return what ``GET /load`` and the ``x-load`` header say."""
    behaviour = state.behaviour
    if behaviour.load is LoadReport.ABSENT:
        return Reported(state, "")
    if behaviour.load is not LoadReport.TRUTH:
        return Reported(state, _LOADS[behaviour.load])
    load = f"{len(state.in_flight) / state.spec.slots:.3f}"
    sample = _sample(state.load_sample, load, now_ms, behaviour.load_lag_ms)
    return Reported(replace(state, load_sample=sample), sample.value)


def _sample(last: Sample | None, value: str, now_ms: float, lag_ms: float) -> Sample:
    if last is None or now_ms - last.at_ms >= lag_ms:
        return Sample(now_ms, value)
    return last
