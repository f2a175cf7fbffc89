"""Hands the histograms of the process to OpenTelemetry; loaded with the library."""

from collections.abc import Mapping
from time import time_ns
from typing import Any

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.sdk.metrics.export import (
    AggregationTemporality,
    Histogram,
    HistogramDataPoint,
    Metric,
    MetricsData,
    ResourceMetrics,
    ScopeMetrics,
)
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.util.instrumentation import InstrumentationScope

from savoryarch.entry._histograms import Attributes, LatencyHistogram

SCOPE = "savoryarch"


class HistogramReader(PrometheusMetricReader):
    """Adds the histograms of the process to the metrics that the library collects.

    The library collects nothing, and shows no histograms, as long as it has no instrument.

    Parameters
    ----------
    histograms : mapping
        `LatencyHistogram` by name and attributes.
    """

    def __init__(self, histograms: Mapping[tuple[str, Attributes], LatencyHistogram]) -> None:
        self._process_histograms = histograms
        self._started_at_ns = time_ns()
        super().__init__()

    def _receive_metrics(self, metrics_data: Any, *arguments: Any, **keywords: Any) -> None:
        collected = metrics_data.resource_metrics if metrics_data is not None else ()
        added = ResourceMetrics(
            collected[0].resource if collected else Resource({}),
            [ScopeMetrics(InstrumentationScope(SCOPE), self._make_metrics(), "")],
            "",
        )
        data = MetricsData([added, *collected])
        super()._receive_metrics(data, *arguments, **keywords)

    def _make_metrics(self) -> list[Metric]:
        points: dict[str, list[HistogramDataPoint]] = {}
        for (name, attributes), histogram in self._process_histograms.items():
            points.setdefault(name, []).append(self._make_point(attributes, histogram))
        return [
            Metric(f"{SCOPE}_{name}", "", "ms", Histogram(rows, AggregationTemporality.CUMULATIVE))
            for name, rows in points.items()
        ]

    def _make_point(self, attributes: Attributes, item: LatencyHistogram) -> HistogramDataPoint:
        return HistogramDataPoint(
            attributes=dict(attributes),
            start_time_unix_nano=self._started_at_ns,
            time_unix_nano=time_ns(),
            count=sum(item.counts),
            sum=item.sum_ms,
            bucket_counts=tuple(item.counts),
            explicit_bounds=item.bounds_ms,
            min=item.min_ms,
            max=item.max_ms,
        )
