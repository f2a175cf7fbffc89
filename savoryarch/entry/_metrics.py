"""Counters by OpenTelemetry, in the Prometheus text format."""

from typing import Any

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import Counter, Histogram
from opentelemetry.sdk.metrics import MeterProvider
from prometheus_client import REGISTRY, generate_latest


class Metrics:
    """The instruments of this process; one counter per name, with a ``reason`` attribute."""

    def __init__(self) -> None:
        self._provider = MeterProvider([PrometheusMetricReader()], shutdown_on_exit=False)
        self._meter = self._provider.get_meter("savoryarch")
        self._counters: dict[str, Counter] = {}
        self._histograms: dict[str, Histogram] = {}

    def count(self, counter: str, reason: str, by: int = 1) -> None:
        """Add to a counter."""
        instrument = self._counters.get(counter)
        if instrument is None:
            instrument = self._meter.create_counter(f"savoryarch_{counter}")
            self._counters[counter] = instrument
        instrument.add(by, {"reason": reason})

    def record_ms(self, name: str, value_ms: float, attributes: dict[str, Any]) -> None:
        """Record a duration in a histogram."""
        instrument = self._histograms.get(name)
        if instrument is None:
            instrument = self._meter.create_histogram(f"savoryarch_{name}", unit="ms")
            self._histograms[name] = instrument
        instrument.record(value_ms, attributes)

    def render(self) -> bytes:
        """Return every metric in the text exposition format."""
        return generate_latest(REGISTRY)

    def close(self) -> None:
        """Unregister the instruments."""
        self._provider.shutdown()
