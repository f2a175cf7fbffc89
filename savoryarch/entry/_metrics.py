"""Counters, gauges and histograms by OpenTelemetry, in the Prometheus text format."""

from importlib import import_module
from typing import Any

from savoryarch.entry._histograms import Attributes, LatencyHistogram

LATENCY_BOUNDS_MS = (5, 10, 20, 40, 60, 80, 100, 150, 250, 500, 1000, 2000, 5000)


class Metrics:
    """The metrics of this process, with one instrument per name.

    Values of counters and gauges are distinguished by the attribute ``reason``. Loading the
    library takes a large part of the start of an instance, so it is loaded by `start` or by the
    first `render`. Histograms are aggregated here and handed to the library when it collects,
    because recording each sample there would take a tenth of the time of a sub-request.
    """

    def __init__(self) -> None:
        self._counts: dict[str, dict[str, int]] = {}
        self._gauges: dict[str, dict[str, float]] = {}
        self._provider: Any = None
        self._meter: Any = None
        self._histograms: dict[tuple[str, Attributes], LatencyHistogram] = {}
        self._registered: set[str] = set()

    def count(self, counter: str, reason: str, by: int = 1) -> None:
        """Increment a counter.

        Parameters
        ----------
        counter : str
            Name without the prefix ``savoryarch_``.
        reason : str
            Value of the attribute ``reason``.
        by : int, optional
            Increment.
        """
        reasons = self._counts.setdefault(counter, {})
        reasons[reason] = reasons.get(reason, 0) + by
        if self._meter is not None and counter not in self._registered:
            self._register_counter(counter)

    def set_gauge(self, name: str, reason: str, value: float) -> None:
        """Set a gauge to a value; `name` and `reason` are as for `count`."""
        self._gauges.setdefault(name, {})[reason] = value
        if self._meter is not None and name not in self._registered:
            self._register_gauge(name)

    def record_ms(self, name: str, value_ms: float, attributes: Attributes) -> None:
        """Record a duration, in milliseconds, in a histogram with attributes of its own."""
        histogram = self._histograms.get((name, attributes))
        if histogram is None:
            histogram = self._histograms[name, attributes] = LatencyHistogram(LATENCY_BOUNDS_MS)
        histogram.record(value_ms)

    def start(self) -> None:
        """Load the library and register the instruments."""
        if self._provider is not None:
            return
        sdk = import_module("opentelemetry.sdk.metrics")
        export = import_module("savoryarch.entry._histogram_export")
        reader = export.HistogramReader(self._histograms)
        self._provider = sdk.MeterProvider([reader], shutdown_on_exit=False)
        self._meter = self._provider.get_meter("savoryarch")
        for counter in self._counts:
            self._register_counter(counter)
        for name in self._gauges:
            self._register_gauge(name)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text exposition format."""
        self.start()
        prometheus = import_module("prometheus_client")
        rendered: bytes = prometheus.generate_latest(prometheus.REGISTRY)
        return rendered

    def close(self) -> None:
        """Shut the library down, which unregisters the instruments."""
        if self._provider is not None:
            self._provider.shutdown()

    def _register_counter(self, name: str) -> None:
        self._registered.add(name)
        self._meter.create_observable_counter(
            f"savoryarch_{name}", [lambda options: _observations(self._counts[name])]
        )

    def _register_gauge(self, name: str) -> None:
        self._registered.add(name)
        self._meter.create_observable_gauge(
            f"savoryarch_{name}", [lambda options: _observations(self._gauges[name])]
        )


def _observations(values: dict[str, Any]) -> list[Any]:
    observation = import_module("opentelemetry.metrics").Observation
    return [observation(value, {"reason": reason}) for reason, value in values.items()]
