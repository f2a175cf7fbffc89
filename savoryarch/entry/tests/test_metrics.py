"""The metrics page shows what was recorded, under the names that operators' dashboards use."""

import pytest

from savoryarch.entry._metrics import LATENCY_BOUNDS_MS, Metrics

SCOPE = 'otel_scope_name="savoryarch",otel_scope_schema_url="",otel_scope_version=""'
NAME = "savoryarch_attempt_ms_milliseconds"


def render_lines(metrics):
    try:
        return metrics.render().decode().splitlines()
    finally:
        metrics.close()


@pytest.mark.parametrize(
    ("values_ms", "at_most"),
    [
        ((3.2, 5.0, 7.0, 70.0, 9000.0), {5: 2, 10: 3, 60: 3, 80: 4, 5000: 4}),
        ((5.0, 5.000001, 5000.0), {5: 1, 10: 2, 2000: 2, 5000: 3}),
        ((0.0, -1.0), {5: 2, 5000: 2}),
    ],
)
def test_a_histogram_counts_durations_up_to_each_bound(values_ms, at_most):
    metrics = Metrics()
    metrics.set_gauge("targets", "known", 1)
    for value_ms in values_ms:
        metrics.record_ms("attempt_ms", value_ms, (("service", "s"),))
    lines = render_lines(metrics)
    assert f"# TYPE {NAME} histogram" in lines
    for bound_ms, count in at_most.items():
        assert f'{NAME}_bucket{{le="{bound_ms}",{SCOPE},service="s"}} {count:.1f}' in lines
    assert f'{NAME}_bucket{{le="+Inf",{SCOPE},service="s"}} {len(values_ms):.1f}' in lines
    assert f'{NAME}_count{{{SCOPE},service="s"}} {len(values_ms):.1f}' in lines
    (total,) = [line for line in lines if line.startswith(f"{NAME}_sum")]
    assert float(total.split()[-1]) == pytest.approx(sum(values_ms))
    assert sum(f"{NAME}_bucket" in line for line in lines) == len(LATENCY_BOUNDS_MS) + 1


def test_durations_recorded_before_and_after_the_library_is_loaded_are_in_one_histogram():
    metrics = Metrics()
    metrics.record_ms("attempt_ms", 1.0, (("service", "s"),))
    metrics.start()
    metrics.record_ms("attempt_ms", 1.0, (("service", "s"),))
    metrics.record_ms("attempt_ms", 1.0, (("service", "t"),))
    metrics.count("answers", "whole")
    lines = render_lines(metrics)
    assert f'{NAME}_count{{{SCOPE},service="s"}} 2.0' in lines
    assert f'{NAME}_count{{{SCOPE},service="t"}} 1.0' in lines
    assert f'savoryarch_answers_total{{{SCOPE},reason="whole"}} 1.0' in lines
